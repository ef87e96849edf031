"""Several nodes' rate parts on fakes, with checks of what they admit."""

import asyncio
import dataclasses
import random
import types

from chivelead_config import build_document_set
from chivelead_coordination import (
    Membership,
    RateCoordinator,
    ShareOwnership,
    find_limiter,
)
from chivelead_protocol import (
    BorrowUnits,
    ReturnUnits,
    TakeTokens,
    now_ms,
)

from lib.fakes import FakeNetwork, FakeStore, make_member

DOMAINS = ('d1', 'd2', 'd3', 'd4')
REGIONS = types.MappingProxyType(
    {'d1': 'north', 'd2': 'north', 'd3': 'south', 'd4': 'south'}
)


def make_documents(rate_per_s, burst):
    """Return documents with one organisation."""
    fleet = ['[fleet]']
    for domain in DOMAINS:
        fleet.append(f'[failure_domain {domain}]')
        fleet.append(f'region = {REGIONS[domain]}')
    return build_document_set(
        1,
        {},
        {
            'fleet': '\n'.join(fleet),
            'organisation/mill': (
                '[organisation]\nname = mill\n'
                f'rate_per_s = {rate_per_s}\nburst_requests = {burst}\n'
            ),
        },
    )


@dataclasses.dataclass
class RateNode:
    """The rate parts of one node."""

    membership: Membership
    network: FakeNetwork
    ownership: ShareOwnership
    rates: RateCoordinator
    limiter: object

    async def answer(self, vm, body):
        """Answer a message of another node."""
        if isinstance(body, TakeTokens):
            return await self.rates.handle_take_tokens(vm, body)
        if isinstance(body, BorrowUnits):
            return await self.rates.handle_borrow_units(vm, body)
        assert isinstance(body, ReturnUnits)
        return self.rates.handle_return_units(vm, body)


class RateFleet:
    """Four nodes in each of four failure domains."""

    def __init__(self, rate_per_s, burst, policy='shares', per_domain=4):
        """Wire the nodes."""
        self.store = FakeStore()
        self.nodes = {}
        self.admitted = []
        self.refused = []
        self.rate_per_s = rate_per_s
        self.burst = burst
        handlers = {}
        for domain in DOMAINS:
            for number in range(per_domain):
                vm = f'{domain}-{number}'
                membership = Membership(
                    make_member(
                        vm,
                        failure_domain=domain,
                        region=REGIONS[domain],
                    ),
                )
                network = FakeNetwork(vm, handlers)
                ownership = ShareOwnership(membership, self.store, 7200)
                ownership.failure_domains = DOMAINS
                rates = RateCoordinator(membership, network, ownership)
                limiter = find_limiter(policy)(membership, network, rates)
                node = RateNode(membership, network, ownership, rates, limiter)
                documents = make_documents(rate_per_s, burst)
                rates.apply(documents)
                limiter.apply(documents)
                handlers[vm] = node.answer
                self.nodes[vm] = node
        self.exchange_members()

    def exchange_members(self):
        """Let every node know every other."""
        entries = [node.membership.own for node in self.nodes.values()]
        for node in self.nodes.values():
            node.membership.merge(entries)

    async def start(self):
        """Start, and wait until all shares are owned."""
        for node in self.nodes.values():
            await node.ownership.start()
            await node.rates.start()
        for _ in range(60):
            await asyncio.sleep(0.5)
            self.exchange_members()
        owned = sum(len(node.ownership.owned) for node in self.nodes.values())
        assert owned == 64

    async def close(self):
        """Stop all."""
        for node in self.nodes.values():
            await node.ownership.close()
            await node.rates.close()

    async def call(self, vm):
        """Try one call at an entry."""
        sent_ms = now_ms()
        if await self.nodes[vm].limiter.take(('mill',)) == 0:
            self.admitted.append(now_ms())
        else:
            self.refused.append(sent_ms)

    async def offer(self, seconds, load_factor, choose_node, seed=1):
        """Offer what an ideal bucket admits of Poisson traffic."""
        rng = random.Random(seed)
        level, last_s = float(self.burst), 0.0
        start_s = now_ms() / 1000
        tasks = []
        due_s = 0.0
        offered = 0
        while due_s < seconds:
            due_s += rng.expovariate(self.rate_per_s * load_factor)
            accrued = (due_s - last_s) * self.rate_per_s
            level, last_s = min(self.burst, level + accrued), due_s
            if level < 1:
                continue
            level -= 1
            await asyncio.sleep(max(0, start_s + due_s - now_ms() / 1000))
            offered += 1
            vm = choose_node(due_s, offered)
            tasks.append(asyncio.create_task(self.call(vm)))
        await asyncio.gather(*tasks)
        return offered

    def overdraft(self):
        """Return by how much an ideal bucket would have been overdrawn."""
        level, last_ms, worst = float(self.burst), 0.0, 0.0
        for time_ms in sorted(self.admitted):
            accrued = (time_ms - last_ms) * self.rate_per_s / 1000
            level = min(self.burst, level + accrued) - 1
            last_ms = time_ms
            worst = max(worst, -level)
        return worst
