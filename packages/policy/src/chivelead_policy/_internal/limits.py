"""Concurrency limits at a target, from its slots and own measurements."""

import abc
import dataclasses

from chivelead_policy._internal.registry import Registry

LIMITS: Registry['ConcurrencyLimit'] = Registry('admission')

_SLOW_START_FRACTION = 0.25
_DECREASE_FACTOR = 0.95
_FAST_INCREASE_PER_SUCCESS = 0.5
_SLOW_INCREASE_PER_SUCCESS = 0.05
_UNLIMITED = 1_000_000.0
# A target that claims slots and refuses with a fifth of them free is faulty; it
# has a queue besides its slots.
_MIN_OVERLOAD_UTILISATION = 0.8


@dataclasses.dataclass(frozen=True)
class Completion:
    """How a request that was admitted ended.

    Attributes:
        latency_ms: Time at the target.
        shed: The target refused it for overload itself.
        failed: No answer came from the target.
        in_flight: Requests at the target when this one ended.
    """

    latency_ms: float
    shed: bool
    failed: bool
    in_flight: int


class ConcurrencyLimit(abc.ABC):
    """How many requests may be at the target at once."""

    def __init__(self) -> None:
        """Start with nothing announced."""
        self._slots = 0

    @property
    @abc.abstractmethod
    def limit(self) -> float:
        """Return the present limit; may be fractional."""

    def update_slots(self, slots: int) -> None:
        """Take in the slots that the target claims."""
        self._slots = slots

    def complete(self, completion: Completion) -> None:
        """Learn from a request that ended."""

    def skip_slow_start(self) -> None:
        """Take the target for one that has served before."""


@LIMITS.register('none')
class NoLimit(ConcurrencyLimit):
    """Admit everything; a baseline."""

    @property
    def limit(self) -> float:
        """Return a limit that is never met."""
        return _UNLIMITED


@LIMITS.register('static')
class StaticLimit(ConcurrencyLimit):
    """Trust the announced slots; a baseline."""

    @property
    def limit(self) -> float:
        """Return the announced slots."""
        return float(self._slots)


@LIMITS.register('adaptive')
class AdaptiveLimit(ConcurrencyLimit):
    """Grow to the announced slots, fall back when the target sheds.

    A cold target starts with a part of its slots.  Growth is fast below the
    level at which the target last shed, and slow above it.
    """

    def __init__(self) -> None:
        """Start with nothing announced."""
        super().__init__()
        self._limit = 0.0
        self._fast_increase_ceiling = _UNLIMITED

    @property
    def limit(self) -> float:
        """Return the corrected limit."""
        return self._limit

    def update_slots(self, slots: int) -> None:
        """Start cold for a new target, clip for a known one."""
        if self._slots == 0 or self._limit == 0:
            self._limit = max(1.0, slots * _SLOW_START_FRACTION)
            self._fast_increase_ceiling = _UNLIMITED
        super().update_slots(slots)
        self._limit = min(self._limit, float(slots))

    def skip_slow_start(self) -> None:
        """Start with all slots, for a target that has served before."""
        self._limit = float(self._slots)

    def complete(self, completion: Completion) -> None:
        """Apply additive increase and multiplicative decrease."""
        if completion.shed:
            limit_in_use = min(self._limit, float(completion.in_flight))
            self._fast_increase_ceiling = max(
                1.0, limit_in_use * _DECREASE_FACTOR
            )
            self._limit = self._fast_increase_ceiling
        elif self._limit < self._fast_increase_ceiling:
            self._increase(_FAST_INCREASE_PER_SUCCESS)
        elif completion.in_flight >= self._limit / 2:
            self._increase(_SLOW_INCREASE_PER_SUCCESS / self._limit)

    def _increase(self, step: float) -> None:
        self._limit = min(float(self._slots), self._limit + step)


@LIMITS.register('adaptive-with-room')
class SpareCapacityLimit(AdaptiveLimit):
    """Take refusals with much room left for faults, not for overload.

    A target that refuses a part of all requests for no reason would else
    bring its limit down to one, and a whole service with it.
    """

    def complete(self, completion: Completion) -> None:
        """Ignore refusals unless most of the claimed slots are in use."""
        if (
            completion.shed
            and completion.in_flight < self._slots * _MIN_OVERLOAD_UTILISATION
        ):
            return
        super().complete(completion)
