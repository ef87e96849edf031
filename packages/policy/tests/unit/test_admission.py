"""Tests of admission, routing and retries, on a simulated clock."""

import asyncio

import pytest
from chivelead_policy import (
    LIMITS,
    QUEUES,
    RETRIES,
    ROUTERS,
    Admission,
    AdmissionRequest,
    Candidate,
    Completion,
    FailedAttempt,
    OutlierDetector,
    RefusedError,
)
from chivelead_protocol import ConfigurationError, now_ms

pytestmark = pytest.mark.looptime


def make_admission(slots=1, **options):
    """Return an admission with a static limit."""
    admission = Admission(
        LIMITS.find('static')(),
        QUEUES.find('importance-fair')(),
        **options,
    )
    admission.update_slots(slots)
    return admission


def make_completion(latency_ms=10):
    """Return a successful completion."""
    return Completion(latency_ms, shed=False, failed=False, in_flight=1)


async def request_slot(
    admission, outcomes, name, importance, organisation='mill'
):
    """Request a slot and append the outcome."""
    deadline_ms = now_ms() + 60_000
    try:
        await admission.admit(
            AdmissionRequest(organisation, importance, deadline_ms)
        )
    except RefusedError as error:
        outcomes.append(f'{name}:{error.reason}')
    else:
        outcomes.append(name)


async def test_most_important_waiter_goes_first():
    admission = make_admission()
    outcomes = []
    tasks = []
    for name, importance in (('a', 5), ('low', 1), ('high', 9), ('mid', 5)):
        tasks.append(
            asyncio.create_task(
                request_slot(admission, outcomes, name, importance)
            ),
        )
        await asyncio.sleep(0.01)
    for _ in tasks:
        admission.release(make_completion())
        await asyncio.sleep(0.01)
    assert outcomes == ['a', 'high', 'mid', 'low']


async def test_important_newcomer_evicts_the_least_important():
    admission = make_admission()
    outcomes = []
    for number in range(9):
        asyncio.create_task(
            request_slot(admission, outcomes, f'low{number}', 1)
        )
        await asyncio.sleep(0.01)
    asyncio.create_task(request_slot(admission, outcomes, 'high', 9))
    await asyncio.sleep(0.01)
    assert any(name.endswith('overload') for name in outcomes)
    admission.release(make_completion())
    await asyncio.sleep(0.01)
    assert outcomes[-1] == 'high'


async def test_organisations_take_turns():
    admission = make_admission()
    outcomes = []
    asyncio.create_task(request_slot(admission, outcomes, 'first', 5, 'loud'))
    await asyncio.sleep(0.01)
    for number in range(3):
        asyncio.create_task(
            request_slot(admission, outcomes, f'l{number}', 5, 'loud')
        )
        await asyncio.sleep(0.01)
    asyncio.create_task(request_slot(admission, outcomes, 'quiet', 5, 'quiet'))
    await asyncio.sleep(0.01)
    admission.release(make_completion())
    await asyncio.sleep(0.01)
    assert outcomes == ['first', 'quiet']


async def test_call_that_cannot_meet_its_deadline_is_refused_at_once():
    admission = make_admission()
    await admission.admit(AdmissionRequest('mill', 5, now_ms() + 1000))
    admission.release(make_completion(latency_ms=500))
    with pytest.raises(RefusedError, match='deadline'):
        await admission.admit(AdmissionRequest('mill', 5, now_ms() + 100))


async def test_cancelled_waiter_frees_its_queue_entry():
    admission = make_admission()
    await admission.admit(AdmissionRequest('mill', 5, now_ms() + 1000))
    task = asyncio.create_task(request_slot(admission, [], 'gone', 5))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.sleep(0.01)
    admission.release(make_completion())
    await admission.admit(AdmissionRequest('mill', 5, now_ms() + 1000))
    assert admission.in_flight == 1


async def test_limit_falls_when_the_target_sheds_and_grows_back():
    limit = LIMITS.find('adaptive')()
    limit.update_slots(40)
    for _ in range(100):
        limit.record_completion(completion_at(40))
    assert limit.max_in_flight == 40
    limit.record_completion(
        Completion(1, shed=True, failed=False, in_flight=10)
    )
    assert limit.max_in_flight < 10


def completion_at(in_flight):
    return Completion(10, shed=False, failed=False, in_flight=in_flight)


