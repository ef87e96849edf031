"""Sums of request counts stay right while their sources come and go."""

import pytest
from chivelead_coordination import CountTally
from chivelead_protocol import CountReport, RequestCounts
from hypothesis import given
from hypothesis import strategies as st
from lib.clocks import advance_clock

pytestmark = pytest.mark.looptime


def make_report(requested, admitted, *, is_full=False):
    return CountReport(is_full, (RequestCounts('mill', requested, admitted),))


def totals(tally, receiver=''):
    counts = tally.report(receiver, is_full=True).counts
    return [(count.requested, count.admitted) for count in counts]


async def test_only_increments_are_added():
    tally = CountTally()
    tally.apply('vm-1', 'boot-1', make_report(500, 400, is_full=True))
    assert not totals(tally)
    await advance_clock(0.5)
    tally.apply('vm-1', 'boot-1', make_report(510, 404))
    assert totals(tally) == [(10, 4)]


async def test_restart_of_a_source_takes_nothing_back():
    tally = CountTally()
    tally.apply('vm-1', 'boot-1', make_report(0, 0, is_full=True))
    tally.apply('vm-1', 'boot-1', make_report(30, 20))
    tally.apply('vm-1', 'boot-2', make_report(3, 2, is_full=True))
    tally.apply('vm-1', 'boot-2', make_report(5, 4))
    assert totals(tally) == [(32, 22)]


async def test_partial_report_of_an_unknown_source_is_ignored():
    tally = CountTally()
    tally.apply('vm-1', 'boot-1', make_report(500, 400))
    assert not tally.is_known('vm-1', 'boot-1')
    tally.apply('vm-1', 'boot-1', make_report(501, 401, is_full=True))
    tally.apply('vm-1', 'boot-1', make_report(502, 402))
    assert totals(tally) == [(1, 1)]


async def test_receiver_gets_the_counts_of_the_others_only():
    tally = CountTally()
    for vm in ('vm-1', 'vm-2'):
        tally.apply(vm, 'boot', make_report(0, 0, is_full=True))
    tally.apply('vm-1', 'boot', make_report(7, 5))
    tally.apply('vm-2', 'boot', make_report(3, 2))
    assert totals(tally, 'vm-1') == [(3, 2)]
    assert totals(tally) == [(10, 7)]


async def test_silent_source_is_assumed_to_go_on_until_it_is_noticed():
    tally = CountTally()
    tally.apply('vm-1', 'boot', make_report(0, 0, is_full=True))
    for requests in range(10, 110, 10):
        await advance_clock(1)
        tally.apply('vm-1', 'boot', make_report(requests, requests))
    await advance_clock(2)
    tally.note_silent_sources()
    assert totals(tally)[0][0] == pytest.approx(120, abs=2)
    assumed = totals(tally)[0][0]
    await advance_clock(4)
    tally.note_silent_sources()
    # What it counts from then on is allowed for by others.
    tally.apply('vm-1', 'boot', make_report(190, 190))
    tally.apply('vm-1', 'boot', make_report(191, 191))
    assert totals(tally)[0][0] == assumed + 1


async def test_two_reports_at_once_make_no_high_rate_of_a_silent_source():
    """Two relays may exchange digests twice within a millisecond."""
    tally = CountTally()
    tally.apply('vm-1', 'boot', make_report(0, 0, is_full=True))
    for requests in range(10, 60, 10):
        await advance_clock(1)
        tally.apply('vm-1', 'boot', make_report(requests, requests))
    await advance_clock(0.001)
    tally.apply('vm-1', 'boot', make_report(52, 52))
    await advance_clock(2)
    tally.note_silent_sources()
    assert totals(tally)[0][0] <= 52 + 2 * 12


async def test_forgotten_source_is_not_added_to_its_own_view_later():
    tally = CountTally()
    for vm in ('vm-1', 'vm-2'):
        tally.apply(vm, 'boot', make_report(0, 0, is_full=True))
    tally.apply('vm-1', 'boot', make_report(700, 500))
    tally.apply('vm-2', 'boot', make_report(3, 2))
    tally.forget('vm-1')
    tally.apply('vm-1', 'boot', make_report(710, 510, is_full=True))
    tally.apply('vm-1', 'boot', make_report(711, 511))
    assert totals(tally, 'vm-1') == [(3, 2)]


async def test_counts_without_recent_changes_are_left_out():
    tally = CountTally()
    tally.apply('vm-1', 'boot', make_report(0, 0, is_full=True))
    tally.apply('vm-1', 'boot', make_report(10, 10))
    await advance_clock(4)
    assert not tally.report(is_full=False).counts
    assert totals(tally) == [(10, 10)]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['vm-1', 'vm-2', 'vm-3']),
            st.sampled_from(['count', 'report', 'full', 'restart', 'forget']),
            st.integers(0, 20),
        ),
        max_size=60,
    )
)
async def test_sum_never_falls_and_never_exceeds_what_was_counted(steps):
    """Reports are lost, sources restart and are forgotten in any order."""
    tally = CountTally()
    counts = dict.fromkeys(['vm-1', 'vm-2', 'vm-3'], 0)
    boots = dict.fromkeys(counts, 0)
    counted = 0
    previous = 0
    for vm, step, number in steps:
        if step == 'count':
            counts[vm] += number
            counted += number
        elif step == 'restart':
            boots[vm] += 1
            counts[vm] = 0
        elif step == 'forget':
            tally.forget(vm)
        else:
            report = make_report(counts[vm], counts[vm], is_full=step == 'full')
            tally.apply(vm, str(boots[vm]), report)
        total = sum(requested for requested, _ in totals(tally))
        assert previous <= total <= counted
        previous = total
