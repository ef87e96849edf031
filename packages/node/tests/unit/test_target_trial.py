"""Trials of a target that has failed: calls, pauses and turns of nodes."""

import asyncio

import pytest
from chivelead_node._internal.call_failures import NO_RESPONSE, CallFailure
from chivelead_node._internal.proxy.target_trial import TargetTrial, TrialPause
from chivelead_node._internal.trial_routing import TrialRouting
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
from lib.clocks import advance_clock
from lib.fakes import make_member

pytestmark = pytest.mark.looptime

_JUNK = CallFailure('no HTTP', is_response=True)


class TrialCalls:
    """Calls at a target of four slots."""

    def __init__(self):
        """Create a target that is not on trial."""
        self.admission = Admission(
            LIMITS.find('static')(), QUEUES.find('importance-fair')()
        )
        self.admission.update_slots(4)
        self.trial = TargetTrial(self.admission)

    async def start(self, attempt_id):
        """Admit a call."""
        await self.admission.admit(
            AdmissionRequest('mill', 5, loop_ms() + 1000)
        )
        self.trial.record_start(attempt_id)

    def end(self, attempt_id, *, answered=False, failure=None):
        """End a call that was admitted."""
        self.trial.record_end(attempt_id, answered=answered, failure=failure)
        self.admission.release(
            Completion(10, shed=False, failed=not answered, in_flight=1)
        )

    async def is_refused(self):
        """Return whether a call is refused because of the trial."""
        try:
            await self.start('refused')
        except RefusedError as error:
            return error.reason is RefusalReason.suspended
        self.admission.release(
            Completion(10, shed=False, failed=False, in_flight=1)
        )
        return False


async def begin_trial(calls):
    """Begin a trial; return its task."""
    trial = asyncio.create_task(calls.trial.run())
    await asyncio.sleep(0)
    return trial


async def test_target_passes_after_three_answers_one_at_a_time():
    calls = TrialCalls()
    trial = await begin_trial(calls)
    for number in range(3):
        assert not trial.done()
        await calls.start(f'a{number}')
        assert await calls.is_refused()
        calls.end(f'a{number}', answered=True)
    assert await trial is None
    calls.trial.open_gate()
    for number in range(4):
        await calls.start(f'b{number}')


@pytest.mark.parametrize('failure', [_JUNK, NO_RESPONSE])
async def test_first_failure_ends_the_trial_and_admits_no_more(failure):
    calls = TrialCalls()
    trial = await begin_trial(calls)
    await calls.start('a')
    calls.end('a', answered=True)
    await calls.start('b')
    calls.end('b', failure=failure)
    assert await calls.is_refused()
    assert await trial == failure
    assert await calls.is_refused()


async def test_call_that_is_given_up_decides_nothing():
    calls = TrialCalls()
    trial = await begin_trial(calls)
    await calls.start('a')
    calls.end('a')
    await asyncio.sleep(0)
    assert not trial.done()
    assert not await calls.is_refused()
    trial.cancel()


# Guards against a trial that runs beside calls from before the suspension, or
# that is judged by them.
async def test_calls_from_before_must_end_and_do_not_count():
    calls = TrialCalls()
    for number in range(3):
        await calls.start(f'a{number}')
    calls.trial.close_gate()
    trial = await begin_trial(calls)
    calls.end('a0', failure=_JUNK)
    calls.end('a1', answered=True)
    assert await calls.is_refused()
    calls.end('a2', answered=True)
    await asyncio.sleep(0)
    assert not trial.done()
    await calls.start('b')
    calls.end('b', failure=_JUNK)
    assert await trial == _JUNK


# Guards against requests that wait for a target that takes none.
async def test_waiting_calls_are_refused_at_a_suspension():
    calls = TrialCalls()
    for number in range(4):
        await calls.start(f'a{number}')
    waiting = asyncio.create_task(calls.is_refused())
    await asyncio.sleep(0)
    calls.trial.close_gate()
    assert await waiting


async def test_pauses_grow_up_to_a_limit_and_vary():
    pause = TrialPause()
    assert pause.take_ms() == 0
    pauses_ms = [pause.take_ms() for _ in range(8)]
    for pause_ms, base_ms in zip(
        pauses_ms, (1000, 2000, 4000, 8000, 8000, 8000, 8000, 8000), strict=True
    ):
        assert base_ms <= pause_ms <= base_ms * 1.25
    assert len(set(pauses_ms)) == len(pauses_ms)


# Guards against a target that passes each trial and then fails in full use.
@pytest.mark.parametrize(('sound_s', 'least_ms'), [(5, 2000), (40, 0)])
async def test_pauses_go_on_growing_until_the_target_stays_sound(
    sound_s, least_ms
):
    pause = TrialPause()
    for _ in range(2):
        pause.take_ms()
    pause.record_passed()
    await advance_clock(sound_s)
    assert least_ms <= pause.take_ms() <= least_ms * 1.25


async def test_node_sends_one_call_a_turn_to_a_target_on_trial():
    await advance_clock(1)
    routing = TrialRouting(seed=1)
    member = make_member('vm-1')
    sent_count = 0
    for _ in range(1000):
        await advance_clock(0.01)
        found = routing.find([member], idempotent=True, node_count=50)
        if found is not None:
            sent_count += 1
            routing.record_end('vm-1', answered=False)
    assert 10 <= sent_count <= 20


async def test_next_call_follows_an_answer_at_once():
    await advance_clock(1)
    routing = TrialRouting(seed=1)
    member = make_member('vm-1')
    routing.find([member], idempotent=True, node_count=50)
    await advance_clock(1)
    for _ in range(3):
        assert routing.find([member], idempotent=True, node_count=50) is member
        routing.record_end('vm-1', answered=True)


async def test_unsafe_calls_go_to_trial_only_after_a_while():
    await advance_clock(1)
    routing = TrialRouting(seed=1)
    member = make_member('vm-1')
    routing.find([member], idempotent=False, node_count=2)
    await advance_clock(1.9)
    assert routing.find([member], idempotent=False, node_count=2) is None
    await advance_clock(0.2)
    assert routing.find([member], idempotent=False, node_count=2) is member
    # A new trial.
    changed = make_member('vm-1', version=3)
    assert routing.find([changed], idempotent=False, node_count=2) is None
