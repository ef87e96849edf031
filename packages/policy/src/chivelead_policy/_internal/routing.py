"""Routing policies, which choose the target of an attempt."""

import abc
import dataclasses
import itertools
import random
from collections.abc import Sequence

from chivelead_policy._internal.registry import Registry

ROUTERS: Registry['Router'] = Registry('routing')

# A target below this load has spare capacity.
_HIGH_LOAD = 0.85
_DISTANCE_PENALTY_BY_TIER = (0.0, 0.15, 0.8)
# Targets of one service differ in speed by a factor of up to 2.3.  The margin
# covers a round trip between regions and random variation.
_SLOW_LATENCY_FACTOR = 3.0
_SLOW_LATENCY_MARGIN_MS = 60.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A target as seen by the caller's node.

    Attributes:
        tier: 0 in the failure domain of the node, 1 elsewhere in its region,
            2 in another region.
        slots: Slots that the target announced.
        in_flight: Requests of this node that are now at the target.
        load: Last reported ``AdmissionLoad.load``, reduced with its age.
        latency_ms: Recent latency; zero if unknown.
    """

    vm: str
    tier: int
    slots: int
    in_flight: int
    load: float
    latency_ms: float

    @property
    def cost(self) -> float:
        """Return the larger of own and reported load, plus a distance penalty.

        Lower is better.
        """
        own_load = (self.in_flight + 1) / max(1, self.slots)
        return max(own_load, self.load) + _DISTANCE_PENALTY_BY_TIER[self.tier]


class Router(abc.ABC):
    """Policy that chooses one of several candidates."""

    def __init__(self, seed: int) -> None:
        """Seed the random generator."""
        self._random = random.Random(seed)  # noqa: S311

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return one of the candidates; there must be at least one."""


@ROUTERS.register('round-robin')
class RoundRobin(Router):
    """Cycle through all targets; serves as a baseline."""

    def __init__(self, seed: int) -> None:
        """Start at a position given by the seed, which differs by node."""
        super().__init__(seed)
        self._positions = itertools.count(seed)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the next candidate."""
        return candidates[next(self._positions) % len(candidates)]


@ROUTERS.register('nearest-two')
class NearestTwo(Router):
    """Power of two choices in the nearest tier that has spare capacity."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Choose from all candidates if no tier has spare capacity."""
        for tier, _ in enumerate(_DISTANCE_PENALTY_BY_TIER):
            nearest = [
                candidate
                for candidate in candidates
                if candidate.tier == tier and candidate.load < _HIGH_LOAD
            ]
            if nearest:
                return self._better_of_two(nearest)
        # Still at random: load reports lag, so the least loaded candidate would
        # get all calls.
        return self._better_of_two(list(candidates))

    def _better_of_two(self, candidates: list[Candidate]) -> Candidate:
        if len(candidates) > 2:
            candidates = self._random.sample(candidates, 2)
        return min(candidates, key=lambda candidate: candidate.cost)


@ROUTERS.register('nearest-quick')
class NearestQuick(NearestTwo):
    """Like ``NearestTwo``, but skip targets much slower than the fastest.

    A slow target in the node's own failure domain reports spare capacity for a
    long time before its load shows that it is slow.
    """

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Choose from the candidates whose latency is low or unknown."""
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
