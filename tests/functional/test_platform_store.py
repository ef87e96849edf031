"""Tests of nodes on the fake platform: store, plans and node entries."""

import asyncio
import json

from lib.fake_platform import make_plan_text
from lib.platform_fleet import (
    ORGANISATIONS,
    ROUTES,
    PlatformFleet,
    running_fleet,
    wait_until,
)


async def test_node_without_a_plan_refuses_and_is_not_ready():
    fleet = PlatformFleet('stock')
    fleet.store.error_status = 503
    fleet.store.put('op/config', make_plan_text(5, ROUTES, ORGANISATIONS))
    startup = asyncio.create_task(fleet.start())
    await wait_until(lambda: fleet.nodes)
    assert not await fleet.is_ready(0)
    status, headers, _ = await fleet.send_request(0, '/read/x')
    assert (status, 'Retry-After' in headers) == (503, True)
    fleet.store.error_status = 0
    await startup
    await wait_until(lambda: fleet.plan_version(0) == 5)
    assert await fleet.is_ready(0)
    await fleet.close()


async def test_newer_plan_takes_effect_and_older_plan_is_ignored():
    async with running_fleet('stock', 'orders') as fleet:
        moved_routes = (('/read/', 'orders', 'safe', {}), *ROUTES[1:])
        fleet.store.put(
            'op/config', make_plan_text(9, moved_routes, ORGANISATIONS)
        )
        await wait_until(
            lambda: all(fleet.plan_version(index) == 9 for index in (0, 1)),
            2.5,
        )
        fleet.store.put('op/config', make_plan_text(8, ROUTES, ORGANISATIONS))
        fleet.store.put('op/config', 'not a plan')
        await asyncio.sleep(0.5)
        assert (await fleet.send_request(0, '/read/x'))[2].startswith(b'orders')


async def test_plan_reaches_a_node_without_access_to_the_store():
    """A node that cannot reach the store fetches the plan from a peer."""
    async with running_fleet('stock', 'orders') as fleet:
        store_client = fleet.nodes[1]._components.store
        store_client._url = 'http://127.0.0.1:1/api'
        fleet.store.put('op/config', make_plan_text(9, ROUTES, ORGANISATIONS))
        await wait_until(
            lambda: fleet.plan_version(1) == 9,
            2.5,
        )


async def test_plan_is_read_again_after_compaction_of_the_store():
    async with running_fleet('stock') as fleet:
        fleet.store.compact_history()
        fleet.store.put('op/config', make_plan_text(9, ROUTES, ORGANISATIONS))
        await wait_until(
            lambda: fleet.plan_version(0) == 9,
            2.5,
        )


async def test_node_entries_return_soon_after_an_outage():
    """Leases expire during a store outage, which deletes the node entries."""
    async with running_fleet('stock', 'orders') as fleet:
        fleet.store.error_status = 503
        await asyncio.sleep(1.5)
        fleet.store.expire_leases()
        assert (await fleet.send_request(0, '/book/x', 'POST'))[0] == 200
        fleet.store.error_status = 0
        await wait_until(
            lambda: (
                sum(key.startswith('chivelead/') for key in fleet.store.entries)
                == 2
            ),
            2,
        )


async def test_write_takes_effect_though_its_reply_is_lost():
    """The node cannot tell whether the store received the write."""
    async with running_fleet('stock') as fleet:
        fleet.store.write_replies_to_drop = 1
        await fleet.announce(0, state='draining')
        await wait_until(
            lambda: 'draining' in read_node_entry(fleet, 'vm-0'),
            3,
        )


def read_node_entry(fleet, vm):
    """Return the text of the entry of a node, or an empty string."""
    import base64

    item = fleet.store.entries.get(f'chivelead/nodes/{vm}')
    return base64.b64decode(item['value']).decode() if item else ''


async def test_malformed_store_replies_do_not_stop_requests():
    async with running_fleet('stock') as fleet:
        fleet.store.malformed_replies = True
        fleet.store.compact_history()
        await asyncio.sleep(1)
        assert (await fleet.send_request(0, '/read/x'))[0] == 200
        fleet.store.malformed_replies = False
        fleet.store.put(
            'op/config',
            json.dumps(json.loads(make_plan_text(9, ROUTES, ORGANISATIONS))),
        )
        await wait_until(lambda: fleet.plan_version(0) == 9, 4)


async def test_many_entry_changes_cause_few_watch_calls():
    async with running_fleet('stock') as fleet:
        calls_before = fleet.store.watch_counts['chivelead/nodes/']
        for index in range(40):
            fleet.store.put(f'chivelead/nodes/other-{index}', '{}')
            await asyncio.sleep(0.05)
        # The changes take two seconds; the node calls kv-watch at most once per
        # second.
        assert fleet.store.watch_counts['chivelead/nodes/'] - calls_before <= 3
