"""Which calls a request leads to, learned from what nodes see.

The calls of a target carry no parent.  Its node sees the routes of the
requests that it runs and the routes of the calls that it makes; the calls for
each request follow from how both vary.  Nodes tell each other what they have
learned, so an entry knows which services a request reaches in the end.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from chivelead_protocol import loop_ms

# Requests and their calls fall mostly into the same window of this length.
_WINDOW_MS = 1000.0
_STEP = 0.3
# Below this a factor is noise.
_FACTOR_LEAST = 0.05
_DEPTH_MOST = 16


@dataclasses.dataclass(frozen=True)
class CallFactor:
    """How many calls of one route a request of another leads to."""

    route: str
    called: str
    factor: float


class CallGraphLearner:
    """Learn the calls that the target beside a node makes for a request.

    Normalised least mean squares: the error of a prediction is spread over
    the routes by how much each has run in the window.
    """

    def __init__(self) -> None:
        """Start with nothing learned."""
        self._runs: collections.Counter[str] = collections.Counter()
        self._calls: collections.Counter[str] = collections.Counter()
        self._factors: dict[tuple[str, str], float] = {}
        self._called: set[str] = set()
        self._window_ms = 0.0

    def note_run(self, route: str) -> None:
        """Note a request that the target begins to run."""
        self._runs[route] += 1

    def note_call(self, route: str) -> None:
        """Note a call that the target makes."""
        self._calls[route] += 1
        self._called.add(route)

    def factors(self) -> tuple[CallFactor, ...]:
        """Return what is learned, after the last window is taken in."""
        if loop_ms() - self._window_ms >= _WINDOW_MS:
            self._learn()
            self._window_ms = loop_ms()
        return tuple(
            CallFactor(route, called, factor)
            for (route, called), factor in self._factors.items()
            if factor >= _FACTOR_LEAST
        )

    def _learn(self) -> None:
        power = sum(count * count for count in self._runs.values())
        if power:
            for called in self._called:
                self._correct(called, power)
        self._runs.clear()
        self._calls.clear()

    def _correct(self, called: str, power: int) -> None:
        expected = sum(
            self._factors.get((route, called), 0) * count
            for route, count in self._runs.items()
        )
        error = self._calls[called] - expected
        for route, count in self._runs.items():
            factor = self._factors.get((route, called), 0)
            factor += _STEP * error * count / power
            self._factors[(route, called)] = max(0.0, factor)


class CallGraph:
    """What all nodes have learned, joined over whole chains."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self._by_node: dict[str, tuple[CallFactor, ...]] = {}
        self._reach: dict[str, Mapping[str, float]] = {}

    def learn(self, vm: str, factors: Iterable[CallFactor]) -> None:
        """Take in what a node has learned."""
        told = tuple(factors)
        if self._by_node.get(vm) != told:
            self._by_node[vm] = told
            self._reach.clear()

    def forget(self, vm: str) -> None:
        """Drop what a node has told."""
        self._by_node.pop(vm, None)
        self._reach.clear()

    def reach(self, route: str) -> Mapping[str, float]:
        """Return the calls of each route that one request leads to."""
        found = self._reach.get(route)
        if found is None:
            found = self._walk(route)
            self._reach[route] = found
        return found

    def _walk(self, route: str) -> Mapping[str, float]:
        total: dict[str, float] = collections.defaultdict(float)
        level = {route: 1.0}
        means = self._means()
        for _ in range(_DEPTH_MOST):
            below: dict[str, float] = collections.defaultdict(float)
            for name, weight in level.items():
                for called, factor in means.get(name, {}).items():
                    below[called] += weight * factor
            if not below:
                break
            for called, calls in below.items():
                total[called] += calls
            level = below
        return dict(total)

    def _means(self) -> Mapping[str, Mapping[str, float]]:
        sums: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
        for factors in self._by_node.values():
            for row in factors:
                sums[(row.route, row.called)].append(row.factor)
        means: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for (route, called), found in sums.items():
            means[route][called] = sum(found) / len(found)
        return means
