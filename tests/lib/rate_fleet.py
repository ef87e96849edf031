"""A simulated fleet of rate limiters that records the admitted calls.

Its nodes use a fake store and a fake network.
"""

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
    """Return configuration documents for one organisation, ``mill``."""
    fleet_lines = ['[fleet]']
    for domain in DOMAINS:
        fleet_lines.append(f'[failure_domain {domain}]')
        fleet_lines.append(f'region = {REGIONS[domain]}')
    return build_document_set(
        1,
        {},
        {
            'fleet': '\n'.join(fleet_lines),
            'organisation/mill': (
                '[organisation]\nname = mill\n'
                f'rate_per_s = {rate_per_s}\nburst_requests = {burst}\n'
            ),
        },
    )


@dataclasses.dataclass
class RateNode:
    """The components of one node that enforce rate limits."""

    membership: Membership
    network: FakeNetwork
    ownership: ShareOwnership
    rates: RateCoordinator
    limiter: object

    async def handle(self, vm, body):
        """Handle a message of another node and return the reply."""
        if isinstance(body, TakeTokens):
            return await self.rates.handle_take_tokens(vm, body)
        if isinstance(body, BorrowUnits):
            return await self.rates.handle_borrow_units(vm, body)
        assert isinstance(body, ReturnUnits)
        return self.rates.handle_return_units(vm, body)


class RateFleet:
    """Nodes in four failure domains, by default four in each."""

    def __init__(self, rate_per_s, burst, limiter_name='shares', per_domain=4):
        """Create and connect the nodes."""
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
                limiter = find_limiter(limiter_name)(membership, network, rates)
                node = RateNode(membership, network, ownership, rates, limiter)
                documents = make_documents(rate_per_s, burst)
                rates.apply(documents)
                limiter.apply(documents)
                handlers[vm] = node.handle
                self.nodes[vm] = node
        self.exchange_members()

    def exchange_members(self):
        """Give every node the membership entries of all nodes."""
        entries = [node.membership.own for node in self.nodes.values()]
        for node in self.nodes.values():
            node.membership.merge(entries)

    async def start(self):
        """Start the nodes and wait until all shares are owned."""
        for node in self.nodes.values():
            await node.ownership.start()
            await node.rates.start()
        for _ in range(60):
            await asyncio.sleep(0.5)
            self.exchange_members()
        owned = sum(len(node.ownership.owned) for node in self.nodes.values())
        assert owned == 64

    async def close(self):
        """Stop all nodes."""
        for node in self.nodes.values():
            await node.ownership.close()
            await node.rates.close()

    async def call(self, vm):
        """Send one call to a node and record whether it is admitted."""
        sent_ms = now_ms()
        if await self.nodes[vm].limiter.take(('mill',)) == 0:
            self.admitted.append(now_ms())
        else:
            self.refused.append(sent_ms)

    async def offer(self, duration_s, load_factor, choose_node, seed=1):
        """Send the calls that a single token bucket would admit.

        The bucket has the rate and burst of the limit.  Calls are generated as
        a Poisson process of ``load_factor`` times the rate; those that the
        bucket would refuse are not sent.  Return the number of calls sent.
        """
        rng = random.Random(seed)
        level, last_s = float(self.burst), 0.0
        start_s = now_ms() / 1000
        tasks = []
        due_s = 0.0
        offered = 0
        while due_s < duration_s:
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
        """Return by how many tokens the admitted calls overdraw a token bucket.

        The bucket has the rate and burst of the limit; zero means that it
        would have admitted every call.
        """
        level, last_ms, worst = float(self.burst), 0.0, 0.0
        for time_ms in sorted(self.admitted):
            accrued = (time_ms - last_ms) * self.rate_per_s / 1000
            level = min(self.burst, level + accrued) - 1
            last_ms = time_ms
            worst = max(worst, -level)
        return worst
