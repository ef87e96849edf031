"""What this node has learned of the pressure at targets elsewhere."""

import dataclasses
import random

from chivelead_protocol import CallReply, loop_ms

_SHED_LEVEL_MAX_AGE_MS = 500.0
_MAX_BOUNDARY_FRACTION = 0.9
_LATENCY_EWMA_WEIGHT = 0.2
# A target that is avoided as slow is tried again after this time.
_LATENCY_MAX_AGE_MS = 1500.0


@dataclasses.dataclass
class _TargetEstimate:
    updated_ms: float
    shed_level: float
    load: float
    latency_ms: float
    latency_updated_ms: float


class PressureTable:
    """Last known pressure of each target and of each route's chain.

    Args:
        seed: Seed of the choice whom to shed.
    """

    def __init__(self, seed: int) -> None:
        """Start with nothing known."""
        self._targets: dict[str, _TargetEstimate] = {}
        self._chains: dict[tuple[str, str], tuple[float, float]] = {}
        self._random = random.Random(seed)  # noqa: S311

    def record_reply(
        self, vm: str, reply: CallReply, elapsed_ms: float
    ) -> None:
        """Learn from a reply."""
        previous = self._targets.get(vm)
        latency_ms = elapsed_ms
        if previous is not None:
            difference_ms = elapsed_ms - previous.latency_ms
            latency_ms = (
                previous.latency_ms + difference_ms * _LATENCY_EWMA_WEIGHT
            )
        self._targets[vm] = _TargetEstimate(
            loop_ms(),
            reply.shed_level,
            reply.load,
            latency_ms,
            loop_ms(),
        )

    def record_load(self, vm: str, load: float) -> None:
        """Learn from a report that answers no call."""
        previous = self._targets.get(vm)
        if previous is None:
            self._targets[vm] = _TargetEstimate(loop_ms(), 0, load, 0, 0)
        else:
            previous.updated_ms = loop_ms()
            previous.load = load

    def record_chain_level(self, service: str, path: str, level: float) -> None:
        """Learn the shed level that a route's chain meets."""
        self._chains[(service, path)] = (loop_ms(), level)

    def load(self, vm: str) -> float:
        """Return the load of a target, fading as it grows old."""
        estimate = self._targets.get(vm)
        return (
            estimate.load * self._freshness(estimate.updated_ms)
            if estimate
            else 0
        )

    def record_abandoned_call(self, vm: str, elapsed_ms: float) -> None:
        """Learn from a call that was given up after some time."""
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
        """Return the latency seen of late; zero if none was."""
        estimate = self._targets.get(vm)
        if (
            estimate is None
            or loop_ms() - estimate.latency_updated_ms > _LATENCY_MAX_AGE_MS
        ):
            return 0
        return estimate.latency_ms

    def would_shed(self, vms: list[str], importance: int) -> bool:
        """Tell whether all these targets would refuse such a request."""
        shed_levels = [self._current_shed_level(vm) for vm in vms]
        return bool(shed_levels) and self._is_shed(min(shed_levels), importance)

    def chain_would_shed(
        self, service: str, path: str, importance: int
    ) -> bool:
        """Tell whether a service further down would refuse it."""
        updated_ms, level = self._chains.get((service, path), (0, 0))
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
        fraction = (level - boundary_importance) * _MAX_BOUNDARY_FRACTION
        return self._random.random() < fraction

    def _freshness(self, updated_ms: float) -> float:
        return max(
            0.0, 1 - (loop_ms() - updated_ms) / (2 * _SHED_LEVEL_MAX_AGE_MS)
        )


class LoadTable(PressureTable):
    """Loads for the choice of a target; entries shed by other means."""

    def would_shed(self, vms: list[str], importance: int) -> bool:
        """Leave the refusal to the node of the target."""
        return False

    def chain_would_shed(
        self, service: str, path: str, importance: int
    ) -> bool:
        """Leave the refusal to the node of the target."""
        return False
