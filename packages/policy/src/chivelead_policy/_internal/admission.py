"""Admission of requests at the node of their target."""

import asyncio
import collections
import dataclasses
import enum

from chivelead_protocol import loop_ms

from chivelead_policy._internal.limits import Completion, ConcurrencyLimit
from chivelead_policy._internal.queues import (
    ImportanceFair,
    Waiter,
    WaitQueue,
)

_QUEUE_PER_SLOT = 0.5
_QUEUE_LEAST = 4
_DEVIATIONS = 1.5
_LATENCY_WEIGHT = 0.1
_SHED_WINDOW_MS = 400
_LEVELS = 10


class RefusalReason(enum.StrEnum):
    """Why a request was refused before it reached a target."""

    overload = 'overload'
    deadline = 'deadline'
    draining = 'draining'


class RefusedError(Exception):
    """A request was refused before it reached the target."""

    def __init__(self, reason: RefusalReason) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason


@dataclasses.dataclass(frozen=True)
class Applicant:
    """What admission needs to know of a request.

    Attributes:
        deadline_ms: Time of the loop at which the caller gives up.
        queue_limit_ms: Longest wait; zero for no bound but the deadline.
    """

    organisation: str
    importance: int
    deadline_ms: float
    queue_limit_ms: float = 0


@dataclasses.dataclass(frozen=True)
class Pressure:
    """What replies tell callers' nodes of the state of admission."""

    shed_level: float
    queue_ms: float
    load: float


class _ShedMeter:
    """How far down in importance the admitted requests would reach."""

    def __init__(self) -> None:
        self._events: collections.deque[tuple[float, int, bool]] = (
            collections.deque()
        )
        self._admitted = [0 for _ in range(_LEVELS)]
        self._refused = [0 for _ in range(_LEVELS)]

    def note(self, importance: int, refused: bool) -> None:
        self._events.append((loop_ms(), importance, refused))
        counts = self._refused if refused else self._admitted
        counts[importance] += 1

    def level(self) -> float:
        horizon_ms = loop_ms() - _SHED_WINDOW_MS
        while self._events and self._events[0][0] < horizon_ms:
            _, importance, refused = self._events.popleft()
            counts = self._refused if refused else self._admitted
            counts[importance] -= 1
        return self._boundary()

    def _boundary(self) -> float:
        """Return where the room would end if the most important went first.

        A single refusal among many calls then sheds as many calls of the
        least importance, and not all calls below the one refused.
        """
        room = sum(self._admitted)
        if not sum(self._refused):
            return 0
        for importance in reversed(range(_LEVELS)):
            seen = self._admitted[importance] + self._refused[importance]
            if seen > room:
                return importance + 1 - room / seen
            room -= seen
        return 0


