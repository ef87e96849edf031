"""Overload detection at targets and load shedding at ingress nodes.

When a node refuses requests for its target, it increases the fraction of its
service's demand that should be shed.  Ingress nodes, where requests enter the
fleet, shed that fraction before any work is done.  They choose the least
important requests that call the service, directly or through other services.
"""

import collections
import dataclasses
import random
from collections.abc import Mapping

from chivelead_protocol import loop_ms

_UPDATE_PERIOD_MS = 500.0
# Fraction of the excess that one update corrects; the remaining excess still
# causes refusals and is corrected by later updates.
_INTEGRAL_GAIN = 0.6
# Random bursts cause up to this fraction of refusals even without overload.
_MIN_REFUSED_FRACTION = 0.01
# Applied in each period without refusals: from one half to zero in 8 s.
_DECREASE_PER_PERIOD = 0.03
_MAX_LOAD_FOR_DECREASE = 0.95
_MAX_SHED_FRACTION = 0.95
_IMPORTANCE_LEVELS = 10
# Window over which an ingress node averages the demand.
_DEMAND_WINDOW_MS = 3000.0
_MIN_SHED_FRACTION = 0.02


class ShedController:
    """Integral controller for the fraction of demand to shed.

    Attributes:
        shed_part: Fraction of the service's demand that should be shed; named
            like the metric and the field of ``Heartbeat`` that report it.
    """

    def __init__(self) -> None:
        """Start with nothing to shed."""
        self.shed_part = 0.0
        self._admitted = 0
        self._refused = 0
        self._updated_ms = 0.0

    def record(self, *, refused: bool) -> None:
        """Count a request that was admitted, or refused due to overload."""
        if refused:
            self._refused += 1
        else:
            self._admitted += 1

    def update(self, load: float) -> float:
        """Return the fraction to shed, updated once per period.

        Args:
            load: Requests running and queued, divided by the limit.
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
    """Decaying count of the calls to a service, by importance."""

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


class IngressShedder:
    """Shed the least important requests that would overload a service.

    Args:
        seed: Seed of the random choice among equally important requests.
    """

    def __init__(self, seed: int) -> None:
        """Start without any recorded demand."""
        self._random = random.Random(seed)  # noqa: S311
        self._demands: dict[str, _ServiceDemand] = collections.defaultdict(
            lambda: _ServiceDemand(
                [0.0 for _ in range(_IMPORTANCE_LEVELS)], loop_ms()
            ),
        )

    def find_overloaded_service(
        self,
        importance: int,
        calls_by_service: Mapping[str, float],
        shed_fractions: Mapping[str, float],
    ) -> str:
        """Record the demand of a request and decide whether to shed it.

        Args:
            importance: Importance of the request.
            calls_by_service: Calls that the request causes, by service.
            shed_fractions: Fraction of its demand to shed, by service.

        Returns:
            The overloaded service because of which the request must be shed,
            or an empty string if it may proceed.
        """
        overloaded = ''
        for service, calls in calls_by_service.items():
            demand = self._demands[service]
            demand.add(importance, calls)
            shed_fraction = shed_fractions.get(service, 0)
            if shed_fraction > _MIN_SHED_FRACTION and self._should_shed(
                demand, importance, shed_fraction
            ):
                overloaded = overloaded or service
        return overloaded

    def _should_shed(
        self, demand: _ServiceDemand, importance: int, shed_fraction: float
    ) -> bool:
        """Tell whether a request is part of the demand to shed.

        Less important requests are shed first; at the boundary, requests of
        equal importance are chosen at random.
        """
        total = sum(demand.by_importance)
        below_importance = sum(demand.by_importance[:importance])
        at_importance = demand.by_importance[importance]
        remaining_excess = shed_fraction * total - below_importance
        if remaining_excess <= 0:
            return False
        return self._random.random() * at_importance < remaining_excess
