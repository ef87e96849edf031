"""At most one run for each key, whatever happens to its guard."""

import pytest
from chivelead_coordination import (
    KeyGuard,
    Membership,
    ShareOwnership,
)
from chivelead_coordination._internal.ownership import Tenure
from chivelead_protocol import (
    CallReply,
    GuardBegin,
    GuardFinish,
    now_ms,
)
from lib.fakes import FakeStore, make_member

pytestmark = pytest.mark.looptime

ASK = GuardBegin(3, 'claim-1', 'digest', 'print')
AGAIN = GuardBegin(3, 'claim-2', 'digest', 'print')


def make_reply(outcome):
    """Return an answer with an outcome."""
    return CallReply(200, (), b'body', outcome, '', 0, 0, 0, 0, 0)


def make_guard(*, first=True, handover_id='', lease_s=7200):
    """Return a guard that owns share 3."""
    membership = Membership(make_member('a'))
    ownership = ShareOwnership(membership, FakeStore(), lease_s)
    ownership._valid_until_ms = now_ms() + 10**9
    ownership._tenures[3] = Tenure(3, 1, now_ms(), handover_id, first)
    return KeyGuard(ownership, lease_s)


async def test_second_request_with_a_key_waits_for_the_first():
    guard = make_guard()
    assert guard.begin(ASK).decision == 'run'
    assert guard.begin(AGAIN).decision == 'pending'


async def test_answer_is_recorded():
    guard = make_guard()
    guard.begin(ASK)
    guard.finish(GuardFinish(3, 'claim-1', 'digest', make_reply('done')))
    verdict = guard.begin(AGAIN)
    assert verdict.decision == 'done'
    assert verdict.answer.body == b'body'


async def test_not_run_frees_the_key():
    guard = make_guard()
    guard.begin(ASK)
    guard.finish(GuardFinish(3, 'claim-1', 'digest', make_reply('not-run')))
    assert guard.begin(AGAIN).decision == 'run'


async def test_only_the_holder_of_the_claim_may_finish():
    guard = make_guard()
    guard.begin(ASK)
    guard.finish(GuardFinish(3, 'claim-2', 'digest', make_reply('not-run')))
    assert guard.begin(AGAIN).decision == 'pending'


async def test_unknown_outcome_is_never_run_again():
    guard = make_guard()
    guard.begin(ASK)
    guard.finish(GuardFinish(3, 'claim-1', 'digest', make_reply('unknown')))
    assert guard.begin(AGAIN).decision == 'unknown'


async def test_other_request_with_the_same_key_is_refused():
    guard = make_guard()
    guard.begin(ASK)
    other = GuardBegin(3, 'claim-2', 'digest', 'other')
    assert guard.begin(other).decision == 'mismatch'


async def test_guard_that_lost_its_memory_does_not_vouch():
    guard = make_guard(first=False)
    assert guard.begin(ASK).decision == 'unknown'


async def test_short_lease_does_not_prove_that_nobody_guarded():
    guard = make_guard(first=True, lease_s=10)
    assert guard.begin(ASK).decision == 'unknown'


async def test_handed_over_memory_is_kept():
    old = make_guard()
    old.begin(ASK)
    old.finish(GuardFinish(3, 'claim-1', 'digest', make_reply('done')))
    new = make_guard(first=False, handover_id='h1')
    new.import_records(old.export_records((3,), 'h1'))
    assert new.begin(AGAIN).decision == 'done'
    fresh = GuardBegin(3, 'claim-3', 'other digest', 'print')
    assert new.begin(fresh).decision == 'run'


async def test_node_that_owns_no_share_is_not_the_guard():
    guard = make_guard()
    ask = GuardBegin(4, 'claim-1', 'digest', 'print')
    assert guard.begin(ask).decision == 'not-guard'
