"""Which peers get a heartbeat at once, and which at the next period."""

import asyncio
import dataclasses

import pytest
from chivelead_node._internal.log_writer import LogWriter
from chivelead_node._internal.proxy.components import build_components
from lib.fake_platform import (
    FakePlatformStore,
    FakeTarget,
    make_settings,
)


@pytest.fixture
async def heartbeats(monkeypatch):
    """Return an exchange with two peers and the VMs it sends requests to."""
    settings = make_settings(
        'vm-5',
        FakeTarget('stock'),
        FakePlatformStore(),
    )
    components = build_components(settings, LogWriter())
    own = components.membership.own
    for vm, region in (('vm-8', 'r1'), ('vm-9', 'r2')):
        components.membership.merge_self_reported(
            dataclasses.replace(own, vm=vm, region=region)
        )
    requested_vms = []

    async def record_request(vm, body, timeout_ms):
        requested_vms.append(vm)

    monkeypatch.setattr(components.links, 'request', record_request)
    return components.heartbeats, requested_vms


async def test_change_is_sent_immediately_within_the_region_only(heartbeats):
    exchange, requested_vms = heartbeats
    exchange.notify_region_soon()
    await asyncio.sleep(0.05)
    await exchange.close()
    assert requested_vms == ['vm-8']


async def test_every_peer_gets_heartbeats_within_two_seconds(heartbeats):
    exchange, requested_vms = heartbeats
    await exchange.start()
    await asyncio.sleep(2)
    await exchange.close()
    assert requested_vms.count('vm-9') >= 2
    assert requested_vms.count('vm-8') >= 4
