"""Tests of the state of a target, as derived from what it says."""

import time
import types

import pytest
from chivelead_config import TargetAnnouncement
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy import (
    registration as registration_module,
)
from chivelead_node._internal.proxy import undated_departures
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.targets import LocalTarget
from chivelead_policy import LIMITS, QUEUES, Admission
from chivelead_protocol import HybridClock, TargetState, now_ms


@pytest.fixture
async def registration():
    """Return the registration of a VM that has no target yet."""
    admission = Admission(
        LIMITS.find('static')(), QUEUES.find('importance-fair')()
    )
    events = EventLog('vm-0', HybridClock(), 0, log_calls=False)
    return TargetRegistration(LocalTarget(1000), admission, events, 1500)


def announcement(target_id, started_ms, sequence=1):
    """Return an announcement of a target that is ready."""
    return TargetAnnouncement(
        target_id=target_id,
        started_ms=started_ms,
        sequence=sequence,
        service='stock',
        host='127.0.0.1',
        port=1,
        slots=4,
        state=TargetState.ready,
        warmup_left_ms=0,
    )


async def test_departure_is_about_one_start(registration):
    await registration.apply_announcement(announcement('i-1', 1000), 8)
    registration.mark_leaving('i-1')
    await registration.apply_announcement(announcement('i-1', 1000, 2), 8)
    assert registration.state == TargetState.draining
    await registration.apply_announcement(announcement('i-1', 2000), 8)
    assert registration.state == TargetState.ready
    assert not registration.departures


# Guards against a departure that is dated by a clock that differs from the one
# of the target: late announcements end it, or no start ever does.
@pytest.mark.parametrize('clock_step_s', [-3600, 0, 3600])
async def test_departure_of_an_unknown_target_needs_no_clock(
    registration, monkeypatch, clock_step_s
):
    now_s = time.time()
    passed_ms = 0
    monkeypatch.setattr(
        registration_module,
        'time',
        types.SimpleNamespace(time=lambda: now_s + clock_step_s),
    )
    monkeypatch.setattr(
        undated_departures, 'now_ms', lambda: now_ms() + passed_ms
    )
    started_ms = int(now_s * 1000)
    registration.mark_leaving('i-1')
    for sequence in (7, 8):
        late = announcement('i-1', started_ms - 2000, sequence)
        await registration.apply_announcement(late, 8)
        assert registration.state == TargetState.draining
        passed_ms += 2000
    for sequence in range(1, 4):
        restarted = announcement('i-1', started_ms, sequence)
        await registration.apply_announcement(restarted, 8)
        assert registration.state == TargetState.draining
        passed_ms += 2000
    await registration.apply_announcement(announcement('i-1', started_ms, 4), 8)
    assert registration.state == TargetState.ready
    assert not registration.departures


# Guards against a target found by a probe that ends its own departure.
async def test_probes_do_not_end_a_departure(registration, monkeypatch):
    passed_ms = 0
    monkeypatch.setattr(
        undated_departures, 'now_ms', lambda: now_ms() + passed_ms
    )
    registration.mark_leaving('i-1')
    for sequence in range(5):
        await registration.apply_announcement(
            announcement('i-1', 0, sequence), 8
        )
        passed_ms += 4000
        assert registration.state == TargetState.draining


# Guards against a second departure under an ID that is ignored, since the
# departure of an earlier start is known and the new start is not.
async def test_departure_binds_starts_after_one_that_is_known(registration):
    registration.restore_departures({'i-1': 1000})
    registration.mark_leaving('i-1')
    late = announcement('i-1', int(time.time() * 1000) + 500, 7)
    await registration.apply_announcement(late, 8)
    assert registration.state == TargetState.draining


async def test_departure_of_a_former_target_does_not_end_the_present_one(
    registration,
):
    await registration.apply_announcement(announcement('i-2', 2000), 8)
    registration.mark_leaving('i-1')
    assert registration.state == TargetState.ready


# Guards against records that grow with each target on a VM, and against
# dropping the latest one in place of the oldest.
async def test_the_latest_departures_are_kept(registration):
    for number in range(20):
        registration.mark_leaving(f'i-{number}')
    registration.restore_departures({'i-former': 1000})
    assert list(registration.departures) == [
        f'i-{number}' for number in range(12, 20)
    ]
