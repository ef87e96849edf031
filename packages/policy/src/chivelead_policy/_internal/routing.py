"""Choice of the target for an attempt."""

import abc
import dataclasses
import itertools
import random
from collections.abc import Sequence

from chivelead_policy._internal.registry import Registry

ROUTERS: Registry['Router'] = Registry('routing')

_HIGH_LOAD = 0.85
_TIER_PENALTIES = (0.0, 0.15, 0.8)
# Instances of one service differ by a factor of 2.3 in speed; the margin is a
# round trip between regions and some chance.
_SLOW_LATENCY_FACTOR = 3.0
_SLOW_LATENCY_MARGIN_MS = 60.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A target as the caller's node sees it.

    Attributes:
        tier: 0 in the own failure domain, 1 in the own region, 2 beyond.
        slots: Slots that the target claims.
        in_flight: Own requests at the target at present.
        load: Load in the last reply, faded with its age.
        latency_ms: Latency seen of late.
    """

    vm: str
    tier: int
    slots: int
    in_flight: int
    load: float
    latency_ms: float

    @property
    def score(self) -> float:
        """Return the expected wait; smaller is better."""
        own_load = (self.in_flight + 1) / max(1, self.slots)
        return max(own_load, self.load) + _TIER_PENALTIES[self.tier]


class Router(abc.ABC):
    """Choose one of the candidates."""

    def __init__(self, seed: int) -> None:
        """Seed the random choice."""
        self._random = random.Random(seed)  # noqa: S311

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of at least one candidate."""


@ROUTERS.register('round-robin')
class RoundRobin(Router):
    """Take turns over all targets; a baseline."""

    def __init__(self, seed: int) -> None:
        """Start at a position that differs by node."""
        super().__init__(seed)
        self._turn = itertools.count(seed)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the next in turn."""
        return candidates[next(self._turn) % len(candidates)]


@ROUTERS.register('nearest-two')
class NearestTwo(Router):
    """The better of two random ones in the nearest tier with room."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the choice; over all tiers when none has room."""
        for tier, _ in enumerate(_TIER_PENALTIES):
            nearest = [
                candidate
                for candidate in candidates
                if candidate.tier == tier and candidate.load < _HIGH_LOAD
            ]
            if nearest:
                return self._better_of_two(nearest)
        # Reports lag: the least loaded of all would get every call at once.
        return self._better_of_two(list(candidates))

    def _better_of_two(self, nearest: list[Candidate]) -> Candidate:
        if len(nearest) > 2:
            nearest = self._random.sample(nearest, 2)
        return min(nearest, key=lambda candidate: candidate.score)


@ROUTERS.register('nearest-quick')
class NearestQuick(NearestTwo):
    """As nearest-two, but past targets that are far slower than others.

    A slow target in the own failure domain has room for long before its load
    shows that it is slow.
    """

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the choice among those that are not slow."""
        known_latencies_ms = [
            candidate.latency_ms
            for candidate in candidates
            if candidate.latency_ms
        ]
        if not known_latencies_ms:
            return super().choose(candidates)
        max_latency_ms = (
            min(known_latencies_ms) * _SLOW_LATENCY_FACTOR
            + _SLOW_LATENCY_MARGIN_MS
        )
        fast = [
            candidate
            for candidate in candidates
            if candidate.latency_ms <= max_latency_ms
        ]
        return super().choose(fast)
