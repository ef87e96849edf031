"""Rates over a fleet on fakes: never over, and few refused wrongly."""

import asyncio
import random

import pytest
from chivelead_protocol import now_ms
from lib.rate_fleet import DOMAINS, RateFleet

pytestmark = pytest.mark.looptime

# Targets of the project, in parts of the requests within the rate.
WRONGFUL_MOST = 0.005
WRONGFUL_MOST_UNDER_A_FAULT = 0.01
OVERDRAFT_MOST = 1e-6


def spread(_, number):
    """Enter at all nodes in turn."""
    return f'{DOMAINS[number % 4]}-{number // 4 % 4}'


def one_entry(_, number):
    """Enter at one node only."""
    return 'd2-1'


def moving(due_s, number):
    """Enter at another failure domain every five seconds."""
    return f'{DOMAINS[int(due_s / 5) % 4]}-0'


@pytest.mark.parametrize('choose', [spread, one_entry, moving])
async def test_requests_within_the_rate_are_admitted(choose):
    fleet = RateFleet(rate_per_s=160, burst=80)
    await fleet.start()
    offered = await fleet.offer(12, 0.9, choose)
    await fleet.close()
    print(choose.__name__, offered, len(fleet.refused), fleet.overdraft())
    assert fleet.overdraft() <= OVERDRAFT_MOST
    assert len(fleet.refused) <= offered * WRONGFUL_MOST


@pytest.mark.parametrize('choose', [spread, one_entry, moving])
async def test_excess_is_refused(choose):
    fleet = RateFleet(rate_per_s=40, burst=20)
    await fleet.start()
    rng = random.Random(3)
    start_ms = now_ms()
    tasks = []
    for number in range(10 * 200):
        await asyncio.sleep(rng.expovariate(200))
        vm = choose((now_ms() - start_ms) / 1000, number)
        tasks.append(asyncio.create_task(fleet.call(vm)))
    await asyncio.gather(*tasks)
    await fleet.close()
    due = 40 * 10 + 20
    print(choose.__name__, len(fleet.admitted), due, fleet.overdraft())
    assert fleet.overdraft() <= OVERDRAFT_MOST
    assert len(fleet.admitted) >= due * 0.9


async def test_store_outage_changes_nothing():
    fleet = RateFleet(rate_per_s=160, burst=80)
    await fleet.start()
    fleet.store.down = True
    offered = await fleet.offer(12, 0.9, spread)
    await fleet.close()
    assert fleet.overdraft() <= OVERDRAFT_MOST
    assert len(fleet.refused) <= offered * WRONGFUL_MOST_UNDER_A_FAULT


async def test_cut_failure_domain_stays_inside_the_rate():
    fleet = RateFleet(rate_per_s=160, burst=80)
    await fleet.start()

    async def cut():
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

    cutting = asyncio.create_task(cut())
    offered = await fleet.offer(12, 0.9, spread)
    await cutting
    await fleet.close()
    print('cut', offered, len(fleet.refused), fleet.overdraft())
    assert fleet.overdraft() <= OVERDRAFT_MOST


async def test_killed_owner_costs_little():
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

    killing = asyncio.create_task(kill())
    offered = await fleet.offer(12, 0.9, lambda _, number: 'd2-0')
    await killing
    await fleet.close()
    print('killed', offered, len(fleet.refused), fleet.overdraft())
    assert fleet.overdraft() <= OVERDRAFT_MOST
    assert len(fleet.refused) <= offered * WRONGFUL_MOST_UNDER_A_FAULT
