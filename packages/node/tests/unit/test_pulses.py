"""Who is told of a change at once, and who by the next pulse."""

import asyncio
import dataclasses

import pytest
from chivelead_node._internal.log_writer import LogWriter
from chivelead_node._internal.proxy.components import build_components
from lib.platform_standin import (
    PlatformStoreServer,
    StandinTarget,
    make_settings,
)


@pytest.fixture
async def pulses(monkeypatch):
    """Return the pulses of a node that knows two peers, and who was asked."""
    settings = make_settings(
        'vm-5',
        StandinTarget('stock'),
        PlatformStoreServer(),
    )
    parts = build_components(settings, LogWriter())
    own = parts.membership.own
    for vm, region in (('vm-8', 'r1'), ('vm-9', 'r2')):
        parts.membership.merge_self_reported(
            dataclasses.replace(own, vm=vm, region=region)
        )
    asked = []

    async def note(vm, body, timeout_ms):
        asked.append(vm)

    monkeypatch.setattr(parts.links, 'request', note)
    return parts.pulses, asked


async def test_a_change_is_told_at_once_to_the_own_region_only(pulses):
    task, asked = pulses
    task.tell_soon()
    await asyncio.sleep(0.05)
    await task.close()
    assert asked == ['vm-8']


async def test_every_peer_hears_within_two_seconds(pulses):
    task, asked = pulses
    await task.start()
    await asyncio.sleep(2)
    await task.close()
    assert asked.count('vm-9') >= 2
    assert asked.count('vm-8') >= 4
