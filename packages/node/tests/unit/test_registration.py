"""Tests of the state of a target, as derived from what it says."""

import pytest
from chivelead_config import TargetAnnouncement
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.targets import LocalTarget
from chivelead_policy import LIMITS, QUEUES, Admission
from chivelead_protocol import HybridClock, TargetState


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
