"""Work of a node as the relay of its failure domain."""

import asyncio
import functools
import logging
import random

from chivelead_coordination import (
    FleetAggregate,
    Membership,
    Network,
    RelayRanking,
)
from chivelead_protocol import (
    ChiveleadError,
    DomainDigest,
    FleetDigest,
    NodeReport,
    now_ms,
    start_supervised,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.departures import DepartureRecords
from chivelead_node._internal.proxy.plan_feed import PlanFeed
from chivelead_node._internal.proxy.plan_watch_role import PlanWatchRole

logger = logging.getLogger(__name__)

# Traffic between regions is billed by the byte.
_OWN_REGION_PERIOD_S = 0.5
_OTHER_REGION_PERIOD_S = 1.0
# An exchange is skipped if the other relay started one within this fraction of
# the period.
_SKIP_FRACTION = 0.9
_RELAY_CHECK_PERIOD_S = 0.1
_SILENCE_CHECK_PERIOD_S = 0.5
_EXCHANGE_TIMEOUT_MS = 1000.0
# Each period is extended by a random delay of up to this fraction.
_MAX_JITTER = 0.2
# An overdue node is gone after this many failed checks in a row.
_FAILED_CHECKS_UNTIL_GONE = 2
_MS_PER_S = 1000


class DomainRelay:
    """Exchange digests with other relays, and check silent nodes.

    A node is a relay while it ranks first in its failure domain, or while other
    nodes report to it.

    Args:
        membership: Nodes of the fleet.
        network: Links to other nodes.
        aggregate: Reports that reach this node.
        ranking: Ranks the nodes as relays.
        plan_feed: Traffic plan in force.
        departures: Receives the departures that other relays still know.
        events: Event log.

    Attributes:
        joined: Set once this node has reached another one or founds the fleet.
    """

    def __init__(  # noqa: WPS211
        self,
        membership: Membership,
        network: Network,
        aggregate: FleetAggregate,
        ranking: RelayRanking,
        plan_feed: PlanFeed,
        departures: DepartureRecords,
        events: EventLog,
    ) -> None:
        """Create a relay; nothing is sent yet."""
        self.joined = asyncio.Event()
        self._membership = membership
        self._network = network
        self._aggregate = aggregate
        self._ranking = ranking
        self._plan_feed = plan_feed
        self._departures = departures
        self._events = events
        self._plan_watch_role = PlanWatchRole(ranking, plan_feed, events)
        self._is_active = False
        self._tasks: list[asyncio.Task[None]] = []
        self._domain_tasks: dict[str, asyncio.Task[None]] = {}
        self._failed_checks: dict[str, int] = {}

    async def start(self) -> None:
        """Start the tasks; they are idle while this node is no relay."""
        record_failure = self._events.record_task_failure
        self._tasks = [
            start_supervised(
                'relay-exchange', self._exchange_digests_forever, record_failure
            ),
            start_supervised(
                'relay-check', self._check_silent_forever, record_failure
            ),
        ]

    async def close(self) -> None:
        """Stop all tasks."""
        for task in (*self._tasks, *self._domain_tasks.values()):
            task.cancel()

    def should_watch_plan(self) -> bool:
        """Return whether this node watches the plan for its failure domain."""
        return self.joined.is_set() and self._plan_watch_role.should_watch()

    def record_plan_age(self, plan_age_ms: float) -> None:
        """Record the least age of the plan at nodes that rank before this."""
        self._plan_watch_role.record_age(plan_age_ms)

    def is_relay(self) -> bool:
        """Return whether this node relays state for its failure domain."""
        return self._ranking.is_first or self._aggregate.has_reporting_nodes

    def handle_report(self, report: NodeReport) -> FleetDigest:
        """Apply the report of a node and return the state of the fleet."""
        if report.member.vm != self._membership.own.vm:
            self.joined.set()
        self._aggregate.apply_report(report)
        self._departures.restore_from_peer(report.member.vm, report.departures)
        self._plan_feed.pull_if_newer(report.member.vm, report.plan_version)
        return self._aggregate.make_fleet_digest(
            report, own_plan_age_ms=self._plan_feed.age_ms()
        )

    def handle_domain_digest(
        self, vm: str, digest: DomainDigest
    ) -> DomainDigest:
        """Apply the digest of another relay and return that of this node."""
        self.joined.set()
        self._apply_domain_digest(vm, digest)
        return self._aggregate.make_domain_digest(vm)

    async def exchange_with(self, vm: str) -> bool:
        """Exchange digests with a relay; return whether it responded."""
        try:
            reply = await self._network.request(
                vm,
                self._aggregate.make_domain_digest(vm),
                _EXCHANGE_TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('digest for %s failed: %s', vm, error)
            self._ranking.record_failure(vm)
            return False
        if not isinstance(reply, DomainDigest):
            return False
        self._ranking.record_success(vm)
        self.joined.set()
        self._apply_domain_digest(vm, reply)
        return True

    def _apply_domain_digest(self, vm: str, digest: DomainDigest) -> None:
        self._aggregate.apply_domain_digest(vm, digest)
        self._departures.restore_from_peer(vm, digest.departures)
        self._plan_feed.pull_if_newer(vm, digest.plan_version)

    async def _exchange_digests_forever(self) -> None:
        while True:
            await asyncio.sleep(_RELAY_CHECK_PERIOD_S)
            is_relay = self.is_relay()
            if is_relay != self._is_active:
                self._is_active = is_relay
                self._aggregate.reset_expectations()
                self._events.record_node_event(
                    'relay-started' if is_relay else 'relay-ended',
                    failure_domain=self._membership.own.failure_domain,
                    first=self._ranking.is_first,
                )
            if is_relay:
                self._start_exchanges()

    def _start_exchanges(self) -> None:
        own = self._membership.own
        for failure_domain in self._ranking.failure_domains():
            task = self._domain_tasks.get(failure_domain)
            if task is not None and not task.done():
                continue
            if failure_domain == own.failure_domain and self._ranking.is_first:
                continue
            self._domain_tasks[failure_domain] = start_supervised(
                f'relay-exchange-{failure_domain}',
                functools.partial(self._exchange_with_domain, failure_domain),
                self._events.record_task_failure,
            )

    async def _exchange_with_domain(self, failure_domain: str) -> None:
        """Exchange digests with the relay of a domain, then wait a period."""
        own = self._membership.own
        vm = self._ranking.candidates(failure_domain)[0]
        member = self._membership.find(vm)
        period_s = (
            _OWN_REGION_PERIOD_S
            if member is not None and member.region == own.region
            else _OTHER_REGION_PERIOD_S
        )
        since_heard_ms = now_ms() - self._aggregate.relay_heard_ms(vm)
        if (
            vm != own.vm
            and since_heard_ms > period_s * _SKIP_FRACTION * _MS_PER_S
        ):
            await self.exchange_with(vm)
        jitter_s = period_s * _MAX_JITTER * random.random()  # noqa: S311
        await asyncio.sleep(period_s + jitter_s)

    async def _check_silent_forever(self) -> None:
        while True:
            await asyncio.sleep(_SILENCE_CHECK_PERIOD_S)
            if self._is_active:
                await asyncio.gather(
                    *map(self._check_overdue, self._aggregate.overdue_vms())
                )

    async def _check_overdue(self, vm: str) -> None:
        """Contact an overdue node; remove it if it does not respond.

        A node that lives, but reports elsewhere, learns of this relay.
        """
        if await self.exchange_with(vm):
            self._failed_checks.pop(vm, None)
            self._aggregate.expect_again(vm)
            return
        failed = self._failed_checks.get(vm, 0) + 1
        self._failed_checks[vm] = failed
        if failed >= _FAILED_CHECKS_UNTIL_GONE and self._aggregate.is_in_touch:
            self._failed_checks.pop(vm)
            self._events.record_node_event(
                'node-gone', peer=vm, failed_checks=failed
            )
            self._aggregate.remove(vm)
