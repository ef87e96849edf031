"""Admission control at the node in front of a target."""

import asyncio
import dataclasses
import enum

from chivelead_protocol import loop_ms

from chivelead_policy._internal.limits import Completion, ConcurrencyLimit
from chivelead_policy._internal.pacing import RequestPacer
from chivelead_policy._internal.queues import (
    ImportanceFairQueue,
    Waiter,
    WaitQueue,
)
from chivelead_policy._internal.shed_level import ShedLevelEstimator

_QUEUE_TO_LIMIT_RATIO = 0.5
_MIN_QUEUE_LENGTH = 4
_DEADLINE_MARGIN_DEVIATIONS = 1.5
_LATENCY_EWMA_WEIGHT = 0.1
_MS_PER_S = 1000
# Rounding can leave a wait that does not move the clock.
_MIN_TIMER_MS = 1.0


class RefusalReason(enum.StrEnum):
    """Reason why a request was refused before it reached the target."""

    overload = 'overload'
    target_rate = 'target-rate'
    deadline = 'deadline'
    draining = 'draining'
    suspended = 'target-suspended'


class RefusedError(Exception):
    """A request was refused before it reached the target."""

    def __init__(self, reason: RefusalReason) -> None:
        """Store the reason for the caller."""
        super().__init__(reason)
        self.reason = reason


@dataclasses.dataclass(frozen=True)
class AdmissionRequest:
    """A request for a slot at the target.

    Attributes:
        importance: 0 is shed first, 9 last.
        deadline_ms: Event loop time at which the caller gives up.
        queue_limit_ms: Longest wait in the queue; zero if only the deadline
            limits it.
    """

    organisation: str
    importance: int
    deadline_ms: float
    queue_limit_ms: float = 0


@dataclasses.dataclass(frozen=True)
class AdmissionLoad:
    """Load at a target, reported to the callers' nodes with each reply.

    Attributes:
        shed_level: Importance below which requests are shed; the fractional
            part is the fraction of the level at the boundary that is shed.
        queue_ms: Estimated wait of a new request of the lowest importance.
        load: Requests running and queued, divided by the concurrency limit.
    """

    shed_level: float
    queue_ms: float
    load: float