def test_retries_are_limited_by_allowance_and_tokens():
    policy = RETRIES.find('allowance')()
    attempt = FailedAttempt('s', 0, 3, safe_to_retry=True, left_ms=100)
    assert sum(policy.try_acquire(attempt) for _ in range(100)) == 5
    spent = FailedAttempt('t', 0, 0, safe_to_retry=True, left_ms=100)
    assert not policy.try_acquire(spent)
    never = FailedAttempt('t', 0, 3, safe_to_retry=False, left_ms=100)
    assert not policy.try_acquire(never)


def test_nearest_target_with_spare_capacity_is_chosen():
    router = ROUTERS.find('nearest-two')(1)
    far = Candidate('far', 2, 10, 0, 0, 0)
    full = Candidate('full', 0, 10, 9, 1.2, 0)
    near = Candidate('near', 1, 10, 0, 0.2, 0)
    assert router.choose([far, full, near]).vm == 'near'


def test_calls_do_not_all_go_to_the_least_loaded():
    router = ROUTERS.find('nearest-two')(1)
    full = [Candidate(f't{load}', 1, 10, 0, load, 0) for load in (1, 2, 3, 4)]
    chosen = {router.choose(full).vm for _ in range(50)}
    assert chosen == {'t1', 't2', 't3'}


async def test_majority_is_never_ejected():
    outliers = OutlierDetector()
    vms = ['a', 'b', 'c', 'd']
    for vm in vms:
        for _ in range(3):
            outliers.record_failure(vm)
    assert len(outliers.without_ejected(vms)) == 2
    await asyncio.sleep(11)
    assert outliers.without_ejected(vms) == vms


def test_unknown_policy_error_lists_the_known_policies():
    with pytest.raises(ConfigurationError, match='allowance, naive, none'):
        RETRIES.find('magic')


async def test_one_refusal_does_not_shed_all_less_important_requests():
    admission = make_admission(slots=20)
    for number in range(20):
        importance = 8 if number < 5 else 3
        await admission.admit(
            AdmissionRequest('mill', importance, now_ms() + 60_000),
        )
    outcomes = []
    for number in range(10):
        asyncio.create_task(request_slot(admission, outcomes, f'w{number}', 8))
    await asyncio.sleep(0.01)
    asyncio.create_task(request_slot(admission, outcomes, 'refused', 8))
    await asyncio.sleep(0.01)
    assert outcomes == ['refused:overload']
    # 20 were admitted and one refused: one of the 15 requests of importance 3
    # would have to be shed.
    assert admission.current_load().shed_level == pytest.approx(3 + 1 / 15)


async def test_cold_target_reaches_all_slots_under_light_load():
    limit = LIMITS.find('adaptive')()
    limit.update_slots(10)
    for _ in range(20):
        limit.record_completion(completion_at(1))
    assert limit.max_in_flight == 10


async def test_slow_target_still_receives_requests():
    """Without ``shed_late``, a high mean latency refuses no requests.

    With it, a target that was slow would be refused all requests.  As none
    would run, its mean latency would never decrease.
    """
    admission = make_admission(slots=4, shed_late=False)
    for _ in range(20):
        await admission.admit(AdmissionRequest('mill', 5, now_ms() + 60_000))
        admission.release(make_completion(latency_ms=5000))
    await admission.admit(AdmissionRequest('mill', 5, now_ms() + 500))
    assert admission.in_flight == 1


def test_refusals_with_free_slots_are_not_overload():
    limit = LIMITS.find('adaptive-with-room')()
    limit.update_slots(40)
    limit.skip_slow_start()
    for _ in range(100):
        limit.record_completion(
            Completion(1, shed=True, failed=False, in_flight=5)
        )
    assert limit.max_in_flight == 40
    limit.record_completion(
        Completion(1, shed=True, failed=False, in_flight=39)
    )
    assert limit.max_in_flight < 39


def test_refusals_at_full_load_leave_most_of_the_limit():
    limit = LIMITS.find('adaptive-with-room')()
    limit.update_slots(40)
    limit.skip_slow_start()
    for _ in range(200):
        in_flight = int(limit.max_in_flight)
        limit.record_completion(
            Completion(1, shed=True, failed=False, in_flight=in_flight)
        )
    assert limit.max_in_flight >= 30


def test_router_skips_a_slow_target_in_the_own_failure_domain():
    router = ROUTERS.find('nearest-quick')(1)
    slow = Candidate('slow', 0, 10, 0, 0.1, 900)
    far = Candidate('far', 1, 10, 0, 0.1, 80)
    assert router.choose([slow, far]).vm == 'far'
    unknown = Candidate('new', 0, 10, 0, 0.1, 0)
    assert router.choose([unknown, far]).vm == 'new'
