"""Tests of the store when its open connections go silent, without a reset.

New connections work.
"""

import asyncio
import random

import pytest
from chivelead_coordination import StoreEra, Write
from chivelead_node._internal.proxy.contacts import KEY_PREFIX
from chivelead_platform import Address, PlatformStore
from chivelead_protocol import StoreUnavailableError, loop_ms
from lib.fake_platform import HOST, FakePlatformStore, make_plan_text
from lib.platform_fleet import (
    ORGANISATIONS,
    ROUTES,
    running_fleet,
    wait_until,
)

PLAN_BOUND_S = 2.5
TIMEOUT_MS = 300


@pytest.fixture
async def server():
    """Start a store."""
    store = FakePlatformStore()
    await store.start()
    yield store
    await store.close()


@pytest.fixture
async def client(server):
    """Start a client of the store."""
    store_client = PlatformStore(
        Address(HOST, server.port), TIMEOUT_MS, StoreEra()
    )
    await store_client.start()
    yield store_client
    await store_client.close()


async def open_connections(client, count):
    """Make a client open connections, which are then idle."""
    await asyncio.gather(*(client.read('key') for _ in range(count)))


# Guards against one timeout for each silent connection.
async def test_one_timeout_condemns_all_silent_connections(server, client):
    await client.write(Write('key', 'text', 0))
    await open_connections(client, 4)
    server.silence_connections()
    with pytest.raises(StoreUnavailableError):
        await client.read('key')
    assert (await client.read('key')).text == 'text'


# Guards against a call on a sound connection that is cut off by the timeout of
# another.
async def test_call_in_progress_outlives_the_timeout_of_another(server, client):
    await client.write(Write('key', 'text', 0))
    await open_connections(client, 2)
    server.silence_connections()
    lost = [asyncio.create_task(client.read('key')) for _ in range(2)]
    await asyncio.sleep(0.1)
    watch = asyncio.create_task(client.watch('key', server.revision, 5000))
    results = await asyncio.gather(*lost, return_exceptions=True)
    assert all(isinstance(lost, StoreUnavailableError) for lost in results)
    server.put('key', 'other')
    assert (await watch).text == 'other'


# Guards against a withdrawn key that stays in use: a node tried one silent
# connection after the other, and no other node of its failure domain had news.
@pytest.mark.parametrize(
    ('vm_count', 'domain_count'), [(1, 1), (4, 4), (4, 2), (3, 1), (4, 1)]
)
async def test_plan_is_in_force_in_time_after_connections_go_silent(
    vm_count, domain_count
):
    random.seed(vm_count * 10 + domain_count)
    domains = [f'z{number}' for number in range(domain_count)]
    services = ['stock', 'orders', 'stock', 'orders'][:vm_count]
    async with running_fleet(*services, failure_domains=domains) as fleet:
        await asyncio.sleep(1)
        delays_s = []
        for version, share in enumerate((1.0, 0.7, 1.0, 0.3), start=6):
            await wait_until_watch_starts(fleet)
            await check_contacts(fleet)
            await asyncio.sleep(random.random() * 0.2)
            fleet.store.silence_connections(share)
            delays_s.append(await time_new_plan(fleet, version))
            await asyncio.sleep(random.random() * 0.9)
        print('delays of new plans', delays_s)
        assert max(delays_s) < PLAN_BOUND_S


async def wait_until_watch_starts(fleet):
    """Wait for the next call that watches the plan."""
    counts = fleet.store.watch_counts
    count = counts['op/config']
    await wait_until(lambda: counts['op/config'] > count)


async def check_contacts(fleet):
    """Read the contacts as nodes do every few seconds; they may fail."""
    await asyncio.gather(
        *(
            node._components.store.list_prefix(KEY_PREFIX)
            for node in fleet.nodes
        ),
        return_exceptions=True,
    )


async def time_new_plan(fleet, version):
    """Write a plan; return the time until it is in force everywhere."""
    written_ms = loop_ms()
    fleet.store.put('op/config', make_plan_text(version, ROUTES, ORGANISATIONS))
    await wait_until(
        lambda: all(
            fleet.plan_version(index) == version
            for index, _ in enumerate(fleet.nodes)
        )
    )
    return (loop_ms() - written_ms) / 1000
