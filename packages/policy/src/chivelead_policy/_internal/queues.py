"""Order of requests that wait for admission."""

import abc
import collections
import dataclasses
from typing import Any

from chivelead_policy._internal.registry import Registry

QUEUES: Registry['WaitQueue'] = Registry('queue')

_IMPORTANCE_LEVELS = 10
_FORGET_PER_TURN = 0.999


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """One request in the queue.

    Attributes:
        deadline_ms: Time of the loop at which the caller gives up.
        arrival_ms: Time of the loop at which it came.
        admitted: Future that is set when its turn comes.
    """

    organisation: str
    importance: int
    deadline_ms: float
    arrival_ms: float
    admitted: Any


class WaitQueue(abc.ABC):
    """A queue that knows whom to serve next and whom to give up."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiters."""

    @abc.abstractmethod
    def push(self, waiter: Waiter) -> None:
        """Add a waiter."""

    @abc.abstractmethod
    def pop(self) -> Waiter:
        """Remove and return the waiter whose turn it is."""

    @abc.abstractmethod
    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up; ignored when it is not there."""

    @abc.abstractmethod
    def evict_below(self, importance: int) -> Waiter | None:
        """Remove the least important waiter below ``importance``, if any."""

    @abc.abstractmethod
    def ahead_of(self, importance: int) -> int:
        """Return how many waiters go before a newcomer."""

    def charge(self, organisation: str) -> None:  # noqa: B027
        """Note that a request was admitted without waiting."""


@QUEUES.register('fifo')
class FirstInFirstOut(WaitQueue):
    """Serve in order of arrival; a baseline."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: collections.deque[Waiter] = collections.deque()

    def __len__(self) -> int:
        """Return the number of waiters."""
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a waiter at the end."""
        self._waiters.append(waiter)

    def pop(self) -> Waiter:
        """Remove and return the oldest waiter."""
        return self._waiters.popleft()

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def evict_below(self, importance: int) -> Waiter | None:  # noqa: WPS324
        """Evict nobody."""
        return None  # noqa: WPS324

    def ahead_of(self, importance: int) -> int:
        """Return the length of the queue."""
        return len(self._waiters)


class _FairClass:
    """Waiters of one importance, by organisation."""

    def __init__(self) -> None:
        self.size = 0
        self._by_organisation: dict[str, collections.deque[Waiter]] = {}

    def push(self, waiter: Waiter) -> None:
        lane = self._by_organisation.setdefault(
            waiter.organisation,
            collections.deque(),
        )
        lane.append(waiter)
        self.size += 1

    def pop(self, served: dict[str, float]) -> Waiter:
        organisation = min(
            self._by_organisation,
            key=lambda name: served.get(name, 0),
        )
        return self._take(organisation, 0)

    def evict(self, served: dict[str, float]) -> Waiter:
        organisation = max(
            self._by_organisation,
            key=lambda name: (
                len(self._by_organisation[name]),
                served.get(name, 0),
            ),
        )
        return self._take(organisation, -1)

    def remove(self, waiter: Waiter) -> None:
        lane = self._by_organisation.get(waiter.organisation)
        if lane is not None and waiter in lane:
            self._take(waiter.organisation, lane.index(waiter))

    def longest_lane(self) -> int:
        return max(map(len, self._by_organisation.values()), default=0)

    def lane_of(self, organisation: str) -> int:
        return len(self._by_organisation.get(organisation, ()))

    def _take(self, organisation: str, position: int) -> Waiter:
        lane = self._by_organisation[organisation]
        waiter = lane[position]
        del lane[position]  # noqa: WPS420
        if not lane:
            self._by_organisation.pop(organisation)
        self.size -= 1
        return waiter


@QUEUES.register('importance-fair')
class ImportanceFair(WaitQueue):
    """Most important first, then the organisation served least of late."""

    def __init__(self) -> None:
        """Start empty."""
        self._classes = [_FairClass() for _ in range(_IMPORTANCE_LEVELS)]
        self._served: dict[str, float] = {}
        self._size = 0

    def __len__(self) -> int:
        """Return the number of waiters."""
        return self._size

    def push(self, waiter: Waiter) -> None:
        """Add a waiter to its class."""
        self._classes[waiter.importance].push(waiter)
        self._size += 1

    def pop(self) -> Waiter:
        """Remove and return the next waiter of the highest class."""
        fair_class = next(
            candidate for candidate in reversed(self._classes) if candidate.size
        )
        waiter = fair_class.pop(self._served)
        self._size -= 1
        self.charge(waiter.organisation)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that gave up."""
        fair_class = self._classes[waiter.importance]
        before = fair_class.size
        fair_class.remove(waiter)
        self._size += fair_class.size - before

    def evict_below(self, importance: int) -> Waiter | None:
        """Evict from the lowest class, the most numerous organisation."""
        for fair_class in self._classes[:importance]:
            if fair_class.size:
                return self._evict(fair_class)
        return None

    def evict_for(self, newcomer: Waiter) -> Waiter | None:
        """Evict for a newcomer, also within its class for fairness."""
        evicted = self.evict_below(newcomer.importance)
        fair_class = self._classes[newcomer.importance]
        if evicted is not None or not fair_class.size:
            return evicted
        own_lane = fair_class.lane_of(newcomer.organisation)
        if fair_class.longest_lane() > own_lane + 1:
            return self._evict(fair_class)
        return None

    def ahead_of(self, importance: int) -> int:
        """Return the waiters of this class and above."""
        if not self._size:
            return 0
        return sum(fair_class.size for fair_class in self._classes[importance:])

    def charge(self, organisation: str) -> None:
        """Count service, so that old service fades."""
        for name in self._served:
            self._served[name] *= _FORGET_PER_TURN
        self._served[organisation] = self._served.get(organisation, 0) + 1

    def _evict(self, fair_class: _FairClass) -> Waiter:
        self._size -= 1
        return fair_class.evict(self._served)
