"""What the estimates of targets take from replies."""

import pytest
from chivelead_node._internal.target_estimates import RoutingEstimates
from chivelead_policy import ROUTERS, Candidate
from chivelead_protocol import CallReply, Outcome
from lib.clocks import advance_clock

pytestmark = pytest.mark.looptime


def make_reply(reason='', load=0.3):
    """Return a response of a target, or a refusal for a reason."""
    outcome = Outcome.not_run if reason else Outcome.done
    return CallReply(200, (), b'', outcome, reason, 0, 0, 0, load, 0)


# Guards against calls that go only to targets that refuse them: fast refusals
# made these look quick, and the target with room slow (823 requests refused on
# the day of issue 25 while one of four targets had room).
async def test_fast_refusals_do_not_make_a_target_look_quick():
    await advance_clock(1)
    estimates = RoutingEstimates(1)
    for _ in range(20):
        estimates.record_reply('busy', make_reply(), 200)
        estimates.record_reply('free', make_reply(), 250)
        await advance_clock(0.02)
    for _ in range(50):
        estimates.record_reply('busy', make_reply('overload'), 1)
        estimates.record_reply('free', make_reply(), 250)
        await advance_clock(0.02)
    assert estimates.latency_ms('busy') == pytest.approx(200)
    candidates = [
        Candidate(vm, 0, 88, 1, load, estimates.latency_ms(vm))
        for vm, load in (('busy', 1.0), ('free', 0.3))
    ]
    router = ROUTERS.find('nearest-quick')(1)
    chosen = {router.choose(candidates).vm for _ in range(50)}
    assert chosen == {'free'}


async def test_latency_of_a_target_that_only_refuses_is_unknown():
    await advance_clock(1)
    estimates = RoutingEstimates(1)
    estimates.record_reply('busy', make_reply('overload', load=1), 1)
    assert estimates.latency_ms('busy') == 0
    assert estimates.load('busy') == 1
    estimates.record_reply('busy', make_reply(), 80)
    assert estimates.latency_ms('busy') == 80
