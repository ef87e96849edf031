"""State of the fleet, combined by the relays of the failure domains.

Each node reports to the relay of its failure domain.  A relay combines the
reports of its nodes into one digest, exchanges it with the relays of the other
failure domains, and replies to each report with the state of the fleet.  The
cost for a node thus does not grow with the fleet.
"""

import dataclasses
import math

from chivelead_protocol import (
    ChangePosition,
    DomainDigest,
    FleetDigest,
    NodeReport,
    loop_ms,
)

from chivelead_coordination._internal.count_tally import (
    SILENT_AFTER_MS,
    CountTally,
)
from chivelead_coordination._internal.load_sums import (
    CombinedState,
    combine_reports,
    merge_states,
)
from chivelead_coordination._internal.member_changes import MemberChanges
from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.relay_ranking import RelayRanking
from chivelead_coordination._internal.store_era import StoreEra

# Reports arrive about every 0.5 s.  Older ones no longer describe the load.
_REPORT_MAX_AGE_MS = 3000.0
# Only then is a silent node checked, and perhaps taken for dead.
_OVERDUE_AFTER_MS = 3000.0
# After a start of the whole fleet, relays have found each other by then.
_SETTLING_MS = 3000.0
# The digest of a relay that was replaced is dropped after this time.
_REPLACED_RELAY_MS = 4000.0
# The combined state is the same for all nodes that report within this time.
_CACHE_MAX_AGE_MS = 100.0

_NO_POSITION = ChangePosition('', 0)


@dataclasses.dataclass(frozen=True)
class _NodeState:
    """Last report of a node, and when it arrived."""

    report: NodeReport
    heard_ms: float


@dataclasses.dataclass(frozen=True)
class _RelayState:
    """Last digest of another relay, and when it arrived.

    Attributes:
        acknowledged: Changes of this relay that the other one has received.
    """

    failure_domain: str
    digest: DomainDigest
    heard_ms: float
    acknowledged: ChangePosition


