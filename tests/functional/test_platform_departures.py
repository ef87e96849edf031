"""Tests of nodes on the fake platform: targets that have left, and restarts."""

import asyncio
import functools
import time
import types

import pytest
from chivelead_node._internal.proxy import registration
from lib.platform_fleet import (
    announce_late,
    deregister,
    kill_node,
    requests_at_target,
    restart_node,
    running_fleet,
    wait_until,
    wait_until_rejoined,
)

# Of the platform: a node is in touch this long after its start.
_STABLE_S = 3
# A target waits this long for an acknowledgement.
_ACKNOWLEDGEMENT_S = 1


# Guards against a target that had left and was in use again after a restart of
# its node: an announcement that came late was the first one it heard.
async def test_departure_is_known_after_a_restart_of_the_node():
    async with running_fleet('stock', 'stock') as fleet:
        announcement = fleet.targets[0].make_announcement()
        await deregister(fleet, 0)
        await restart_node(fleet, 0)
        await wait_until_rejoined(fleet, 0, 1)
        await announce_late(fleet, 0, announcement)
        assert await requests_at_target(fleet, 0, 0) == 0


# Guards against the same where the target left after the restart, before its
# node had heard from it.
async def test_departure_of_an_unknown_target_holds():
    async with running_fleet('stock', 'stock') as fleet:
        announcement = fleet.targets[0].make_announcement()
        await restart_node(fleet, 0)
        await wait_until_rejoined(fleet, 0, 1)
        await deregister(fleet, 0)
        await announce_late(fleet, 0, announcement)
        assert await requests_at_target(fleet, 0, 0) == 0


# Guards against the same where the time of day at the node steps back.
async def test_departure_of_an_unknown_target_holds_after_a_clock_step(
    monkeypatch,
):
    async with running_fleet('stock', 'stock') as fleet:
        fleet.targets[0].started_ms = int(time.time() * 1000) - 2000
        announcement = fleet.targets[0].make_announcement()
        await restart_node(fleet, 0)
        await wait_until_rejoined(fleet, 0, 1)
        stepped = types.SimpleNamespace(time=lambda: time.time() - 5)
        monkeypatch.setattr(registration, 'time', stepped)
        await deregister(fleet, 0)
        await announce_late(fleet, 0, announcement)
        assert await requests_at_target(fleet, 0, 0) == 0


# Guards against a target that is left out for good: the departure that a node
# reads at its start is about an earlier start of the target.
async def test_departure_ends_with_the_next_start_of_the_target():
    async with running_fleet('stock', 'stock') as fleet:
        await deregister(fleet, 0)
        await restart_node(fleet, 0)
        await wait_until_rejoined(fleet, 0, 1)
        fleet.targets[0].started_ms = int(time.time() * 1000)
        assert await fleet.announce(0) == 200
        assert await requests_at_target(fleet, 0, 0) > 0


# Guards against the same where the departure could not be read at the start,
# because the store was down.
async def test_departure_that_is_read_late_takes_effect():
    async with running_fleet('stock', 'stock') as fleet:
        announcement = fleet.targets[0].make_announcement()
        await deregister(fleet, 0)
        fleet.store.error_status = 503
        await restart_node(fleet, 0)
        await announce_late(fleet, 0, announcement)
        fleet.store.error_status = 0
        await wait_until(
            lambda: fleet.components(0).registration.state == 'draining'
        )
        await wait_until_rejoined(fleet, 0, 1)
        assert await requests_at_target(fleet, 0, 0) == 0


# Guards against the same where the target had only said that it drains: its
# node acknowledged that without keeping it.
@pytest.mark.parametrize(
    ('killed', 'error_status'), [((0,), 0), ((0,), 503), ((0, 1), 0)]
)
async def test_acknowledged_drain_is_known_after_a_kill(killed, error_status):
    async with running_fleet('stock', 'stock') as fleet:
        late = fleet.targets[0].make_announcement()
        fleet.store.error_status = error_status
        assert await fleet.announce(0, state='draining') == 200
        fleet.targets[0].healthy = False
        await restart_node(fleet, *killed)
        fleet.store.error_status = 0
        await announce_late(fleet, 0, late)
        await wait_until(
            lambda: fleet.components(0).registration.state == 'draining',
            _STABLE_S,
        )
        await wait_until(lambda: fleet.components(0).plan_feed.current.version)
        assert await fleet.announce(1) == 200
        await wait_until(
            lambda: any(
                member.target_state == 'ready'
                for member in fleet.components(0).membership.alive_members()
            )
        )
        assert await requests_at_target(fleet, 0, 0) == 0


# Guards against an acknowledgement of what a kill of the node would undo, since
# neither the store nor a peer knows it.
@pytest.mark.parametrize('operation', ['heartbeat', 'deregister'])
async def test_departure_that_is_kept_nowhere_is_not_acknowledged(operation):
    async with running_fleet('stock', 'stock') as fleet:
        await kill_node(fleet.nodes[1])
        fleet.store.error_status = 503
        announcement = fleet.targets[0].make_announcement(state='draining')
        send_notice = functools.partial(
            fleet.call_control_api,
            0,
            f'instances.{operation}',
            fleet.targets[0].target_id,
            announcement,
        )
        async with asyncio.timeout(_ACKNOWLEDGEMENT_S):
            assert await send_notice() == 503
        assert fleet.components(0).registration.state == 'draining'
        fleet.store.error_status = 0
        await asyncio.sleep(_STABLE_S)
        assert await send_notice() == 200
        assert 'chivelead/departures/vm-0' in fleet.store.entries