class Admission:
    """Admit, queue or refuse requests for one target.

    Args:
        limit: How many requests may be at the target at once.
        queue: Order of those that wait.
        shed_late: Refuse requests whose remaining time cannot suffice.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        queue: WaitQueue,
        *,
        shed_late: bool = True,
    ) -> None:
        """Start with nothing in flight."""
        self.in_flight = 0
        self.latency_ms = 0.0
        self._limit = limit
        self._queue = queue
        self._shed_late = shed_late
        self._meter = _ShedMeter()
        self._deviation_ms = 0.0

    def announce(self, slots: int, *, warm: bool = False) -> None:
        """Take in the slots that the target claims, and whether it is warm."""
        self._limit.announce(slots)
        if warm:
            self._limit.warm()
        self._wake()

    def pressure(self) -> Pressure:
        """Return the present state for replies."""
        limit = max(1.0, self._limit.limit)
        return Pressure(
            shed_level=self._meter.level(),
            queue_ms=self._wait_estimate_ms(0),
            load=(self.in_flight + len(self._queue)) / limit,
        )

    async def admit(self, applicant: Applicant) -> None:
        """Wait for a slot.

        Raises:
            RefusedError: The request will not run at this target.
        """
        if self._is_late(applicant):
            raise RefusedError(RefusalReason.deadline)
        if self.in_flight < self._limit.limit and not len(self._queue):
            self._queue.charge(applicant.organisation)
            self._start(applicant.importance)
            return
        await self._wait(applicant)

    def release(self, completion: Completion) -> None:
        """Free the slot of a request that ended."""
        self._limit.complete(completion)
        self.in_flight -= 1
        if not completion.shed and not completion.failed:
            gap_ms = completion.latency_ms - self.latency_ms
            weight = _LATENCY_WEIGHT if self.latency_ms else 1
            self.latency_ms += gap_ms * weight
            if weight < 1:
                spread_ms = abs(gap_ms) - self._deviation_ms
                self._deviation_ms += spread_ms * weight
        self._wake()

    async def _wait(self, applicant: Applicant) -> None:
        waiter = Waiter(
            organisation=applicant.organisation,
            importance=applicant.importance,
            deadline_ms=applicant.deadline_ms,
            arrival_ms=loop_ms(),
            admitted=asyncio.get_running_loop().create_future(),
        )
        self._make_room(waiter)
        self._queue.push(waiter)
        latest_ms = applicant.deadline_ms
        if self._shed_late:
            latest_ms -= self._time_needed_ms()
        if applicant.queue_limit_ms:
            latest_ms = min(latest_ms, loop_ms() + applicant.queue_limit_ms)
        try:
            async with asyncio.timeout_at(latest_ms / 1000):  # noqa: WPS432
                await waiter.admitted
        except TimeoutError as error:
            self._give_up(waiter)
            raise RefusedError(RefusalReason.overload) from error
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise

    def _give_up(self, waiter: Waiter) -> None:
        self._queue.remove(waiter)
        future = waiter.admitted
        if future.done() and not future.cancelled() and not future.exception():
            # The slot was given in the same step that the wait ended.
            self.in_flight -= 1
            self._wake()
        else:
            self._meter.note(waiter.importance, refused=True)

    def _make_room(self, waiter: Waiter) -> None:
        bound = max(_QUEUE_LEAST, self._limit.limit * _QUEUE_PER_SLOT)
        if len(self._queue) < bound:
            return
        if isinstance(self._queue, ImportanceFair):
            evicted = self._queue.evict_for(waiter)
        else:
            evicted = self._queue.evict_below(waiter.importance)
        if evicted is None:
            self._meter.note(waiter.importance, refused=True)
            raise RefusedError(RefusalReason.overload)
        self._meter.note(evicted.importance, refused=True)
        if not evicted.admitted.done():
            evicted.admitted.set_exception(
                RefusedError(RefusalReason.overload),
            )

    def _wake(self) -> None:
        while len(self._queue) and self.in_flight < self._limit.limit:
            waiter = self._queue.pop()
            if waiter.admitted.done():
                continue
            waiter.admitted.set_result(None)
            self._start(waiter.importance)

    def _start(self, importance: int) -> None:
        self.in_flight += 1
        self._meter.note(importance, refused=False)

    def _is_late(self, applicant: Applicant) -> bool:
        left_ms = applicant.deadline_ms - loop_ms()
        if left_ms <= 0:
            return True
        if not self._shed_late:
            return False
        wait_ms = self._wait_estimate_ms(applicant.importance)
        return wait_ms + self._time_needed_ms() > left_ms

    def _time_needed_ms(self) -> float:
        """Return the time that most requests take at the target."""
        return self.latency_ms + _DEVIATIONS * self._deviation_ms

    def _wait_estimate_ms(self, importance: int) -> float:
        ahead = self._queue.ahead_of(importance)
        if not ahead and self.in_flight < self._limit.limit:
            return 0
        return (ahead + 1) * self.latency_ms / max(1.0, self._limit.limit)
