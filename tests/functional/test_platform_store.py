"""Tests of nodes on the fake platform: store, plans and node entries."""

import asyncio
import base64
import dataclasses
import json

from chivelead_node._internal.proxy import contacts
from lib.fake_platform import make_plan_text
from lib.platform_fleet import (
    ORGANISATIONS,
    ROUTES,
    PlatformFleet,
    kill_node,
    running_fleet,
    start_node,
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


# Guards against keys that are withdrawn and stay in use: the node that watches
# the plan for its failure domain was cut off from the store, and no other did.
async def test_plan_takes_effect_though_its_watcher_has_no_store():
    async with running_fleet('stock', 'orders', 'stock') as fleet:
        nodes = range(3)
        await wait_until(lambda: len(plan_watchers(fleet)) == 1)
        watcher = plan_watchers(fleet)[0]
        fleet.components(watcher).store._url = 'http://127.0.0.1:1/api'
        # By then, its watch in progress has ended.
        await asyncio.sleep(1.5)
        fleet.store.put('op/config', make_plan_text(9, ROUTES, ORGANISATIONS))
        await wait_until(
            lambda: all(fleet.plan_version(index) == 9 for index in nodes), 2.5
        )


def plan_watchers(fleet):
    """Return the indexes of the nodes that watch the plan."""
    return [
        index
        for index, node in enumerate(fleet.nodes)
        if node._components.relay.should_watch_plan()
    ]


async def test_plan_is_read_again_after_compaction_of_the_store():
    async with running_fleet('stock') as fleet:
        fleet.store.compact_history()
        fleet.store.put('op/config', make_plan_text(9, ROUTES, ORGANISATIONS))
        await wait_until(
            lambda: fleet.plan_version(0) == 9,
            2.5,
        )


async def test_plan_takes_effect_in_time_though_watches_hear_nothing():
    """A watch that has missed a change may end like one without changes."""
    async with running_fleet('stock', 'orders') as fleet:
        fleet.store.deaf_watches = True
        await asyncio.sleep(0.2)
        fleet.store.put('op/config', make_plan_text(9, ROUTES, ORGANISATIONS))
        await wait_until(
            lambda: all(fleet.plan_version(index) == 9 for index in (0, 1)),
            2.5,
        )


async def test_fleet_serves_through_an_outage_and_contacts_stay():
    """Contacts hold no lease, so no outage of the store removes them."""
    async with running_fleet('stock', 'orders') as fleet:
        await wait_until(lambda: len(contact_vms(fleet)) == 2)
        fleet.store.error_status = 503
        await asyncio.sleep(1.5)
        fleet.store.expire_leases()
        assert (await fleet.send_request(0, '/book/x', 'POST'))[0] == 200
        fleet.store.error_status = 0
        assert contact_vms(fleet) == {'vm-0', 'vm-1'}


async def test_contact_is_registered_though_the_reply_is_lost():
    """The node cannot tell whether the store received the write."""
    fleet = PlatformFleet('stock')
    fleet.store.write_replies_to_drop = 1
    await fleet.start()
    assert contact_vms(fleet) == {'vm-0'}
    assert (await fleet.send_request(0, '/read/x'))[0] == 200
    await fleet.close()


async def test_contact_that_is_gone_is_replaced(monkeypatch):
    monkeypatch.setattr(contacts, '_CHECK_PERIOD_S', 0.2)
    async with running_fleet('stock', 'stock', 'stock') as fleet:
        await wait_until(lambda: len(contact_vms(fleet)) == 2)
        listed = sorted(contact_vms(fleet))
        gone = int(listed[0].removeprefix('vm-'))
        await kill_node(fleet.nodes[gone])
        fleet.nodes[gone]._stopping = True
        await wait_until(
            lambda: (
                listed[0] not in contact_vms(fleet)
                and len(contact_vms(fleet)) == 2
            ),
            15,
        )


async def test_malformed_contacts_keep_no_node_from_joining():
    fleet = PlatformFleet('stock', 'orders')
    fleet.store.put('chivelead/contacts/z1/0', 'no JSON')
    fleet.store.put('chivelead/contacts/z1/9', '{"vm": 5}')
    await fleet.start()
    assert (await fleet.send_request(0, '/book/x', 'POST'))[0] == 200
    await fleet.close()


async def test_starting_nodes_call_the_store_seldom():
    """Pattern: a whole fleet starts at once, and each call is billed."""
    async with running_fleet(*('stock' for _ in range(6))) as fleet:
        assert fleet.store.call_count <= 6 * 5
        await asyncio.sleep(6)
        calls_before = fleet.store.call_count
        await asyncio.sleep(5)
        # One node watches the plan, a call in 1.1 s, and reads the contacts,
        # a call in 5 s.
        assert fleet.store.call_count - calls_before <= 7


async def test_nodes_that_all_restart_have_the_plan_before_they_join():
    """Pattern: power is lost everywhere while callers keep sending."""
    async with running_fleet('stock', 'orders') as fleet:
        for node in fleet.nodes:
            await kill_node(node)
        settings = dataclasses.replace(fleet.settings[1], first_start=False)
        fleet.nodes = [await start_node(settings)]
        await wait_until(lambda: fleet.plan_version(0) == 5, 0.3)


async def test_withdrawn_key_stays_withdrawn_at_a_node_that_restarts():
    """A node that starts again gets the newest plan, or none."""
    async with running_fleet('stock', 'orders') as fleet:
        organisations = (('mill', 'new-key', {}),)
        fleet.store.put('op/config', make_plan_text(9, ROUTES, organisations))
        await wait_until(lambda: fleet.plan_version(1) == 9)
        await kill_node(fleet.nodes[1])
        settings = dataclasses.replace(fleet.settings[1], first_start=False)
        fleet.nodes[1] = await start_node(settings)
        statuses = set()
        for _ in range(30):
            statuses.add((await fleet.send_request(1, '/read/x'))[0])
            await asyncio.sleep(0.02)
        assert statuses <= {401, 503}
        assert 401 in statuses


def contact_vms(fleet):
    """Return the VMs that the store lists as contacts."""
    return {
        json.loads(base64.b64decode(item['value']))['vm']
        for key, item in fleet.store.entries.items()
        if key.startswith('chivelead/contacts/')
    }


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
