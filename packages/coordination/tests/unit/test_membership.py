"""Merging of news about members."""

import pytest
from chivelead_coordination import Membership
from lib.fakes import make_member

pytestmark = pytest.mark.looptime


async def test_newer_version_replaces_older():
    table = Membership(make_member('a'))
    table.merge([make_member('b', version=2), make_member('b', version=1)])
    assert table.find('b').version == 2


async def test_dead_at_same_version_wins_and_is_refuted():
    table = Membership(make_member('a'))
    table.merge([make_member('a', alive=False)])
    assert table.own.alive
    assert table.own.incarnation == 2


async def test_new_process_in_a_slot_outranks_the_old_one():
    table = Membership(make_member('a'))
    table.merge([make_member('a', boot_id='old', incarnation=7, version=40)])
    assert table.own.incarnation == 8


async def test_digests_agree_whatever_the_order():
    first = Membership(make_member('a'))
    second = Membership(make_member('b'))
    first.merge([make_member('b'), make_member('c', alive=True)])
    second.merge([make_member('c'), make_member('a')])
    assert first.digest == second.digest


async def test_unknown_dead_member_is_not_learned():
    table = Membership(make_member('a'))
    table.merge([make_member('b', alive=False)])
    assert table.find('b') is None


async def test_news_is_told_a_few_times_only():
    table = Membership(make_member('a'))
    table.merge([make_member('b')])
    told = sum(len(table.take_updates()) for _ in range(100))
    assert told == 8
