"""Choice among many targets of one service.

Pattern: a service of a hundred instances, each of which costs processor time to
consider, for every call.
"""

import dataclasses

import pytest
from chivelead_coordination import Membership
from chivelead_node._internal import calls
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.links import LinkPool
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.target_estimates import RoutingEstimates
from chivelead_policy import RETRIES, ROUTERS
from chivelead_protocol import CallReply, HybridClock, LinkLostError, loop_ms
from lib.clocks import advance_clock
from lib.fakes import make_member

pytestmark = pytest.mark.looptime


@pytest.fixture
async def outbound():
    """Return a sender that knows 96 targets in eight failure domains."""
    await advance_clock(1)
    membership = Membership(make_member('vm-own', failure_domain='z0'))
    membership.update_own(service='other')
    membership.merge(
        make_member(
            f'vm-{number}',
            failure_domain=f'z{number % 8}',
            region='south' if number % 8 < 4 else 'north',
        )
        for number in range(96)
    )
    return OutboundCalls(
        membership,
        LinkPool(membership, b'', HybridClock()),
        None,
        None,
        ROUTERS.find('nearest-quick')(1),
        RETRIES.find('none')(),
        EventLog('vm-own', HybridClock(), 0, log_calls=False),
        RoutingEstimates(1),
    )


def make_call():
    return calls.Call(
        request_id='r',
        service='stock',
        route='read',
        method='GET',
        path='/',
        headers=(),
        body=b'',
        organisation='mill',
        importance=5,
        idempotent=True,
        deadline_ms=loop_ms() + 1000,
        allowance=calls.RetryAllowance(1),
        queue_limit_ms=0,
    )


async def test_few_targets_are_considered_for_a_call(outbound):
    considered = outbound._available_members('stock', set())
    assert len(considered) <= 15
    domains = {member.failure_domain for member in considered}
    assert 'z0' in domains
    assert domains & {'z4', 'z5', 'z6', 'z7'}


async def test_calls_spread_over_all_targets_of_the_own_domain(outbound):
    chosen = {outbound._choose_vm(make_call(), set()) for _ in range(300)}
    assert chosen == {f'vm-{number}' for number in range(0, 96, 8)}


async def test_last_usable_target_is_found(outbound):
    tried = {f'vm-{number}' for number in range(96)} - {'vm-77'}
    for _ in range(20):
        assert outbound._choose_vm(make_call(), tried) == 'vm-77'


async def test_last_target_that_is_not_silent_is_found(outbound):
    silent = {f'vm-{number}' for number in range(96)} - {'vm-13'}
    outbound._estimates.record_silent(silent)
    for _ in range(20):
        assert outbound._choose_vm(make_call(), set()) == 'vm-13'


# Guards against lost links of which the log does not tell who ended them.
async def test_failed_attempt_tells_why_its_link_was_lost(
    outbound, monkeypatch
):
    async def lose_link(vm, body, timeout_ms, give_up):
        raise LinkLostError(f'link to {vm}', 'silent')

    monkeypatch.setattr(outbound._links, 'request', lose_link)
    events = []
    monkeypatch.setattr(
        outbound._events,
        'record_call_event',
        lambda name, _, **fields: events.append((name, fields)),
    )
    await outbound.run(make_call())
    name, fields = events[-1]
    assert name == 'attempt-failed'
    assert fields['why'].endswith('was lost: silent')


# Guards against retries for silent nodes that the budget counts twice or not.
async def test_retry_for_a_silent_node_is_taken_once(outbound, monkeypatch):
    retries = RETRIES.find('allowance')()
    outbound._retries = retries
    vms = []

    async def request(vm, body, timeout_ms, give_up):
        vms.append(vm)
        if len(vms) > 1:
            return CallReply(200, (), b'', 'done', '', 0, 0, 0, 0, 0)
        assert give_up(1100)
        raise LinkLostError(f'link to {vm}', 'silent')

    monkeypatch.setattr(outbound._links, 'request', request)
    reply = await outbound.run(make_call())
    assert reply.status == 200
    assert len(set(vms)) == 2
    # Of five, one is taken and a tenth is earned.
    assert retries._tokens['stock'] == pytest.approx(4.1)


# Guards against retries that are taken though no other target is left.
async def test_no_retry_is_taken_without_another_target(outbound):
    outbound._retries = RETRIES.find('naive')()
    call = make_call()
    assert outbound._acquire_retry(call, 0)
    call.attempted_vms.extend(f'vm-{number}' for number in range(96))
    assert not outbound._acquire_retry(call, 0)


# Guards against retries that are taken for targets without room, which refuse.
async def test_no_retry_is_taken_for_targets_without_room(
    outbound, monkeypatch
):
    outbound._retries = RETRIES.find('naive')()
    monkeypatch.setattr(
        outbound._estimates, 'would_shed', lambda vms, importance: True
    )
    assert not outbound._acquire_retry(make_call(), 0)


# Guards against retries of many calls for a target that takes one at a time.
async def test_no_retry_is_taken_for_a_target_on_trial(outbound):
    outbound._retries = RETRIES.find('naive')()
    outbound._membership.update_own(
        service='stock', target_state='trial', target_slots=1
    )
    call = make_call()
    call.attempted_vms.extend(f'vm-{number}' for number in range(96))
    assert outbound._members_on_trial('stock', call.attempted_vms)
    assert not outbound._acquire_retry(call, 0)


# Guards against calls that are lost at a target that has failed, when the
# others have refused them.
@pytest.mark.parametrize(
    ('idempotent', 'tried', 'expected'),
    [
        (True, {'vm-0'}, 'vm-own'),
        (False, {'vm-0'}, ''),
        (False, set(), 'vm-own'),
    ],
)
async def test_target_on_trial_is_the_last_resort(
    outbound, idempotent, tried, expected
):
    outbound._membership.update_own(
        service='other-stock', target_state='trial', target_slots=1
    )
    call = dataclasses.replace(
        make_call(), service='other-stock', idempotent=idempotent
    )
    try:
        chosen = outbound._choose_vm(call, tried)
    except calls.RefusedCallError:
        chosen = ''
    assert chosen == expected