class FleetAggregate:
    """Combine the reports that reach this node while it is a relay.

    Args:
        membership: Nodes of the fleet; updated from reports and digests.
        ranking: Ranks the nodes as relays; one of its own by default.
        era: Era of the store; updated from reports and digests.
    """

    def __init__(
        self,
        membership: Membership,
        ranking: RelayRanking | None = None,
        era: StoreEra | None = None,
    ) -> None:
        """Create an aggregate without reports."""
        self._membership = membership
        self._ranking = ranking or RelayRanking(membership)
        self._era = era or StoreEra()
        self._changes = MemberChanges(membership)
        self._nodes: dict[str, _NodeState] = {}
        self._relays: dict[str, _RelayState] = {}
        self._domain_tally = CountTally()
        self._fleet_tally = CountTally()
        self._started_ms = loop_ms()
        # When each expected node was last known to be alive.
        self._expected_since_ms: dict[str, float] = {}
        self._fleet_state: tuple[float, CombinedState] | None = None

    @property
    def has_reporting_nodes(self) -> bool:
        """Return whether nodes other than this one have reported of late."""
        own_vm = self._membership.own.vm
        oldest_ms = loop_ms() - _REPORT_MAX_AGE_MS
        return any(
            state.heard_ms >= oldest_ms
            for vm, state in self._nodes.items()
            if vm != own_vm
        )

    @property
    def is_in_touch(self) -> bool:
        """Return whether this node may judge that others have failed.

        If more nodes are overdue than nodes and relays have been heard, it is
        this node that is cut off.
        """
        return len(self.overdue_vms()) <= self._count_heard()

    def apply_report(self, report: NodeReport) -> None:
        """Apply the report of a node."""
        member = report.member
        self._era.observe(report.store_era, member.vm)
        known = self._membership.find(member.vm)
        # A node that counts as dead first has to learn that: it then raises
        # its incarnation, and all relays accept its new entry.
        if known is None or known.alive or member.rank > known.rank:
            self._membership.merge_self_reported(member)
        self._membership.merge(report.members)
        self._nodes[member.vm] = _NodeState(report, loop_ms())
        self._expected_since_ms.pop(member.vm, None)
        for tally in (self._domain_tally, self._fleet_tally):
            tally.apply(member.vm, member.boot_id, report.counts)

    def make_fleet_digest(
        self, report: NodeReport, *, own_plan_age_ms: float = math.inf
    ) -> FleetDigest:
        """Return the reply to the report of a node.

        Args:
            report: The report.
            own_plan_age_ms: Time since this relay read or watched the plan in
                the store.
        """
        vm = report.member.vm
        members, position = self._changes.since(report.position)
        known = self._membership.find(vm)
        if known is not None and not known.alive and known not in members:
            members = (*members, known)
        self._fleet_tally.note_silent_sources()
        state = self._combine_fleet()
        return FleetDigest(
            position=position,
            members=members,
            table_digest=self._membership.digest,
            plan_version=state.plan_version,
            plan_age_ms=min(own_plan_age_ms, self._plan_age_before_ms(vm)),
            store_era=self._era.number,
            heard_count=state.heard_count,
            is_settled=loop_ms() - self._started_ms > _SETTLING_MS,
            is_counted=self._fleet_tally.is_known(vm, report.member.boot_id),
            counts=self._fleet_tally.report(
                vm,
                is_full=report.position.boot_id != self._changes.boot_id,
            ),
            sheddings=state.sheddings,
            fan_outs=state.fan_outs,
            busy_targets=state.busy_targets,
            silent_vms=state.silent_vms,
            departures=self._membership.former_departures.find(vm),
        )

    def apply_domain_digest(self, vm: str, digest: DomainDigest) -> None:
        """Apply the digest of another relay."""
        self._era.observe(digest.store_era, vm)
        self._membership.merge(digest.members)
        sender = self._membership.find(vm)
        failure_domain = sender.failure_domain if sender else ''
        self._forget_replaced_relays(vm, failure_domain)
        self._fleet_tally.apply(
            _relay_source(vm), digest.position.boot_id, digest.counts
        )
        self._relays[vm] = _RelayState(
            failure_domain, digest, loop_ms(), digest.received
        )

    def make_domain_digest(self, vm: str) -> DomainDigest:
        """Return the state of the nodes that report here, for a relay."""
        relay = self._relays.get(vm)
        acknowledged = relay.acknowledged if relay else _NO_POSITION
        received = relay.digest.position if relay else _NO_POSITION
        if not self._fleet_tally.is_known(_relay_source(vm), received.boot_id):
            # Asks the other relay for complete counts.
            received = _NO_POSITION
        own_domain = self._membership.own.failure_domain
        members, position = self._changes.since(acknowledged, own_domain)
        self._domain_tally.note_silent_sources()
        state = self._combine_nodes()
        return DomainDigest(
            position=position,
            received=received,
            members=members,
            plan_version=state.plan_version,
            store_era=self._era.number,
            heard_count=state.heard_count,
            counts=self._domain_tally.report(
                is_full=acknowledged.boot_id != self._changes.boot_id
            ),
            sheddings=state.sheddings,
            fan_outs=state.fan_outs,
            busy_targets=state.busy_targets,
            silent_vms=state.silent_vms,
            departures=self._membership.former_departures.find(vm),
        )

    def relay_heard_ms(self, vm: str) -> float:
        """Return when the last digest of a relay arrived, or infinity ago."""
        relay = self._relays.get(vm)
        return relay.heard_ms if relay else float('-inf')

    def overdue_vms(self) -> list[str]:
        """Return the nodes of this failure domain that should have reported."""
        time_ms = loop_ms()
        own = self._membership.own
        overdue = []
        for member in self._membership.alive_members(own.failure_domain):
            state = self._nodes.get(member.vm)
            alive_ms = (
                state.heard_ms
                if state
                else self._expected_since_ms.setdefault(member.vm, time_ms)
            )
            if member.vm != own.vm and alive_ms < time_ms - _OVERDUE_AFTER_MS:
                overdue.append(member.vm)
        return overdue

    def expect_again(self, vm: str) -> None:
        """Note that an overdue node is alive: it reports to another relay."""
        self._nodes.pop(vm, None)
        self._expected_since_ms[vm] = loop_ms()
        self._forget_counts(vm)

    def remove(self, vm: str) -> None:
        """Remove a node that is gone, and mark its entry as dead."""
        self._nodes.pop(vm, None)
        self._expected_since_ms.pop(vm, None)
        self._forget_counts(vm)
        self._membership.mark_dead(vm)

    def reset_expectations(self) -> None:
        """Start waiting for all nodes anew, as when this node becomes relay."""
        self._expected_since_ms.clear()
        cutoff_ms = loop_ms() - _OVERDUE_AFTER_MS
        for vm, state in tuple(self._nodes.items()):
            if state.heard_ms < cutoff_ms:
                self._nodes.pop(vm)
                self._forget_counts(vm)

    def _plan_age_before_ms(self, vm: str) -> float:
        """Return the least age of the plan at the nodes that rank before."""
        time_ms = loop_ms()
        age_ms = math.inf
        own = self._membership.own
        for other in self._ranking.ranked(own.failure_domain):
            if other == vm:
                break
            state = self._nodes.get(other)
            # The relay knows its own age better than from its last report.
            if state is not None and other != own.vm:
                since_report_ms = time_ms - state.heard_ms
                age_ms = min(age_ms, state.report.plan_age_ms + since_report_ms)
        return age_ms

    def _forget_counts(self, vm: str) -> None:
        self._domain_tally.forget(vm)
        self._fleet_tally.forget(vm)

    def _forget_replaced_relays(self, vm: str, failure_domain: str) -> None:
        cutoff_ms = loop_ms() - _REPLACED_RELAY_MS
        for other, relay in tuple(self._relays.items()):
            if (
                other != vm
                and relay.failure_domain == failure_domain
                and relay.heard_ms < cutoff_ms
            ):
                self._relays.pop(other)
                self._fleet_tally.forget(_relay_source(other))

    def _count_heard(self) -> int:
        cutoff_ms = loop_ms() - SILENT_AFTER_MS
        own_vm = self._membership.own.vm
        nodes = sum(
            state.heard_ms >= cutoff_ms
            for vm, state in self._nodes.items()
            if vm != own_vm
        )
        relays = sum(
            relay.heard_ms >= cutoff_ms for relay in self._relays.values()
        )
        return nodes + relays

    def _count_heard_nodes(self) -> int:
        """Return how many nodes were heard, here or by other relays."""
        cutoff_ms = loop_ms() - SILENT_AFTER_MS
        own_nodes = sum(
            state.heard_ms >= cutoff_ms for state in self._nodes.values()
        )
        return own_nodes + sum(
            relay.digest.heard_count
            for relay in self._relays.values()
            if relay.heard_ms >= cutoff_ms
        )

    def _combine_fleet(self) -> CombinedState:
        cached = self._fleet_state
        time_ms = loop_ms()
        if cached is not None and time_ms - cached[0] < _CACHE_MAX_AGE_MS:
            return cached[1]
        oldest_ms = time_ms - _REPORT_MAX_AGE_MS
        parts: list[CombinedState | DomainDigest] = [self._combine_nodes()]
        parts.extend(
            relay.digest
            for relay in self._relays.values()
            if relay.heard_ms >= oldest_ms
        )
        state = dataclasses.replace(
            merge_states(parts), heard_count=self._count_heard_nodes()
        )
        self._fleet_state = (time_ms, state)
        return state

    def _combine_nodes(self) -> CombinedState:
        """Combine the reports of the nodes that report to this relay."""
        time_ms = loop_ms()
        reports = [
            state.report
            for state in self._nodes.values()
            if state.heard_ms >= time_ms - _REPORT_MAX_AGE_MS
        ]
        silent_cutoff_ms = time_ms - SILENT_AFTER_MS
        silent_vms = tuple(
            vm
            for vm, state in self._nodes.items()
            if state.heard_ms < silent_cutoff_ms
        )
        return combine_reports(
            reports,
            # Nodes that no longer report to a former relay may have moved.
            silent_vms if self._ranking.is_first else (),
            heard_count=(len(self._nodes) - len(silent_vms)),
        )


def _relay_source(vm: str) -> str:
    """Return the source of the counts of a relay.

    A former relay reports its own counts as a node, and still exchanges those
    of its domain: these are two sources.
    """
    return f'relay {vm}'
