"""Pacing of requests to a target that names a rate, on a simulated clock.

Pattern: a target in trouble that takes a few requests a second, while many
nodes send as many as its slots allow.
"""

import asyncio
import itertools

import pytest
from chivelead_policy import (
    LIMITS,
    QUEUES,
    Admission,
    AdmissionRequest,
    Completion,
    RefusalReason,
    RefusedError,
)
from chivelead_protocol import loop_ms
from hypothesis import given, settings
from hypothesis import strategies as st
from lib.clocks import advance_clock

_WINDOW_S = 4.0
_SLOTS = 50


class PacedTarget:
    """Runs requests through an admission, and records when each starts."""

    def __init__(self, rate_per_s):
        """Create an admission whose target names a rate."""
        self.admission = Admission(
            LIMITS.find('static')(),
            QUEUES.find('importance-fair')(),
            shed_late=False,
        )
        self.admission.update_slots(_SLOTS)
        self.admission.update_rate_limit(rate_per_s)
        self.starts_ms = []
        self.waits_ms = []
        self.refusals = []

    async def run(self, importance=5, queue_limit_ms=150, latency_s=0.05):
        """Run one request and record its fate."""
        arrived_ms = loop_ms()
        request = AdmissionRequest(
            'mill', importance, arrived_ms + 5000, queue_limit_ms
        )
        try:
            await self.admission.admit(request)
        except RefusedError as error:
            self.refusals.append((error.reason, loop_ms() - arrived_ms))
            return
        self.starts_ms.append(loop_ms())
        self.waits_ms.append(loop_ms() - arrived_ms)
        await asyncio.sleep(latency_s)
        self.admission.release(
            Completion(latency_s * 1000, shed=False, failed=False, in_flight=1)
        )

    async def run_many(self, period_s, duration_s, **options):
        """Run requests at even intervals, and wait for them."""
        tasks = []
        for _ in range(int(duration_s / period_s)):
            tasks.append(asyncio.create_task(self.run(**options)))
            await advance_clock(period_s)
        await asyncio.gather(*tasks)

    def max_in_window(self):
        """Return the most requests that started in any window."""
        return max(
            (
                sum(
                    0 <= other - start < _WINDOW_S * 1000
                    for other in self.starts_ms
                )
                for start in self.starts_ms
            ),
            default=0,
        )


@pytest.mark.looptime
@pytest.mark.parametrize('rate_per_s', [0, 0.3, 1, 7.5, 20, 80])
async def test_a_window_holds_what_the_rate_allows(rate_per_s):
    await advance_clock(1)
    target = PacedTarget(rate_per_s)
    await target.run_many(0.01, 10)
    allowed = rate_per_s * _WINDOW_S
    assert target.max_in_window() <= allowed * 1.5 + 5
    # Nor is the target left idle.
    assert len(target.starts_ms) >= rate_per_s * 9
    assert len(target.starts_ms) >= 1


@pytest.mark.looptime
async def test_refusals_by_rate_come_at_once_or_within_the_wait():
    await advance_clock(1)
    target = PacedTarget(10)
    await target.run_many(0.01, 5)
    reasons = {reason for reason, _ in target.refusals}
    assert reasons == {RefusalReason.target_rate}
    assert max(waited_ms for _, waited_ms in target.refusals) < 151
    assert max(target.waits_ms) < 151


@pytest.mark.looptime
async def test_the_most_important_requests_get_the_rate():
    await advance_clock(1)
    target = PacedTarget(10)
    important = PacedTarget(10)
    important.admission = target.admission
    await asyncio.gather(
        target.run_many(0.02, 6, importance=1),
        important.run_many(0.12, 6, importance=8),
    )
    assert len(important.refusals) <= 0.05 * 50
    assert target.refusals


@pytest.mark.looptime
async def test_a_waiter_is_admitted_when_the_rate_is_lifted():
    await advance_clock(1)
    target = PacedTarget(0.3)
    task = asyncio.create_task(target.run(queue_limit_ms=3000))
    await advance_clock(0.1)
    assert not target.starts_ms
    target.admission.update_rate_limit(None)
    await task
    assert len(target.starts_ms) == 1
    assert target.admission.current_load().queue_ms == 0


@pytest.mark.looptime
async def test_reported_load_follows_the_rate():
    await advance_clock(1)
    target = PacedTarget(None)
    await target.run_many(0.05, 2)
    assert target.admission.current_load().load <= 1 / _SLOTS
    target.admission.update_rate_limit(20)
    assert target.admission.current_load().load == 1
    await advance_clock(1)
    assert target.admission.current_load().load == 0


@pytest.mark.looptime
async def test_a_waiter_that_leaves_gives_its_turn_to_the_next():
    await advance_clock(1)
    target = PacedTarget(1)
    tasks = [
        asyncio.create_task(target.run(queue_limit_ms=4000)) for _ in range(3)
    ]
    await advance_clock(0.5)
    tasks[0].cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    gaps_ms = [
        later - earlier
        for earlier, later in itertools.pairwise(target.starts_ms)
    ]
    assert len(target.starts_ms) == 2
    assert min(gaps_ms) >= 999


@pytest.mark.looptime
async def test_a_pause_earns_no_more_than_half_a_second_of_the_rate():
    await advance_clock(1)
    target = PacedTarget(10)
    await advance_clock(60)
    await asyncio.gather(*(target.run(queue_limit_ms=1) for _ in range(30)))
    assert len(target.starts_ms) == 5


_CHANGES = st.lists(
    st.tuples(
        st.floats(0.1, 40),
        st.floats(0.05, 2),
    ),
    min_size=1,
    max_size=8,
)


@given(_CHANGES)
@settings(max_examples=15, deadline=None)
def test_changing_rates_are_kept_in_each_window(changes):
    """The bound of a window is the sum of the rates that held in it."""
    import looptime  # noqa: PLC0415

    async def play():
        await advance_clock(1)
        target = PacedTarget(changes[0][0])
        for rate_per_s, duration_s in changes:
            target.admission.update_rate_limit(rate_per_s)
            await target.run_many(0.01, duration_s, latency_s=0.01)
        highest = max(rate for rate, _ in changes)
        assert target.max_in_window() <= highest * _WINDOW_S * 1.5 + 5

    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(play())
    finally:
        loop.close()
