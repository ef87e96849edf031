"""Overload seen at targets, and shedding at the entries.

The node of a target that has to refuse raises the part of its service's
demand that entries should not let in; entries pick the least important
requests for that, whether they lead to the service at once or by a chain of
calls, and refuse them before anything has run.
"""

import collections
import dataclasses
import random
from collections.abc import Mapping

from chivelead_protocol import loop_ms

_PERIOD_MS = 500.0
# Part of the excess that one step corrects; the rest is seen again.
_GAIN = 0.6
# Chance refuses this part even without overload.
_REFUSED_LEAST = 0.01
# Step down per period without refusals: from half to nothing in 8 s.
_RELIEF = 0.03
_RELIEF_LOAD = 0.95
_SHED_MOST = 0.95
_LEVELS = 10
# Time over which an entry averages the demand that it sees.
_DEMAND_MEMORY_MS = 3000.0
_SHED_LEAST = 0.02


class GateControl:
    """Integrate refusals into the part of the demand to keep away."""

    def __init__(self) -> None:
        """Start without any overload."""
        self.shed_part = 0.0
        self._admitted = 0
        self._refused = 0
        self._step_ms = 0.0

    def note(self, *, refused: bool) -> None:
        """Note a request that was let in or refused for overload."""
        if refused:
            self._refused += 1
        else:
            self._admitted += 1

    def tend(self, load: float) -> float:
        """Return the part to keep away, brought up to the present.

        Args:
            load: Requests running and waiting over the limit.
        """
        if loop_ms() - self._step_ms < _PERIOD_MS:
            return self.shed_part
        self._step_ms = loop_ms()
        seen = self._admitted + self._refused
        refused = self._refused / seen if seen else 0
        self._admitted = 0
        self._refused = 0
        if refused > _REFUSED_LEAST:
            self.shed_part += (1 - self.shed_part) * refused * _GAIN
            self.shed_part = min(self.shed_part, _SHED_MOST)
        elif load < _RELIEF_LOAD:
            self.shed_part = max(0.0, self.shed_part - _RELIEF)
        return self.shed_part


@dataclasses.dataclass
class _Demand:
    """Calls that requests of each importance would lead to, fading."""

    by_level: list[float]
    at_ms: float

    def add(self, importance: int, calls: float) -> None:
        passed_ms = loop_ms() - self.at_ms
        kept = max(0.0, 1 - passed_ms / _DEMAND_MEMORY_MS)
        self.by_level = [level * kept for level in self.by_level]
        self.by_level[importance] += calls
        self.at_ms = loop_ms()


class EntryShedder:
    """Refuse the least important requests that lead to overload.

    Args:
        seed: Seed of the choice within one class.
    """

    def __init__(self, seed: int) -> None:
        """Start with no demand seen."""
        self._random = random.Random(seed)  # noqa: S311
        self._demands: dict[str, _Demand] = collections.defaultdict(
            lambda: _Demand([0.0 for _ in range(_LEVELS)], loop_ms()),
        )

    def sheds(
        self,
        importance: int,
        reach: Mapping[str, float],
        shed_parts: Mapping[str, float],
    ) -> str:
        """Return the overloaded service for whose sake to refuse, or ''.

        Args:
            importance: Importance of the request.
            reach: Calls at each service that it leads to.
            shed_parts: Part of its demand that each service cannot bear.
        """
        reason = ''
        for service, calls in reach.items():
            demand = self._demands[service]
            demand.add(importance, calls)
            part = shed_parts.get(service, 0)
            if part > _SHED_LEAST and self._falls(demand, importance, part):
                reason = reason or service
        return reason

    def _falls(self, demand: _Demand, importance: int, part: float) -> bool:
        """Tell whether a request is among the lowest ``part`` of demand."""
        total = sum(demand.by_level)
        below = sum(demand.by_level[:importance])
        own = demand.by_level[importance]
        missing = part * total - below
        if missing <= 0:
            return False
        return self._random.random() * own < missing
