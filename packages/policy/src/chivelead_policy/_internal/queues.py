"""Queues of requests that wait for admission."""

import abc
import collections
import dataclasses
from typing import Any

from chivelead_policy._internal.registry import Registry

QUEUES: Registry['WaitQueue'] = Registry('queue')

_IMPORTANCE_LEVELS = 10
_ADMISSION_DECAY_FACTOR = 0.999


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """A queued request.

    Attributes:
        deadline_ms: Event loop time at which the caller gives up.
        arrival_ms: Event loop time at which the request was queued.
        admitted: Future that is resolved when the request is admitted.
    """

    organisation: str
    importance: int
    deadline_ms: float
    arrival_ms: float
    admitted: Any


class WaitQueue(abc.ABC):
    """Queue that chooses the next request to admit and those to evict."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiters."""

    @abc.abstractmethod
    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""

    @abc.abstractmethod
    def pop(self) -> Waiter:
        """Remove and return the next waiter."""

    @abc.abstractmethod
    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter, if it is still queued."""

    @abc.abstractmethod
    def evict_below(self, importance: int) -> Waiter | None:
        """Remove and return the least important waiter below ``importance``."""

    @abc.abstractmethod
    def count_ahead(self, importance: int) -> int:
        """Return how many waiters a new request would have to wait for."""

    def record_admission(self, organisation: str) -> None:  # noqa: B027
        """Count a request that is admitted without waiting in the queue."""


@QUEUES.register('fifo')
class FifoQueue(WaitQueue):
    """First in, first out; serves as a baseline."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: collections.deque[Waiter] = collections.deque()

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Append a waiter."""
        self._waiters.append(waiter)

    def pop(self) -> Waiter:
        """Remove and return the oldest waiter."""
        return self._waiters.popleft()

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def evict_below(self, importance: int) -> Waiter | None:  # noqa: WPS324
        """Never evict a waiter."""
        return None  # noqa: WPS324

    def count_ahead(self, importance: int) -> int:
        """Return the length of the queue."""
        return len(self._waiters)


class _ImportanceClass:
    """Waiters of equal importance, queued by organisation."""

    def __init__(self) -> None:
        self.size = 0
        self._waiters_by_organisation: dict[str, collections.deque[Waiter]] = {}

    def push(self, waiter: Waiter) -> None:
        waiters = self._waiters_by_organisation.setdefault(
            waiter.organisation,
            collections.deque(),
        )
        waiters.append(waiter)
        self.size += 1

    def pop(self, recent_admissions: dict[str, float]) -> Waiter:
        """Pop from the organisation with the fewest recent admissions."""
        organisation = min(
            self._waiters_by_organisation,
            key=lambda name: recent_admissions.get(name, 0),
        )
        return self._remove_at(organisation, 0)

    def evict(self, recent_admissions: dict[str, float]) -> Waiter:
        """Evict the newest waiter of the organisation with the most."""
        organisation = max(
            self._waiters_by_organisation,
            key=lambda name: (
                len(self._waiters_by_organisation[name]),
                recent_admissions.get(name, 0),
            ),
        )
        return self._remove_at(organisation, -1)

    def remove(self, waiter: Waiter) -> None:
        waiters = self._waiters_by_organisation.get(waiter.organisation)
        if waiters is not None and waiter in waiters:
            self._remove_at(waiter.organisation, waiters.index(waiter))

    def longest_queue_length(self) -> int:
        return max(map(len, self._waiters_by_organisation.values()), default=0)

    def queue_length(self, organisation: str) -> int:
        return len(self._waiters_by_organisation.get(organisation, ()))

    def _remove_at(self, organisation: str, position: int) -> Waiter:
        waiters = self._waiters_by_organisation[organisation]
        waiter = waiters[position]
        del waiters[position]  # noqa: WPS420
        if not waiters:
            self._waiters_by_organisation.pop(organisation)
        self.size -= 1
        return waiter


@QUEUES.register('importance-fair')
class ImportanceFairQueue(WaitQueue):
    """Most important first, then by recent admissions per organisation.

    The organisation with the fewest recent admissions is served next.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._classes = [_ImportanceClass() for _ in range(_IMPORTANCE_LEVELS)]
        self._recent_admissions: dict[str, float] = {}
        self._size = 0

    def __len__(self) -> int:
        """Return the number of waiters."""
        return self._size

    def push(self, waiter: Waiter) -> None:
        """Add a waiter to the queue of its importance and organisation."""
        self._classes[waiter.importance].push(waiter)
        self._size += 1

    def pop(self) -> Waiter:
        """Remove and return the next of the most important waiters."""
        importance_class = next(
            candidate for candidate in reversed(self._classes) if candidate.size
        )
        waiter = importance_class.pop(self._recent_admissions)
        self._size -= 1
        self.record_admission(waiter.organisation)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up."""
        importance_class = self._classes[waiter.importance]
        size_before = importance_class.size
        importance_class.remove(waiter)
        self._size += importance_class.size - size_before

    def evict_below(self, importance: int) -> Waiter | None:
        """Evict a waiter of the lowest importance below ``importance``.

        It is taken from the organisation with the most waiters.
        """
        for importance_class in self._classes[:importance]:
            if importance_class.size:
                return self._evict(importance_class)
        return None

    def evict_for(self, newcomer: Waiter) -> Waiter | None:
        """Evict a waiter in favour of a new request, if one may be evicted.

        It is either less important, or equally important and of an
        organisation with more waiters than the new request's, including it.
        """
        evicted = self.evict_below(newcomer.importance)
        importance_class = self._classes[newcomer.importance]
        if evicted is not None or not importance_class.size:
            return evicted
        own_length = importance_class.queue_length(newcomer.organisation)
        if importance_class.longest_queue_length() > own_length + 1:
            return self._evict(importance_class)
        return None

    def count_ahead(self, importance: int) -> int:
        """Return the number of waiters at or above ``importance``."""
        if not self._size:
            return 0
        return sum(
            importance_class.size
            for importance_class in self._classes[importance:]
        )

    def record_admission(self, organisation: str) -> None:
        """Count an admission; earlier ones decay exponentially."""
        for name in self._recent_admissions:
            self._recent_admissions[name] *= _ADMISSION_DECAY_FACTOR
        self._recent_admissions[organisation] = (
            self._recent_admissions.get(organisation, 0) + 1
        )

    def _evict(self, importance_class: _ImportanceClass) -> Waiter:
        self._size -= 1
        return importance_class.evict(self._recent_admissions)
