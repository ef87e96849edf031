"""A simulated fleet whose nodes enforce a rate limit by exchanging reports."""

import asyncio
import random

from chivelead_coordination import FleetQuota, FleetRate
from chivelead_protocol import now_ms

SAME_REGION_REPORT_INTERVAL_S = 0.5
CROSS_REGION_REPORT_INTERVAL_S = 1.5
NETWORK_DELAY_S = 0.02
REGION_COUNT = 2
NODE_COUNT = 16


class QuotaFleet:
    """Nodes in two regions that enforce the rate of one organisation.

    The nodes in ``isolated`` exchange no reports; those in ``dead`` receive no
    requests either.
    """

    def __init__(self, rate_per_s, burst):
        """Create all nodes with full token buckets."""
        self.rate = FleetRate(rate_per_s, burst)
        self.nodes = {
            f'node-{number}': FleetQuota() for number in range(NODE_COUNT)
        }
        for quota in self.nodes.values():
            self._add_peers(quota)
        self.isolated = set()
        self.dead = set()
        self.admitted = []
        self.refused = []
        self._random = random.Random(1)
        self._tasks = []

    async def start(self):
        """Start exchanging reports, and wait for the first ones."""
        names = list(self.nodes)
        for index, node in enumerate(names):
            for peer in names[index + 1 :]:
                same_region = region_of(node) == region_of(peer)
                self._tasks.append(
                    asyncio.create_task(
                        self._exchange(
                            node,
                            peer,
                            SAME_REGION_REPORT_INTERVAL_S
                            if same_region
                            else CROSS_REGION_REPORT_INTERVAL_S,
                        ),
                    ),
                )
        await asyncio.sleep(2 * CROSS_REGION_REPORT_INTERVAL_S)

    async def close(self):
        """Stop exchanging reports."""
        for task in self._tasks:
            task.cancel()

    async def offer(self, duration_s, requests_per_s, choose_node):
        """Send requests as a Poisson process and return their number.

        Requests to dead nodes are neither sent nor counted.
        """
        end_ms = now_ms() + duration_s * 1000
        offered = 0
        while now_ms() < end_ms:
            await asyncio.sleep(self._random.expovariate(requests_per_s))
            vm = choose_node(self._random)
            if vm in self.dead:
                continue
            offered += 1
            wait_ms = self.nodes[vm].take('mill')
            (self.refused if wait_ms else self.admitted).append(now_ms())
        return offered

    def restart_all(self):
        """Replace all nodes by new ones, which know no earlier reports."""
        for vm in self.nodes:
            self.nodes[vm] = FleetQuota(first_start=False)
            self._add_peers(self.nodes[vm])

    def max_excess(self):
        """Return the largest excess of admissions over the bound.

        The bound, for any window of 5 s, is a tenth more than the rate and
        burst allow, plus 20 requests; deployments must meet the same bound.
        The result is negative if the admissions stay below the bound.
        """
        allowed = self.rate.rate_per_s * 5 + self.rate.burst_requests
        bound = allowed * 1.1 + 20
        max_count = 0
        end = 0
        for start, start_ms in enumerate(self.admitted):
            while (
                end < len(self.admitted)
                and self.admitted[end] < start_ms + 5000
            ):
                end += 1
            max_count = max(max_count, end - start)
        return max_count - bound

    def _add_peers(self, quota):
        for vm in self.nodes:
            if self.nodes[vm] is not quota:
                quota.add_peer(vm)
        quota.apply({'mill': self.rate})

    async def _exchange(self, node, peer, period_s):
        while True:
            await asyncio.sleep(period_s * (1 + 0.2 * self._random.random()))
            unreachable = {node, peer} & (self.isolated | self.dead)
            if not unreachable:
                await asyncio.sleep(NETWORK_DELAY_S)
                self.nodes[peer].apply_report(node, self.nodes[node].report())
                self.nodes[node].apply_report(peer, self.nodes[peer].report())


def region_of(vm):
    """Return the region of a node."""
    return int(vm.partition('-')[2]) % REGION_COUNT


def random_node(rng):
    """Return the name of a random node."""
    return f'node-{rng.randrange(NODE_COUNT)}'
