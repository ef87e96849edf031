"""Shares change owner only once the old owner no longer uses them."""

import asyncio

import pytest
from chivelead_coordination import Membership, ShareOwnership
from lib.fakes import FakeStore, make_member

pytestmark = pytest.mark.looptime

LEASE_S = 100


def make_owner(store, vm, **changes):
    """Return the membership and share ownership of one node."""
    membership = Membership(make_member(vm, **changes))
    ownership = ShareOwnership(membership, store, LEASE_S)
    ownership.failure_domains = ('south-1',)
    return membership, ownership


async def test_single_node_claims_all_shares():
    store = FakeStore()
    membership, ownership = make_owner(store, 'a')
    await ownership.start()
    await asyncio.sleep(10)
    assert len(ownership.owned) == 64
    assert membership.own.shares == ownership.owned
    await ownership.close()


async def test_other_node_does_not_claim_shares_of_a_stopped_owner():
    store = FakeStore()
    _, first = make_owner(store, 'a')
    await first.start()
    await asyncio.sleep(10)
    await first.close()
    _, second = make_owner(store, 'b')
    await second.start()
    await asyncio.sleep(LEASE_S / 2)
    assert not second.owned
    await second.close()


async def test_owner_drops_shares_before_the_store_lease_expires():
    store = FakeStore()
    _, first = make_owner(store, 'a')
    await first.start()
    await asyncio.sleep(10)
    store.down = True
    await asyncio.sleep(LEASE_S * 0.5)
    assert first.owned
    await asyncio.sleep(LEASE_S * 0.45)
    assert not first.owned
    await first.close()


async def test_restarted_process_reclaims_the_shares_of_its_vm():
    store = FakeStore()
    _, first = make_owner(store, 'a')
    await first.start()
    await asyncio.sleep(10)
    await first.close()
    _, second = make_owner(store, 'a', boot_id='second')
    await second.start()
    await asyncio.sleep(10)
    assert len(second.owned) == 64
    assert not second.tenure(0).is_first
    await second.close()


async def test_claim_with_a_lost_reply_is_not_marked_first():
    """The claim took effect, so the retry finds a record of this VM."""
    store = FakeStore()
    _, ownership = make_owner(store, 'a')
    await ownership.start()
    await asyncio.sleep(1.5)
    store.lose_next_reply = True
    await asyncio.sleep(10)
    assert len(ownership.owned) == 64
    first_claims = [
        ownership.tenure(share).is_first for share in ownership.owned
    ]
    assert first_claims.count(False) == 1
    await ownership.close()


async def test_released_shares_carry_the_handover_id():
    store = FakeStore()
    _, first = make_owner(store, 'a')
    await first.start()
    await asyncio.sleep(10)

    async def accept(handover_id, shares):
        return True

    await first.release(accept)
    _, second = make_owner(store, 'b')
    await second.start()
    await asyncio.sleep(10)
    assert len(second.owned) == 64
    assert second.tenure(5).handover_id
    await second.close()
