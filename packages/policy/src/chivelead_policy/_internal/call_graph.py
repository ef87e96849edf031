"""Call graph estimated from the traffic that each node observes.

Calls that a target makes do not identify the request that caused them.  The
target's node counts incoming requests and outgoing calls by route, and
estimates the calls per request by linear regression.  Nodes
exchange their estimates, so that the ingress node of a request, where it
enters the fleet, knows all services that it calls, directly or indirectly.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from chivelead_protocol import loop_ms

# Long enough for most requests and their calls to fall into the same window.
_WINDOW_MS = 1000.0
_LEARNING_RATE = 0.3
# Smaller estimates are treated as noise.
_MIN_CALLS_PER_REQUEST = 0.05
# Ends the expansion of services that call each other in a cycle.
_MAX_CALL_DEPTH = 16


@dataclasses.dataclass(frozen=True)
class CallFanOut:
    """Number of calls to one route that a request of another route makes."""

    route: str
    called_route: str
    calls_per_request: float


class CallGraphLearner:
    """Estimate how many calls the local target makes per request.

    Uses a normalised least mean squares filter: the prediction error of a
    window is distributed over the routes in proportion to their requests.
    """

    def __init__(self) -> None:
        """Start without any estimate."""
        self._requests: collections.Counter[str] = collections.Counter()
        self._calls: collections.Counter[str] = collections.Counter()
        self._fan_outs: dict[tuple[str, str], float] = {}
        self._called_routes: set[str] = set()
        self._window_start_ms = 0.0

    def record_request(self, route: str) -> None:
        """Count a request that the target starts to run."""
        self._requests[route] += 1

    def record_call(self, route: str) -> None:
        """Count a call that the target makes."""
        self._calls[route] += 1
        self._called_routes.add(route)

    def fan_outs(self) -> tuple[CallFanOut, ...]:
        """Return the estimates, updated if the current window has ended."""
        if loop_ms() - self._window_start_ms >= _WINDOW_MS:
            self._update_fan_outs()
            self._window_start_ms = loop_ms()
        return tuple(
            CallFanOut(route, called_route, calls)
            for (route, called_route), calls in self._fan_outs.items()
            if calls >= _MIN_CALLS_PER_REQUEST
        )

    def _update_fan_outs(self) -> None:
        input_power = sum(count * count for count in self._requests.values())
        if input_power:
            for called_route in self._called_routes:
                self._update_route(called_route, input_power)
        self._requests.clear()
        self._calls.clear()

    def _update_route(self, called_route: str, input_power: int) -> None:
        expected = sum(
            self._fan_outs.get((route, called_route), 0) * count
            for route, count in self._requests.items()
        )
        error = self._calls[called_route] - expected
        for route, count in self._requests.items():
            calls_per_request = self._fan_outs.get((route, called_route), 0)
            calls_per_request += _LEARNING_RATE * error * count / input_power
            self._fan_outs[(route, called_route)] = max(0.0, calls_per_request)


class CallGraph:
    """Call graph of the fleet, combined from the estimates of all nodes."""

    def __init__(self) -> None:
        """Start with an empty graph."""
        self._fan_outs_by_node: dict[str, tuple[CallFanOut, ...]] = {}
        self._downstream_calls_cache: dict[str, Mapping[str, float]] = {}

    def update_node(self, vm: str, fan_outs: Iterable[CallFanOut]) -> None:
        """Replace the estimates of a node."""
        reported = tuple(fan_outs)
        if self._fan_outs_by_node.get(vm) != reported:
            self._fan_outs_by_node[vm] = reported
            self._downstream_calls_cache.clear()

    def remove_node(self, vm: str) -> None:
        """Remove the estimates of a node."""
        self._fan_outs_by_node.pop(vm, None)
        self._downstream_calls_cache.clear()

    def downstream_calls(self, route: str) -> Mapping[str, float]:
        """Return the direct and indirect calls per request, by route."""
        calls_by_route = self._downstream_calls_cache.get(route)
        if calls_by_route is None:
            calls_by_route = self._expand(route)
            self._downstream_calls_cache[route] = calls_by_route
        return calls_by_route

    def _expand(self, route: str) -> Mapping[str, float]:
        totals: dict[str, float] = collections.defaultdict(float)
        frontier = {route: 1.0}
        means = self._mean_fan_outs()
        for _ in range(_MAX_CALL_DEPTH):
            next_frontier: dict[str, float] = collections.defaultdict(float)
            for caller, requests in frontier.items():
                for called_route, fan_out in means.get(caller, {}).items():
                    next_frontier[called_route] += requests * fan_out
            if not next_frontier:
                break
            for called_route, calls in next_frontier.items():
                totals[called_route] += calls
            frontier = next_frontier
        return dict(totals)

    def _mean_fan_outs(self) -> Mapping[str, Mapping[str, float]]:
        estimates: dict[tuple[str, str], list[float]] = collections.defaultdict(
            list
        )
        for fan_outs in self._fan_outs_by_node.values():
            for fan_out in fan_outs:
                estimates[(fan_out.route, fan_out.called_route)].append(
                    fan_out.calls_per_request
                )
        means: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for (route, called_route), samples in estimates.items():
            means[route][called_route] = sum(samples) / len(samples)
        return means
