"""Choice among many targets of one service.

Pattern: a service of a hundred instances, each of which costs processor time to
consider, for every call.
"""

import pytest
from chivelead_coordination import Membership
from chivelead_node._internal import calls
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.links import LinkPool
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.target_estimates import RoutingEstimates
from chivelead_policy import RETRIES, ROUTERS
from chivelead_protocol import HybridClock, LinkLostError, loop_ms
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
    async def lose_link(vm, body, timeout_ms):
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
