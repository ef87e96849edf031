"""Reports of this node to the relay of its failure domain."""

import asyncio
import logging
import random
from typing import Any

from chivelead_coordination import (
    FleetQuota,
    Membership,
    Network,
    RelayRanking,
    StoreEra,
)
from chivelead_policy import Admission
from chivelead_protocol import (
    ChangePosition,
    ChiveleadError,
    FleetDigest,
    Member,
    MemberNotice,
    NodeReport,
    start_once,
    start_supervised,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.departures import DepartureRecords
from chivelead_node._internal.proxy.domain_relay import DomainRelay
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.plan_feed import PlanFeed
from chivelead_node._internal.target_estimates import TargetEstimates

logger = logging.getLogger(__name__)

_REPORT_PERIOD_S = 0.5
# A relay with many nodes lets them report less often.
_MAX_REPORTS_PER_S = 64.0
# A node of the own failure domain responds within a millisecond.
_REPORT_TIMEOUT_MS = 700.0
# Each period is extended by a random delay of up to this fraction.
_MAX_JITTER = 0.2
# Digests in a row that show a different table before all entries are sent.
_MAX_TABLE_MISMATCHES = 6
# A node that counts as dead may be cut off and go on admitting requests, so it
# keeps its part of the quotas for this long.
_PARTITION_MS = 30_000.0
# Nodes that a relay tells of an urgent change.
_MAX_TOLD = 3
_NO_POSITION = ChangePosition('', 0)


class FleetReporter:
    """Report to the relay periodically, and apply the state that it returns.

    Args:
        membership: Nodes of the fleet.
        network: Links to other nodes.
        relay: Work of this node as a relay; it may be its own.
        ranking: Ranks the nodes as relays.
        quota: Request counts to send and to update.
        plan_feed: Traffic plan in force.
        era: Era of the store to send and to update.
        departures: Receives the departures that the relay still knows.
        admission: Load of the target on this VM.
        estimates: Estimates of the targets; receives the load of other targets.
        overload: Overload and call graph to send and to update.
        events: Event log.
    """

    def __init__(  # noqa: WPS211
        self,
        membership: Membership,
        network: Network,
        relay: DomainRelay,
        ranking: RelayRanking,
        quota: FleetQuota,
        plan_feed: PlanFeed,
        era: StoreEra,
        departures: DepartureRecords,
        admission: Admission,
        estimates: TargetEstimates,
        overload: FleetOverload,
        events: EventLog,
    ) -> None:
        """Create a reporter; nothing is sent yet."""
        self._membership = membership
        self._network = network
        self._relay = relay
        self._ranking = ranking
        self._quota = quota
        self._plan_feed = plan_feed
        self._era = era
        self._departures = departures
        self._admission = admission
        self._estimates = estimates
        self._overload = overload
        self._events = events
        self._position = _NO_POSITION
        # Start of the relay that has the complete counts of this node.
        self._counted_by = ''
        self._relay_vm = ''
        self._table_mismatches = 0
        self._silent_vms: frozenset[str] = frozenset()
        self._report_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Start reporting."""
        task = start_supervised(
            'reports', self._report_forever, self._events.record_task_failure
        )
        self._tasks.add(task)

    async def close(self) -> None:
        """Stop reporting."""
        for task in tuple(self._tasks):
            task.cancel()

    async def leave(self) -> None:
        """Tell the relay that this node stops."""
        self._membership.update_own(alive=False)
        await self.report()

    async def hand_over(self, message: Any) -> None:
        """Send a message to another node, which keeps what it holds.

        It goes to the best relay that responds, of the own failure domain if
        there is another one.
        """
        own = self._membership.own
        others = self._ranking.failure_domains() - {own.failure_domain}
        for failure_domain in (own.failure_domain, *others):
            for vm in self._ranking.candidates(failure_domain):
                if vm != own.vm and await self._send(vm, message):
                    return

    def report_soon(self) -> None:
        """Schedule a report at once, after a change of this node."""
        task = start_once(
            'report', self.report, self._events.record_task_failure
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def report(self) -> None:
        """Report to the best relay that responds."""
        await self._report_to_best()

    async def tell_peers(self) -> bool:
        """Send the entry of this node to its relay, or to those it relays for.

        A relay reports to itself, and the other nodes learn of its changes from
        the replies to their next reports.

        Returns:
            Whether another node responded.
        """
        if await self._report_to_best():
            return True
        own = self._membership.own
        candidates = self._ranking.candidates(own.failure_domain)
        others = [vm for vm in candidates if vm != own.vm]
        return any(await asyncio.gather(*map(self._tell, others[:_MAX_TOLD])))

    async def join_via(self, vm: str) -> bool:
        """Report to a given node; return whether it responded."""
        async with self._report_lock:
            return await self._report_to(vm)

    async def _tell(self, vm: str) -> bool:
        return await self._send(vm, MemberNotice(self._membership.own))

    async def _send(self, vm: str, message: Any) -> bool:
        """Send a message to a node; return whether it responded."""
        try:
            await self._network.request(vm, message, _REPORT_TIMEOUT_MS)
        except ChiveleadError as error:
            logger.debug('telling %s failed: %s', vm, error)
            return False
        return True

    async def _report_forever(self) -> None:
        while True:
            await self.report()
            own = self._membership.own
            members = self._membership.alive_members(own.failure_domain)
            period_s = max(_REPORT_PERIOD_S, len(members) / _MAX_REPORTS_PER_S)
            jitter_s = period_s * _MAX_JITTER * random.random()  # noqa: S311
            await asyncio.sleep(period_s + jitter_s)

    async def _report_to_best(self) -> bool:
        """Report to the best relay; return whether that is another node."""
        async with self._report_lock:
            own = self._membership.own
            candidates = self._ranking.candidates(own.failure_domain)
            if self._relay_vm in candidates[1:]:
                # The former relay may not know the better one yet.
                await self._report_to(self._relay_vm, all_members=True)
            for vm in candidates:
                if await self._report_to(vm):
                    return vm != own.vm
            return False

    async def _report_to(self, vm: str, *, all_members: bool = False) -> bool:
        if vm != self._relay_vm:
            self._position = _NO_POSITION
        report = self._build_report(vm, all_members=all_members)
        if vm == self._membership.own.vm:
            digest = self._relay.handle_report(report)
        else:
            try:
                digest = await self._network.request(
                    vm, report, _REPORT_TIMEOUT_MS
                )
            except ChiveleadError as error:
                logger.debug('report to %s failed: %s', vm, error)
                self._ranking.record_failure(vm)
                return False
            if not isinstance(digest, FleetDigest):
                return False
            self._relay.joined.set()
            self._ranking.record_success(vm)
        if not digest.is_counted:
            self._counted_by = ''
        elif report.counts.is_full:
            self._counted_by = digest.position.boot_id
        self._apply_digest(vm, digest)
        return True

    def _build_report(self, vm: str, *, all_members: bool) -> NodeReport:
        load = self._admission.current_load().load
        is_full = not self._position.boot_id or (
            self._counted_by != self._position.boot_id
        )
        members: tuple[Member, ...] = ()
        if all_members or self._table_mismatches > _MAX_TABLE_MISMATCHES:
            self._table_mismatches = 0
            members = self._membership.all_members()
        return NodeReport(
            member=self._membership.own,
            members=members,
            plan_version=self._plan_feed.current.version,
            plan_age_ms=self._plan_feed.age_ms(),
            store_era=self._era.number,
            counts=self._quota.report(is_full=is_full),
            fan_outs=self._overload.own_fan_outs(),
            shed_fraction=self._overload.update_own_shed_fraction(load),
            load=load,
            position=(
                _NO_POSITION
                if self._quota.needs_full_report
                else self._position
            ),
            departures=self._membership.former_departures.find(vm),
        )

    def _apply_digest(self, vm: str, digest: FleetDigest) -> None:
        if vm != self._relay_vm:
            self._events.record_node_event(
                'relay-chosen',
                relay=vm,
                before=self._relay_vm,
                nodes=self._membership.count_alive(),
                heard=digest.heard_count,
            )
            self._relay_vm = vm
        own_vm = self._membership.own.vm
        if vm != own_vm:
            self._membership.merge(digest.members)
        self._position = digest.position
        is_equal = digest.table_digest == self._membership.digest
        self._table_mismatches = 0 if is_equal else self._table_mismatches + 1
        self._quota.apply_digest(
            digest.position.boot_id,
            digest.counts,
            node_count=self._membership.count_alive_within(_PARTITION_MS),
            heard_count=digest.heard_count,
            is_settled=digest.is_settled,
        )
        self._overload.apply_digest(digest)
        for target in digest.busy_targets:
            if target.vm != own_vm:
                self._estimates.record_load(target.vm, target.load)
        self._record_silent(vm, digest.silent_vms)
        self._era.observe(digest.store_era, vm)
        self._departures.restore_from_peer(vm, digest.departures)
        self._relay.record_plan_age(digest.plan_age_ms)
        self._plan_feed.pull_if_newer(vm, digest.plan_version)

    def _record_silent(
        self, relay_vm: str, silent_vms: tuple[str, ...]
    ) -> None:
        if self._silent_vms != frozenset(silent_vms):
            self._silent_vms = frozenset(silent_vms)
            self._events.record_node_event(
                'silent-nodes',
                silent=','.join(sorted(self._silent_vms)),
                relay=relay_vm,
            )
        self._estimates.record_silent(self._silent_vms)
