"""Concurrency limits of a target, from its announced slots and its responses.

The slots of a target are the number of requests that it can run at once.
"""

import abc
import dataclasses

from chivelead_policy._internal.registry import Registry

LIMITS: Registry['ConcurrencyLimit'] = Registry('admission')

_SLOW_START_FRACTION = 0.25
_DECREASE_FACTOR = 0.95
_FAST_INCREASE_PER_SUCCESS = 0.5
_SLOW_INCREASE_PER_SUCCESS = 0.05
_UNLIMITED = 1_000_000.0
# A target has a queue besides its slots, so one that refuses requests while a
# fifth of its slots are free is faulty, not overloaded.
_MIN_OVERLOAD_UTILISATION = 0.8


@dataclasses.dataclass(frozen=True)
class Completion:
    """Outcome of an admitted request.

    Attributes:
        latency_ms: Time spent at the target.
        shed: The target itself refused the request due to overload.
        failed: The target did not return a complete response in time.
        in_flight: Requests at the target when this one completed.
    """

    latency_ms: float
    shed: bool
    failed: bool
    in_flight: int


class ConcurrencyLimit(abc.ABC):
    """Maximum number of concurrent requests at a target."""

    def __init__(self) -> None:
        """Start without announced slots."""
        self._slots = 0

    @property
    @abc.abstractmethod
    def max_in_flight(self) -> float:
        """Return the current limit, which may be fractional."""

    def update_slots(self, slots: int) -> None:
        """Update the slots that the target announced."""
        self._slots = slots

    def record_completion(self, completion: Completion) -> None:
        """Adjust the limit to the outcome of a request."""

    def skip_slow_start(self) -> None:
        """Treat the target as warmed up."""


@LIMITS.register('none')
class NoLimit(ConcurrencyLimit):
    """Admit all requests; serves as a baseline."""

    @property
    def max_in_flight(self) -> float:
        """Return a limit that is never reached."""
        return _UNLIMITED


@LIMITS.register('static')
class StaticLimit(ConcurrencyLimit):
    """Use the announced slots as the limit; serves as a baseline."""

    @property
    def max_in_flight(self) -> float:
        """Return the announced slots."""
        return float(self._slots)


@LIMITS.register('adaptive')
class AdaptiveLimit(ConcurrencyLimit):
    """Additive increase up to the announced slots, multiplicative decrease.

    A cold target starts with a fraction of its slots.  The limit decreases
    when the target sheds a request.  It then increases fast up to just below
    the concurrency at which the target last shed, and slowly above that.
    """

    def __init__(self) -> None:
        """Start without announced slots."""
        super().__init__()
        self._limit = 0.0
        self._fast_increase_ceiling = _UNLIMITED

    @property
    def max_in_flight(self) -> float:
        """Return the adapted limit."""
        return self._limit

    def update_slots(self, slots: int) -> None:
        """Start a new target slowly; cap the limit of a known one."""
        if self._slots == 0 or self._limit == 0:
            self._limit = max(1.0, slots * _SLOW_START_FRACTION)
            self._fast_increase_ceiling = _UNLIMITED
        super().update_slots(slots)
        self._limit = min(self._limit, float(slots))

    def skip_slow_start(self) -> None:
        """Allow all announced slots at once."""
        self._limit = float(self._slots)

    def record_completion(self, completion: Completion) -> None:
        """Apply additive increase and multiplicative decrease."""
        if completion.shed:
            concurrency_at_shed = min(self._limit, float(completion.in_flight))
            self._fast_increase_ceiling = max(
                1.0, concurrency_at_shed * _DECREASE_FACTOR
            )
            self._limit = self._fast_increase_ceiling
        elif self._limit < self._fast_increase_ceiling:
            self._increase(_FAST_INCREASE_PER_SUCCESS)
        elif completion.in_flight >= self._limit / 2:
            self._increase(_SLOW_INCREASE_PER_SUCCESS / self._limit)

    def _increase(self, step: float) -> None:
        self._limit = min(float(self._slots), self._limit + step)


@LIMITS.register('adaptive-with-room')
class UtilisationAwareLimit(AdaptiveLimit):
    """Adaptive limit that ignores refusals of a target with free slots.

    Such refusals indicate a fault, not overload.  If they counted, a target
    that refuses a part of its requests for no reason would reduce its limit
    to one and degrade its whole service.
    """

    def record_completion(self, completion: Completion) -> None:
        """Ignore refusals unless most of the announced slots are in use."""
        if (
            completion.shed
            and completion.in_flight < self._slots * _MIN_OVERLOAD_UTILISATION
        ):
            return
        super().record_completion(completion)