class Admission:
    """Admit, queue or refuse requests for one target.

    Requests are limited in number by the concurrency limit, and in rate if the
    target names one.

    Args:
        limit: Concurrency limit of the target.
        queue: Queue that orders the waiting requests.
        shed_late: Refuse requests that are unlikely to finish before their
            deadline.

    Attributes:
        in_flight: Requests at the target.
        mean_latency_ms: Moving average of the latency of the target.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        queue: WaitQueue,
        *,
        shed_late: bool = True,
    ) -> None:
        """Start without requests in flight or latency samples."""
        self.in_flight = 0
        self.mean_latency_ms = 0.0
        self._limit = limit
        self._queue = queue
        self._pacer = RequestPacer()
        self._next_token_timer: asyncio.TimerHandle | None = None
        self._cap: int | None = None
        self._shed_late = shed_late
        self._shed_estimator = ShedLevelEstimator()
        self._latency_deviation_ms = 0.0

    def update_slots(self, slots: int, *, warm: bool = False) -> None:
        """Update the slots that the target announced.

        Args:
            slots: Number of requests that the target can run at once.
            warm: The target needs no slow start.
        """
        self._limit.update_slots(slots)
        if warm:
            self._limit.skip_slow_start()
        self._admit_waiters()

    @property
    def rate_limit_per_s(self) -> float | None:
        """Return the rate that the target takes; None if it names none."""
        return self._pacer.rate_per_s

    def update_rate_limit(self, rate_per_s: float | None) -> None:
        """Update the rate that the target takes; None if it names none."""
        self._pacer.update_rate(rate_per_s)
        self._admit_waiters()

    def cap_in_flight(self, cap: int | None) -> None:
        """Admit only so many requests at once, whatever the limit is.

        Requests over the cap are refused without waiting.

        Args:
            cap: Number of requests at the target, with those that it has now;
                None for no cap.
        """
        self._cap = cap
        if cap is None:
            self._admit_waiters()
            return
        while len(self._queue):
            waiter = self._queue.pop()
            if not waiter.admitted.done():
                waiter.admitted.set_exception(
                    RefusedError(RefusalReason.suspended)
                )

    def current_load(self) -> AdmissionLoad:
        """Return the current load, to be reported with replies."""
        limit = max(1.0, self._limit.max_in_flight)
        return AdmissionLoad(
            shed_level=self._shed_estimator.current_level(),
            queue_ms=self._estimate_wait_ms(0),
            load=max(
                (self.in_flight + len(self._queue)) / limit, self._pacer.load()
            ),
        )

    async def admit(self, request: AdmissionRequest) -> None:
        """Wait for a slot at the target.

        Raises:
            RefusedError: The request was not admitted.
        """
        if self._is_capped():
            raise RefusedError(RefusalReason.suspended)
        if self._cannot_meet_deadline(request):
            raise RefusedError(RefusalReason.deadline)
        if not len(self._queue) and self._has_room():
            self._queue.record_admission(request.organisation)
            self._occupy_slot(request.importance)
            return
        await self._wait_for_slot(request)

    def release(self, completion: Completion) -> None:
        """Release the slot of a completed request."""
        self._limit.record_completion(completion)
        self.in_flight -= 1
        if not completion.shed and not completion.failed:
            difference_ms = completion.latency_ms - self.mean_latency_ms
            ewma_weight = _LATENCY_EWMA_WEIGHT if self.mean_latency_ms else 1
            self.mean_latency_ms += difference_ms * ewma_weight
            if ewma_weight < 1:
                deviation_change_ms = (
                    abs(difference_ms) - self._latency_deviation_ms
                )
                self._latency_deviation_ms += deviation_change_ms * ewma_weight
        self._admit_waiters()

    async def _wait_for_slot(self, request: AdmissionRequest) -> None:
        waiter = Waiter(
            organisation=request.organisation,
            importance=request.importance,
            deadline_ms=request.deadline_ms,
            arrival_ms=loop_ms(),
            admitted=asyncio.get_running_loop().create_future(),
        )
        self._ensure_queue_space(waiter, request.queue_limit_ms)
        self._queue.push(waiter)
        self._schedule_next_token()
        give_up_ms = request.deadline_ms
        if self._shed_late:
            give_up_ms -= self._expected_latency_ms()
        if request.queue_limit_ms:
            give_up_ms = min(give_up_ms, loop_ms() + request.queue_limit_ms)
        try:
            async with asyncio.timeout_at(give_up_ms / 1000):  # noqa: WPS432
                await waiter.admitted
        except TimeoutError as error:
            self._abandon(waiter)
            raise RefusedError(self._refusal_reason()) from error
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise

    def _abandon(self, waiter: Waiter) -> None:
        self._queue.remove(waiter)
        future = waiter.admitted
        if future.done() and not future.cancelled() and not future.exception():
            # The slot was assigned in the same event loop iteration in which
            # the wait timed out or was cancelled.
            self.in_flight -= 1
            self._pacer.give_back()
            self._admit_waiters()
        else:
            self._shed_estimator.record(waiter.importance, refused=True)

    def _ensure_queue_space(
        self, waiter: Waiter, queue_limit_ms: float
    ) -> None:
        patience_ms = queue_limit_ms or waiter.deadline_ms - waiter.arrival_ms
        if len(self._queue) < self._max_queue_length(patience_ms):
            return
        if isinstance(self._queue, ImportanceFairQueue):
            evicted = self._queue.evict_for(waiter)
        else:
            evicted = self._queue.evict_below(waiter.importance)
        if evicted is None:
            self._shed_estimator.record(waiter.importance, refused=True)
            raise RefusedError(self._refusal_reason())
        self._shed_estimator.record(evicted.importance, refused=True)
        if not evicted.admitted.done():
            evicted.admitted.set_exception(
                RefusedError(self._refusal_reason()),
            )

    def _max_queue_length(self, patience_ms: float) -> float:
        """Return how many requests may wait.

        Args:
            patience_ms: Longest wait of the request that arrives.
        """
        max_length = max(
            _MIN_QUEUE_LENGTH, self._limit.max_in_flight * _QUEUE_TO_LIMIT_RATIO
        )
        rate_per_s = self._pacer.rate_per_s
        if rate_per_s is None:
            return max_length
        # Those behind would only wait to be refused.
        return min(max_length, max(1.0, rate_per_s * patience_ms / _MS_PER_S))

    def _refusal_reason(self) -> RefusalReason:
        if self.in_flight >= self._limit.max_in_flight:
            return RefusalReason.overload
        if self._pacer.rate_per_s is None:
            return RefusalReason.overload
        return RefusalReason.target_rate

    def _has_room(self) -> bool:
        return (
            self.in_flight < self._limit.max_in_flight
            and not self._is_capped()
            and self._pacer.has_token()
        )

    def _is_capped(self) -> bool:
        return self._cap is not None and self.in_flight >= self._cap

    def _admit_waiters(self) -> None:
        while len(self._queue) and self._has_room():
            waiter = self._queue.pop()
            if waiter.admitted.done():
                continue
            waiter.admitted.set_result(None)
            self._occupy_slot(waiter.importance)
        self._schedule_next_token()

    def _schedule_next_token(self) -> None:
        """Set a timer for the first waiter if only the rate holds it back."""
        if self._next_token_timer is not None:
            self._next_token_timer.cancel()
            self._next_token_timer = None
        wait_ms = self._pacer.wait_ms()
        if len(self._queue) and wait_ms > 0:
            self._next_token_timer = asyncio.get_running_loop().call_later(
                max(wait_ms, _MIN_TIMER_MS) / _MS_PER_S, self._admit_waiters
            )

    def _occupy_slot(self, importance: int) -> None:
        self.in_flight += 1
        self._pacer.take()
        self._shed_estimator.record(importance, refused=False)

    def _cannot_meet_deadline(self, request: AdmissionRequest) -> bool:
        remaining_ms = request.deadline_ms - loop_ms()
        if remaining_ms <= 0:
            return True
        if not self._shed_late:
            return False
        wait_ms = self._estimate_wait_ms(request.importance)
        return wait_ms + self._expected_latency_ms() > remaining_ms

    def _expected_latency_ms(self) -> float:
        """Return the mean latency plus a margin for its deviation."""
        return (
            self.mean_latency_ms
            + _DEADLINE_MARGIN_DEVIATIONS * self._latency_deviation_ms
        )

    def _estimate_wait_ms(self, importance: int) -> float:
        ahead = self._queue.count_ahead(importance)
        pace_wait_ms = self._pacer.wait_ms(ahead)
        if not ahead and self.in_flight < self._limit.max_in_flight:
            return pace_wait_ms
        slot_wait_ms = (
            (ahead + 1)
            * self.mean_latency_ms
            / max(1.0, self._limit.max_in_flight)
        )
        return max(slot_wait_ms, pace_wait_ms)
