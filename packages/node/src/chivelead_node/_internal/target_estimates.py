"""Estimates of load, shedding and latency at the targets of the fleet."""

import dataclasses
import random
from collections.abc import Iterable

from chivelead_protocol import CallReply, loop_ms

_SHED_LEVEL_MAX_AGE_MS = 500.0
_MAX_BOUNDARY_SHED_FRACTION = 0.9
_LATENCY_EWMA_WEIGHT = 0.2
# After this time a target that was avoided as slow is tried again.
_LATENCY_MAX_AGE_MS = 1500.0


@dataclasses.dataclass
class _TargetEstimate:
    updated_ms: float
    shed_level: float
    load: float
    latency_ms: float
    latency_updated_ms: float


class TargetEstimates:
    """Load, shed level and latency of targets, from replies of their nodes.

    A shed level states which requests are refused: all whose importance is
    below its integer part, and some of those whose importance equals it; the
    fractional part of the level determines how many.

    The table also holds a downstream shed level for each route: the highest
    one among the services that are called to serve the route.

    Args:
        seed: Seed for the random choice of requests to shed.
    """

    def __init__(self, seed: int) -> None:
        """Create an empty table."""
        self._targets: dict[str, _TargetEstimate] = {}
        self._downstream_levels: dict[tuple[str, str], tuple[float, float]] = {}
        self._silent_vms: frozenset[str] = frozenset()
        self._random = random.Random(seed)  # noqa: S311

    def record_reply(
        self, vm: str, reply: CallReply, elapsed_ms: float
    ) -> None:
        """Update the estimates of a target from a reply.

        A refusal says nothing about the latency: it comes faster than any
        response of the target.
        """
        estimate = self._targets.setdefault(
            vm, _TargetEstimate(loop_ms(), 0, 0, 0, 0)
        )
        estimate.updated_ms = loop_ms()
        estimate.shed_level = reply.shed_level
        estimate.load = reply.load
        if reply.reason:
            return
        if estimate.latency_updated_ms:
            elapsed_ms = (
                estimate.latency_ms
                + (elapsed_ms - estimate.latency_ms) * _LATENCY_EWMA_WEIGHT
            )
        estimate.latency_ms = elapsed_ms
        estimate.latency_updated_ms = loop_ms()

    def record_load(self, vm: str, load: float) -> None:
        """Update the load of a target from a report outside of calls."""
        previous = self._targets.get(vm)
        if previous is None:
            self._targets[vm] = _TargetEstimate(loop_ms(), 0, load, 0, 0)
        else:
            previous.updated_ms = loop_ms()
            previous.load = load

    def record_silent(self, vms: Iterable[str]) -> None:
        """Replace the set of nodes that have not reported for some time."""
        self._silent_vms = frozenset(vms)

    def is_silent(self, vm: str) -> bool:
        """Return whether a node has not reported for some time."""
        return vm in self._silent_vms

    def record_downstream_level(
        self, service: str, route: str, level: float
    ) -> None:
        """Record the downstream shed level of a route."""
        self._downstream_levels[(service, route)] = (loop_ms(), level)

    def load(self, vm: str) -> float:
        """Return the last known load; it decays linearly with its age."""
        estimate = self._targets.get(vm)
        return (
            estimate.load * self._freshness(estimate.updated_ms)
            if estimate
            else 0
        )

    def record_abandoned_call(self, vm: str, elapsed_ms: float) -> None:
        """Update the latency of a target from a call abandoned by its caller.

        The elapsed time is a lower bound, so it can only raise the estimate.
        """
        previous = self._targets.get(vm)
        if previous is None:
            self._targets[vm] = _TargetEstimate(
                loop_ms(), 0, 0, elapsed_ms, loop_ms()
            )
        elif elapsed_ms > previous.latency_ms:
            difference_ms = elapsed_ms - previous.latency_ms
            previous.latency_ms += difference_ms * _LATENCY_EWMA_WEIGHT
            previous.latency_updated_ms = loop_ms()

    def latency_ms(self, vm: str) -> float:
        """Return the estimated latency; zero if there is no recent estimate."""
        estimate = self._targets.get(vm)
        if (
            estimate is None
            or loop_ms() - estimate.latency_updated_ms > _LATENCY_MAX_AGE_MS
        ):
            return 0
        return estimate.latency_ms

    def would_shed(self, vms: list[str], importance: int) -> bool:
        """Decide whether to shed a request because every target would.

        At the boundary importance the result is random.
        """
        shed_levels = [self._current_shed_level(vm) for vm in vms]
        return bool(shed_levels) and self._is_shed(min(shed_levels), importance)

    def downstream_would_shed(
        self, service: str, route: str, importance: int
    ) -> bool:
        """Decide whether to shed a request because of downstream services."""
        updated_ms, level = self._downstream_levels.get(
            (service, route), (0, 0)
        )
        if loop_ms() - updated_ms > _SHED_LEVEL_MAX_AGE_MS:
            return False
        return self._is_shed(level, importance)

    def _current_shed_level(self, vm: str) -> float:
        estimate = self._targets.get(vm)
        if (
            estimate is None
            or loop_ms() - estimate.updated_ms > _SHED_LEVEL_MAX_AGE_MS
        ):
            return 0
        return estimate.shed_level

    def _is_shed(self, level: float, importance: int) -> bool:
        boundary_importance = int(level)
        if level <= 0 or importance > boundary_importance:
            return False
        if importance < boundary_importance:
            return True
        fraction = (level - boundary_importance) * _MAX_BOUNDARY_SHED_FRACTION
        return self._random.random() < fraction

    def _freshness(self, updated_ms: float) -> float:
        return max(
            0.0, 1 - (loop_ms() - updated_ms) / (2 * _SHED_LEVEL_MAX_AGE_MS)
        )


class RoutingEstimates(TargetEstimates):
    """Estimates for routing only, for nodes whose ingress sheds by other means.

    Whether a target refuses a request is left to the node of the target.
    """

    def would_shed(self, vms: list[str], importance: int) -> bool:
        """Return False for every request."""
        return False

    def downstream_would_shed(
        self, service: str, route: str, importance: int
    ) -> bool:
        """Return False for every request."""
        return False
