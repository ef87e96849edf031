"""Merging and transmission of membership updates."""

import pytest
from chivelead_coordination import Membership
from lib.fakes import make_member

pytestmark = pytest.mark.looptime


async def test_newer_version_replaces_older():
    membership = Membership(make_member('a'))
    membership.merge([make_member('b', version=2), make_member('b', version=1)])
    assert membership.find('b').version == 2


async def test_node_refutes_a_report_of_its_own_death():
    membership = Membership(make_member('a'))
    membership.merge([make_member('a', alive=False)])
    assert membership.own.alive
    assert membership.own.incarnation == 2


async def test_restarted_node_supersedes_its_earlier_process():
    membership = Membership(make_member('a'))
    membership.merge(
        [make_member('a', boot_id='old', incarnation=7, version=40)]
    )
    assert membership.own.incarnation == 8


async def test_digest_does_not_depend_on_merge_order():
    first = Membership(make_member('a'))
    second = Membership(make_member('b'))
    first.merge([make_member('b'), make_member('c', alive=True)])
    second.merge([make_member('c'), make_member('a')])
    assert first.digest == second.digest


async def test_unknown_dead_member_is_not_added():
    membership = Membership(make_member('a'))
    membership.merge([make_member('b', alive=False)])
    assert membership.find('b') is None


async def test_update_is_sent_a_limited_number_of_times():
    membership = Membership(make_member('a'))
    membership.merge([make_member('b')])
    sent_count = sum(len(membership.take_updates()) for _ in range(100))
    assert sent_count == 8
