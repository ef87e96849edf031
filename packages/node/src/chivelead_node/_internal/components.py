"""Construction and wiring of the components of a node."""

import dataclasses

from chivelead_config import DocumentSet, Settings
from chivelead_coordination import (
    DocumentDistributor,
    GossipTask,
    GuardClient,
    HttpStore,
    KeyGuard,
    Membership,
    RateCoordinator,
    RelayElection,
    ShareOwnership,
    find_limiter,
    limiter_names,
)
from chivelead_policy import LIMITS, QUEUES, RETRIES, ROUTERS, Admission
from chivelead_protocol import (
    ConfigurationError,
    HybridClock,
    Member,
    TargetState,
    now_ms,
)

from chivelead_node._internal.dialects import ChiveleadDialect
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.former_ends import FormerEnds
from chivelead_node._internal.inbound import InboundCalls
from chivelead_node._internal.ingress import HttpIngress
from chivelead_node._internal.links import LinkPool
from chivelead_node._internal.memory_budget import MemoryBudget
from chivelead_node._internal.metrics import StatsdMetrics
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.request_ends import RequestEnds
from chivelead_node._internal.target_estimates import TargetEstimates
from chivelead_node._internal.targets import Announcement, LocalTarget

_MS_PER_S = 1000
_ANNOUNCEMENT_TIMEOUT_MS = 5000
_SEED_BITS = 32
_HEX_BASE = 16
_BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True)
class Components:
    """The components of a node, and operations that span several of them."""

    settings: Settings
    clock: HybridClock
    events: EventLog
    metrics: StatsdMetrics
    ends: RequestEnds
    former_ends: FormerEnds
    memory: MemoryBudget
    membership: Membership
    links: LinkPool
    store: HttpStore
    gossip: GossipTask
    distributor: DocumentDistributor
    relay: RelayElection
    ownership: ShareOwnership
    rates: RateCoordinator
    guard: KeyGuard
    target: LocalTarget
    admission: Admission
    inbound: InboundCalls
    ingress: HttpIngress

    def apply_documents(self, documents: DocumentSet) -> None:
        """Apply a new version of the configuration documents."""
        fleet = documents.fleet
        self.ownership.failure_domains = tuple(
            name for name, _ in fleet.failure_domains
        )
        self.guard.window_ms = fleet.section.idempotency_window_s * _MS_PER_S
        self.rates.apply(documents)
        self.ingress.apply(documents)
        self.events.record_node_event(
            'documents-in-force', version=documents.version
        )

    async def apply_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement from the target."""
        await self.target.apply_announcement(announcement)
        self.admission.update_slots(announcement.slots)
        self.publish_target()

    def publish_target(self) -> None:
        """Update the target state that this node publishes to the fleet.

        A target that stops sending announcements is published as gone.
        """
        announcement = self.target.announcement
        if announcement is None:
            return
        state = announcement.state
        if self.inbound.draining:
            state = TargetState.draining
        elif (
            now_ms() - self.target.last_announced_ms > _ANNOUNCEMENT_TIMEOUT_MS
        ):
            state = TargetState.gone
        previous_state = self.membership.own.target_state
        self.membership.update_own(
            service=announcement.service,
            target_state=str(state),
            target_slots=announcement.slots,
            target_connections=announcement.connections,
        )
        if previous_state != state:
            self.events.record_node_event(
                'target-state', state=state, before=previous_state
            )

    def set_draining(self, *, draining: bool) -> None:
        """Stop or resume sending new calls to the target."""
        self.inbound.draining = draining
        self.publish_target()

    def update_staleness(self) -> None:
        """Mark the documents stale if the platform has been silent too long."""
        documents = self.distributor.current
        limit_s = documents.fleet.section.staleness_limit_s
        silent_ms = now_ms() - self.distributor.platform_heard_ms
        self.ingress.has_stale_documents = silent_ms > limit_s * _MS_PER_S

    def status_fields(self) -> tuple[tuple[str, str], ...]:
        """Return the state of this node as name and value pairs."""
        admission_load = self.admission.current_load()
        confirmed = ' '.join(
            f'{vm}={version}'
            for vm, version in sorted(self.distributor.confirmed.items())
        )
        since_heard_ms = now_ms() - self.distributor.platform_heard_ms
        fields = [
            ('config_version', str(self.distributor.current.version)),
            ('confirmed', confirmed),
            ('in_flight', str(self.inbound.in_flight)),
            ('load', f'{admission_load.load:.2f}'),
            ('shed_level', f'{admission_load.shed_level:.2f}'),
            ('platform_heard_ms', f'{since_heard_ms:.0f}'),
            ('bytes_sent', str(self.links.bytes_sent)),
            ('unanswered', self.ends.describe()),
            ('unanswered_before', self.former_ends.describe()),
        ]
        return tuple(fields)


def build_components(settings: Settings, boot_id: str) -> Components:
    """Create the components of a node without starting them.

    Raises:
        ConfigurationError: A policy in the settings is not registered.
    """
    node = settings.node
    clock = HybridClock()
    events = EventLog(
        node.vm,
        clock,
        settings.log.events_kept,
        log_calls=settings.log.log_calls,
    )
    metrics = StatsdMetrics(settings)
    ends = RequestEnds(events, metrics)
    membership = Membership(_initial_member(settings, boot_id))
    memory = MemoryBudget(settings.limits.memory_limit_mb * _BYTES_PER_MB)
    links = LinkPool(membership, node.fleet_secret.encode(), clock, memory)
    store = HttpStore(settings.store.url, settings.store.timeout_ms)
    gossip = GossipTask(membership, links)
    ownership = ShareOwnership(
        membership,
        store,
        settings.store.share_lease_s,
    )
    rates = RateCoordinator(membership, links, ownership)
    guard = KeyGuard(ownership, settings.store.share_lease_s)
    target = LocalTarget(settings.limits.body_limit_bytes, memory)
    admission = Admission(
        LIMITS.find(settings.policy.admission)(),
        QUEUES.find(settings.policy.queue)(),
        shed_late=settings.policy.queue != 'fifo',
    )
    inbound = InboundCalls(
        target,
        admission,
        events,
        metrics,
        ChiveleadDialect(),
    )
    seed = int(boot_id, _HEX_BASE) % (1 << _SEED_BITS)
    outbound = OutboundCalls(
        membership,
        links,
        inbound.handle_call,
        inbound.cancel,
        ROUTERS.find(settings.policy.routing)(seed),
        RETRIES.find(settings.policy.retries)(),
        events,
        TargetEstimates(seed),
    )
    make_limiter = find_limiter(settings.policy.rates)
    if make_limiter is None:
        raise ConfigurationError(
            'choose rates',
            f'no policy named {settings.policy.rates!r}',
            'one of {0}'.format(', '.join(limiter_names())),
        )
    components = Components(
        settings=settings,
        clock=clock,
        events=events,
        metrics=metrics,
        ends=ends,
        former_ends=FormerEnds(ends),
        memory=memory,
        membership=membership,
        links=links,
        store=store,
        gossip=gossip,
        distributor=DocumentDistributor(membership, links, store, gossip),
        relay=RelayElection(membership, store, settings.store.relay_lease_s),
        ownership=ownership,
        rates=rates,
        guard=guard,
        target=target,
        admission=admission,
        inbound=inbound,
        ingress=HttpIngress(
            outbound,
            inbound,
            make_limiter(membership, links, rates),
            GuardClient(membership, links, guard),
            events,
            metrics,
            ends,
            settings.limits.body_limit_bytes,
            memory.bodies,
        ),
    )
    components.distributor.listen(components.apply_documents)
    return components


def _initial_member(settings: Settings, boot_id: str) -> Member:
    node = settings.node
    return Member(
        vm=node.vm,
        boot_id=boot_id,
        incarnation=1,
        version=1,
        alive=True,
        relay=False,
        host=node.host,
        peer_port=node.peer_port,
        failure_domain=node.failure_domain,
        region=node.region,
        service='',
        target_state=str(TargetState.gone),
        target_slots=0,
        target_connections=0,
        shares=(),
    )
