"""A call with an idempotency key runs at most once."""

import dataclasses

import pytest
from chivelead_coordination import (
    GuardClient,
    KeyGuard,
    Membership,
    ShareOwnership,
)
from chivelead_coordination._internal.guard import slot_for_key
from chivelead_coordination._internal.ownership import Tenure
from chivelead_protocol import (
    CallReply,
    GuardBegin,
    GuardFinish,
    now_ms,
)
from lib.fakes import FakeStore, make_member

pytestmark = pytest.mark.looptime

CLAIM = GuardBegin(3, 'claim-1', 'digest', 'print')
SECOND_CLAIM = GuardBegin(3, 'claim-2', 'digest', 'print')


def make_call_reply(outcome):
    """Return a reply with an outcome."""
    return CallReply(200, (), b'body', outcome, '', 0, 0, 0, 0, 0)


def make_guard(*, is_first=True, handover_id='', lease_s=7200):
    """Return a guard that owns share 3."""
    membership = Membership(make_member('a'))
    ownership = ShareOwnership(membership, FakeStore(), lease_s)
    ownership._valid_until_ms = now_ms() + 10**9
    ownership._tenures[3] = Tenure(3, 1, now_ms(), handover_id, is_first)
    return KeyGuard(ownership, lease_s)


async def test_second_claim_is_pending_while_the_first_runs():
    guard = make_guard()
    assert guard.begin(CLAIM).decision == 'run'
    assert guard.begin(SECOND_CLAIM).decision == 'pending'


async def test_second_claim_gets_the_recorded_reply():
    guard = make_guard()
    guard.begin(CLAIM)
    guard.finish(GuardFinish(3, 'claim-1', 'digest', make_call_reply('done')))
    decision = guard.begin(SECOND_CLAIM)
    assert decision.decision == 'done'
    assert decision.reply.body == b'body'


async def test_not_run_outcome_releases_the_key():
    guard = make_guard()
    guard.begin(CLAIM)
    guard.finish(
        GuardFinish(3, 'claim-1', 'digest', make_call_reply('not-run'))
    )
    assert guard.begin(SECOND_CLAIM).decision == 'run'


async def test_finish_with_another_claim_id_is_ignored():
    guard = make_guard()
    guard.begin(CLAIM)
    guard.finish(
        GuardFinish(3, 'claim-2', 'digest', make_call_reply('not-run'))
    )
    assert guard.begin(SECOND_CLAIM).decision == 'pending'


async def test_unknown_outcome_is_never_run_again():
    guard = make_guard()
    guard.begin(CLAIM)
    guard.finish(
        GuardFinish(3, 'claim-1', 'digest', make_call_reply('unknown'))
    )
    assert guard.begin(SECOND_CLAIM).decision == 'unknown'


async def test_same_key_with_another_fingerprint_is_a_mismatch():
    guard = make_guard()
    guard.begin(CLAIM)
    mismatched = GuardBegin(3, 'claim-2', 'digest', 'other')
    assert guard.begin(mismatched).decision == 'mismatch'


async def test_unknown_key_is_not_run_without_full_history():
    guard = make_guard(is_first=False)
    assert guard.begin(CLAIM).decision == 'unknown'


async def test_short_lease_does_not_rule_out_an_earlier_guard():
    guard = make_guard(is_first=True, lease_s=10)
    assert guard.begin(CLAIM).decision == 'unknown'


async def test_records_are_kept_across_a_handover():
    leaving = make_guard()
    leaving.begin(CLAIM)
    leaving.finish(GuardFinish(3, 'claim-1', 'digest', make_call_reply('done')))
    successor = make_guard(is_first=False, handover_id='h1')
    successor.import_records(leaving.export_records((3,), 'h1'))
    assert successor.begin(SECOND_CLAIM).decision == 'done'
    unseen = GuardBegin(3, 'claim-3', 'other digest', 'print')
    assert successor.begin(unseen).decision == 'run'


async def test_node_that_owns_no_share_is_not_the_guard():
    guard = make_guard()
    claim = GuardBegin(4, 'claim-1', 'digest', 'print')
    assert guard.begin(claim).decision == 'not-guard'


class _Peer:
    """Link to the guard of a share on another node."""

    def __init__(self):
        self.guard = make_guard()
        self.largest_bytes = 0

    async def request(self, _vm, message, _timeout_ms):
        """Pass a message on."""
        if isinstance(message, GuardBegin):
            return self.guard.begin(message)
        self.largest_bytes = max(self.largest_bytes, len(message.reply.body))
        return self.guard.finish(message)


# Guards against reports of large replies, for which a guard may have no memory:
# the key would stay pending.
async def test_large_reply_is_reported_without_its_body():
    digest = next(
        digest
        for digest in map(str, range(10_000))
        if slot_for_key(digest) == 3
    )
    membership = Membership(make_member('a'))
    membership.merge((make_member('b', shares=(3,)),))
    peer = _Peer()
    client = GuardClient(membership, peer, make_guard())
    assert (await client.begin(digest, 'print', 'claim-1')).decision == 'run'
    reply = dataclasses.replace(make_call_reply('done'), body=b'x' * 1_000_000)
    await client.finish(digest, 'claim-1', reply)
    repeated = await client.begin(digest, 'print', 'claim-2')
    assert (repeated.decision, repeated.reply) == ('done', None)
    assert peer.largest_bytes < 70_000
