"""Which peers get a pulse immediately, and which by the next period."""

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
async def pulses(monkeypatch):
    """Return a pulse exchange with two peers and the list of VMs requested."""
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
    return components.pulses, requested_vms


async def test_change_is_sent_immediately_to_the_own_region_only(pulses):
    exchange, requested_vms = pulses
    exchange.notify_region_soon()
    await asyncio.sleep(0.05)
    await exchange.close()
    assert requested_vms == ['vm-8']


async def test_every_peer_gets_pulses_within_two_seconds(pulses):
    exchange, requested_vms = pulses
    await exchange.start()
    await asyncio.sleep(2)
    await exchange.close()
    assert requested_vms.count('vm-9') >= 2
    assert requested_vms.count('vm-8') >= 4
