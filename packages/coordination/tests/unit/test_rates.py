"""Rate limits over a fleet: never exceeded, and few calls wrongly refused."""

import asyncio
import random

import pytest
from chivelead_protocol import now_ms
from lib.rate_fleet import DOMAINS, RateFleet

pytestmark = pytest.mark.looptime

# Bounds that the project must meet, as fractions of the calls within the rate.
MAX_REFUSED_FRACTION = 0.005
MAX_REFUSED_FRACTION_UNDER_FAULT = 0.01
MAX_OVERDRAFT = 1e-6


def all_nodes_in_turn(_, number):
    """Send each call to the next node."""
    return f'{DOMAINS[number % 4]}-{number // 4 % 4}'


def single_node(_, number):
    """Send all calls to one node."""
    return 'd2-1'


def moving_domain(due_s, number):
    """Send calls to the next failure domain every five seconds."""
    return f'{DOMAINS[int(due_s / 5) % 4]}-0'


@pytest.mark.parametrize(
    'choose_node', [all_nodes_in_turn, single_node, moving_domain]
)
async def test_requests_within_the_rate_are_admitted(choose_node):
    fleet = RateFleet(rate_per_s=160, burst=80)
    await fleet.start()
    offered = await fleet.offer(12, 0.9, choose_node)
    await fleet.close()
    print(choose_node.__name__, offered, len(fleet.refused), fleet.overdraft())
    assert fleet.overdraft() <= MAX_OVERDRAFT
    assert len(fleet.refused) <= offered * MAX_REFUSED_FRACTION


@pytest.mark.parametrize(
    'choose_node', [all_nodes_in_turn, single_node, moving_domain]
)
async def test_excess_is_refused(choose_node):
    fleet = RateFleet(rate_per_s=40, burst=20)
    await fleet.start()
    rng = random.Random(3)
    start_ms = now_ms()
    tasks = []
    for number in range(10 * 200):
        await asyncio.sleep(rng.expovariate(200))
        vm = choose_node((now_ms() - start_ms) / 1000, number)
        tasks.append(asyncio.create_task(fleet.call(vm)))
    await asyncio.gather(*tasks)
    await fleet.close()
    allowed = 40 * 10 + 20
    print(choose_node.__name__, len(fleet.admitted), allowed, fleet.overdraft())
    assert fleet.overdraft() <= MAX_OVERDRAFT
    assert len(fleet.admitted) >= allowed * 0.9


async def test_store_outage_causes_few_refusals():
    fleet = RateFleet(rate_per_s=160, burst=80)
    await fleet.start()
    fleet.store.down = True
    offered = await fleet.offer(12, 0.9, all_nodes_in_turn)
    await fleet.close()
    assert fleet.overdraft() <= MAX_OVERDRAFT
    assert len(fleet.refused) <= offered * MAX_REFUSED_FRACTION_UNDER_FAULT


async def test_isolated_failure_domain_stays_within_rate():
    fleet = RateFleet(rate_per_s=160, burst=80)
    await fleet.start()

    async def isolate():
        await asyncio.sleep(3)
        for vm, node in fleet.nodes.items():
            node.network.unreachable_vms = {
                other
                for other in fleet.nodes
                if (other[:2] == 'd1') != (vm[:2] == 'd1')
            }
        await asyncio.sleep(6)
        for node in fleet.nodes.values():
            node.network.unreachable_vms = set()

    isolate_task = asyncio.create_task(isolate())
    offered = await fleet.offer(12, 0.9, all_nodes_in_turn)
    await isolate_task
    await fleet.close()
    print('isolated', offered, len(fleet.refused), fleet.overdraft())
    assert fleet.overdraft() <= MAX_OVERDRAFT


async def test_killed_owner_costs_little():
    """Other nodes learn 3 seconds later that an owner of shares was killed."""
    fleet = RateFleet(rate_per_s=160, burst=80)
    await fleet.start()

    async def kill():
        await asyncio.sleep(3)
        victim = fleet.nodes['d2-1']
        await victim.rates.close()
        await victim.ownership.close()
        for node in fleet.nodes.values():
            node.network.unreachable_vms = {'d2-1'}
        await asyncio.sleep(3)
        for node in fleet.nodes.values():
            node.membership.mark_dead('d2-1')

    kill_task = asyncio.create_task(kill())
    offered = await fleet.offer(12, 0.9, lambda _, number: 'd2-0')
    await kill_task
    await fleet.close()
    print('killed', offered, len(fleet.refused), fleet.overdraft())
    assert fleet.overdraft() <= MAX_OVERDRAFT
    assert len(fleet.refused) <= offered * MAX_REFUSED_FRACTION_UNDER_FAULT
