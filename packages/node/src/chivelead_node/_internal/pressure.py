"""What this node has learned of the pressure at targets elsewhere."""

import dataclasses
import random

from chivelead_protocol import CallReply, loop_ms

_FADE_MS = 500.0
_BOUNDARY_PART = 0.9
_LATENCY_WEIGHT = 0.2
# A target that is avoided as slow is tried again after this time.
_LATENCY_AGE_MS = 1500.0


@dataclasses.dataclass
class _Seen:
    at_ms: float
    shed_level: float
    load: float
    latency_ms: float
    latency_at_ms: float


class PressureTable:
    """Last known pressure of each target and of each route's chain.

    Args:
        seed: Seed of the choice whom to shed.
    """

    def __init__(self, seed: int) -> None:
        """Start with nothing known."""
        self._targets: dict[str, _Seen] = {}
        self._chains: dict[tuple[str, str], tuple[float, float]] = {}
        self._random = random.Random(seed)  # noqa: S311

    def note(self, vm: str, reply: CallReply, elapsed_ms: float) -> None:
        """Learn from a reply."""
        known = self._targets.get(vm)
        latency_ms = elapsed_ms
        if known is not None:
            gap_ms = elapsed_ms - known.latency_ms
            latency_ms = known.latency_ms + gap_ms * _LATENCY_WEIGHT
        self._targets[vm] = _Seen(
            loop_ms(),
            reply.shed_level,
            reply.load,
            latency_ms,
            loop_ms(),
        )

    def note_load(self, vm: str, load: float) -> None:
        """Learn from a report that answers no call."""
        known = self._targets.get(vm)
        if known is None:
            self._targets[vm] = _Seen(loop_ms(), 0, load, 0, 0)
        else:
            known.at_ms = loop_ms()
            known.load = load

    def note_chain(self, service: str, path: str, level: float) -> None:
        """Learn the shed level that a route's chain meets."""
        self._chains[(service, path)] = (loop_ms(), level)

    def load(self, vm: str) -> float:
        """Return the load of a target, fading as it grows old."""
        seen = self._targets.get(vm)
        return seen.load * self._freshness(seen.at_ms) if seen else 0

    def note_slow(self, vm: str, elapsed_ms: float) -> None:
        """Learn from a call that was given up after some time."""
        known = self._targets.get(vm)
        if known is None:
            self._targets[vm] = _Seen(loop_ms(), 0, 0, elapsed_ms, loop_ms())
        elif elapsed_ms > known.latency_ms:
            gap_ms = elapsed_ms - known.latency_ms
            known.latency_ms += gap_ms * _LATENCY_WEIGHT
            known.latency_at_ms = loop_ms()

    def latency_ms(self, vm: str) -> float:
        """Return the latency seen of late; zero if none was."""
        seen = self._targets.get(vm)
        if seen is None or loop_ms() - seen.latency_at_ms > _LATENCY_AGE_MS:
            return 0
        return seen.latency_ms

    def sheds(self, vms: list[str], importance: int) -> bool:
        """Tell whether all these targets would refuse such a request."""
        levels = [self._shed_level(vm) for vm in vms]
        return bool(levels) and self._below(min(levels), importance)

    def chain_sheds(self, service: str, path: str, importance: int) -> bool:
        """Tell whether a service further down would refuse it."""
        at_ms, level = self._chains.get((service, path), (0, 0))
        if loop_ms() - at_ms > _FADE_MS:
            return False
        return self._below(level, importance)

    def _shed_level(self, vm: str) -> float:
        seen = self._targets.get(vm)
        if seen is None or loop_ms() - seen.at_ms > _FADE_MS:
            return 0
        return seen.shed_level

    def _below(self, level: float, importance: int) -> bool:
        boundary = int(level)
        if level <= 0 or importance > boundary:
            return False
        if importance < boundary:
            return True
        part = (level - boundary) * _BOUNDARY_PART
        return self._random.random() < part

    def _freshness(self, at_ms: float) -> float:
        return max(0.0, 1 - (loop_ms() - at_ms) / (2 * _FADE_MS))


class LoadTable(PressureTable):
    """Loads for the choice of a target; entries shed by other means."""

    def sheds(self, vms: list[str], importance: int) -> bool:
        """Leave the refusal to the node of the target."""
        return False

    def chain_sheds(self, service: str, path: str, importance: int) -> bool:
        """Leave the refusal to the node of the target."""
        return False
