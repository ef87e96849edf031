"""Nodes on the stand-in platform: its store, plans and entries."""

import asyncio
import json

from lib.platform_fleet import (
    ORGANISATIONS,
    ROUTES,
    PlatformFleet,
    running,
    until,
)
from lib.platform_standin import make_edit


async def test_node_without_a_plan_refuses_and_is_not_ready():
    fleet = PlatformFleet('stock')
    fleet.store.status = 503
    fleet.store.put('op/config', make_edit(5, ROUTES, ORGANISATIONS))
    starting = asyncio.create_task(fleet.start())
    await until(lambda: fleet.nodes)
    assert not await fleet.is_ready(0)
    status, heads, _ = await fleet.ask(0, '/read/x')
    assert (status, 'Retry-After' in heads) == (503, True)
    fleet.store.status = 0
    await starting
    await until(lambda: fleet.plan_version(0) == 5)
    assert await fleet.is_ready(0)
    await fleet.close()


async def test_edit_is_in_force_and_never_falls():
    async with running('stock', 'orders') as fleet:
        moved = (('/read/', 'orders', 'safe', {}), *ROUTES[1:])
        fleet.store.put('op/config', make_edit(9, moved, ORGANISATIONS))
        await until(
            lambda: all(fleet.plan_version(number) == 9 for number in (0, 1)),
            2.5,
        )
        fleet.store.put('op/config', make_edit(8, ROUTES, ORGANISATIONS))
        fleet.store.put('op/config', 'not an edit')
        await asyncio.sleep(0.5)
        assert (await fleet.ask(0, '/read/x'))[2].startswith(b'orders')


async def test_edit_reaches_a_node_that_the_store_refuses():
    """The peers bring an edit that the store does not."""
    async with running('stock', 'orders') as fleet:
        cut = fleet.nodes[1]._components.store
        cut._url = 'http://127.0.0.1:1/api'
        fleet.store.put('op/config', make_edit(9, ROUTES, ORGANISATIONS))
        await until(
            lambda: fleet.plan_version(1) == 9,
            2.5,
        )


async def test_lost_history_is_read_anew():
    async with running('stock') as fleet:
        fleet.store.forget_history()
        fleet.store.put('op/config', make_edit(9, ROUTES, ORGANISATIONS))
        await until(
            lambda: fleet.plan_version(0) == 9,
            2.5,
        )


async def test_entries_are_back_soon_after_an_outage():
    async with running('stock', 'orders') as fleet:
        fleet.store.status = 503
        await asyncio.sleep(1.5)
        fleet.store.end_leases()
        assert (await fleet.ask(0, '/book/x', 'POST'))[0] == 200
        fleet.store.status = 0
        await until(
            lambda: (
                sum(key.startswith('chivelead/') for key in fleet.store.entries)
                == 2
            ),
            2,
        )


async def test_lost_answer_to_a_write_is_no_loss():
    async with running('stock') as fleet:
        fleet.store.lose_writes = 1
        await fleet.announce(0, state='draining')
        await until(
            lambda: 'draining' in entry_of(fleet, 'vm-0'),
            3,
        )


def entry_of(fleet, vm):
    """Return the text of a node's entry."""
    import base64

    item = fleet.store.entries.get(f'chivelead/nodes/{vm}')
    return base64.b64decode(item['value']).decode() if item else ''


async def test_store_that_answers_garbage_stops_nothing():
    async with running('stock') as fleet:
        fleet.store.garbage = True
        fleet.store.forget_history()
        await asyncio.sleep(1)
        assert (await fleet.ask(0, '/read/x'))[0] == 200
        fleet.store.garbage = False
        fleet.store.put(
            'op/config',
            json.dumps(json.loads(make_edit(9, ROUTES, ORGANISATIONS))),
        )
        await until(lambda: fleet.plan_version(0) == 9, 4)


async def test_many_changes_of_entries_cost_few_calls_of_the_store():
    async with running('stock') as fleet:
        before = fleet.store.watches['chivelead/nodes/']
        for number in range(40):
            fleet.store.put(f'chivelead/nodes/other-{number}', '{}')
            await asyncio.sleep(0.05)
        # Two seconds, and one call a second.
        assert fleet.store.watches['chivelead/nodes/'] - before <= 3
