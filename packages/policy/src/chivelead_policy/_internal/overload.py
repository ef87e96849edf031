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

_UPDATE_PERIOD_MS = 500.0
# Part of the excess that one step corrects; the rest is seen again.
_INTEGRAL_GAIN = 0.6
# Chance refuses this part even without overload.
_MIN_REFUSED_FRACTION = 0.01
# Step down per period without refusals: from half to nothing in 8 s.
_DECREASE_PER_PERIOD = 0.03
_MAX_LOAD_FOR_DECREASE = 0.95
_MAX_SHED_FRACTION = 0.95
_IMPORTANCE_LEVELS = 10
# Time over which an entry averages the demand that it sees.
_DEMAND_WINDOW_MS = 3000.0
_MIN_SHED_FRACTION = 0.02


class ShedController:
    """Integrate refusals into the part of the demand to keep away."""

    def __init__(self) -> None:
        """Start without any overload."""
        self.shed_part = 0.0
        self._admitted = 0
        self._refused = 0
        self._updated_ms = 0.0

    def record(self, *, refused: bool) -> None:
        """Note a request that was let in or refused for overload."""
        if refused:
            self._refused += 1
        else:
            self._admitted += 1

    def update(self, load: float) -> float:
        """Return the part to keep away, brought up to the present.

        Args:
            load: Requests running and waiting over the limit.
        """
        if loop_ms() - self._updated_ms < _UPDATE_PERIOD_MS:
            return self.shed_part
        self._updated_ms = loop_ms()
        total = self._admitted + self._refused
        refused_fraction = self._refused / total if total else 0
        self._admitted = 0
        self._refused = 0
        if refused_fraction > _MIN_REFUSED_FRACTION:
            self.shed_part += (
                (1 - self.shed_part) * refused_fraction * _INTEGRAL_GAIN
            )
            self.shed_part = min(self.shed_part, _MAX_SHED_FRACTION)
        elif load < _MAX_LOAD_FOR_DECREASE:
            self.shed_part = max(0.0, self.shed_part - _DECREASE_PER_PERIOD)
        return self.shed_part


@dataclasses.dataclass
class _ServiceDemand:
    """Calls that requests of each importance would lead to, fading."""

    by_importance: list[float]
    updated_ms: float

    def add(self, importance: int, calls: float) -> None:
        elapsed_ms = loop_ms() - self.updated_ms
        retained = max(0.0, 1 - elapsed_ms / _DEMAND_WINDOW_MS)
        self.by_importance = [
            calls_at_level * retained for calls_at_level in self.by_importance
        ]
        self.by_importance[importance] += calls
        self.updated_ms = loop_ms()


class EntryShedder:
    """Refuse the least important requests that lead to overload.

    Args:
        seed: Seed of the choice within one class.
    """

    def __init__(self, seed: int) -> None:
        """Start with no demand seen."""
        self._random = random.Random(seed)  # noqa: S311
        self._demands: dict[str, _ServiceDemand] = collections.defaultdict(
            lambda: _ServiceDemand(
                [0.0 for _ in range(_IMPORTANCE_LEVELS)], loop_ms()
            ),
        )

    def find_overloaded_service(
        self,
        importance: int,
        downstream_calls: Mapping[str, float],
        shed_parts: Mapping[str, float],
    ) -> str:
        """Return the overloaded service for whose sake to refuse, or ''.

        Args:
            importance: Importance of the request.
            reach: Calls at each service that it leads to.
            shed_parts: Part of its demand that each service cannot bear.
        """
        overloaded = ''
        for service, calls in downstream_calls.items():
            demand = self._demands[service]
            demand.add(importance, calls)
            shed_part = shed_parts.get(service, 0)
            if shed_part > _MIN_SHED_FRACTION and self._selects(
                demand, importance, shed_part
            ):
                overloaded = overloaded or service
        return overloaded

    def _selects(
        self, demand: _ServiceDemand, importance: int, shed_part: float
    ) -> bool:
        """Tell whether a request is among the lowest ``part`` of demand."""
        total = sum(demand.by_importance)
        below_importance = sum(demand.by_importance[:importance])
        at_importance = demand.by_importance[importance]
        remaining_excess = shed_part * total - below_importance
        if remaining_excess <= 0:
            return False
        return self._random.random() * at_importance < remaining_excess
