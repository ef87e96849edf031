"""Construction of the components of a node on the platform."""

import dataclasses
import random
import secrets
import time

from chivelead_coordination import (
    FleetAggregate,
    FleetQuota,
    Membership,
    RelayRanking,
    StoreEra,
)
from chivelead_platform import (
    HEADERS,
    PLAN_KEY,
    PlatformStore,
    ProcessSettings,
    classify_request,
    parse_announcement,
    parse_plan,
)
from chivelead_policy import (
    LIMITS,
    QUEUES,
    ROUTERS,
    Admission,
    FleetBudgetRetries,
    RetryBudget,
    TargetEndLedger,
)
from chivelead_protocol import (
    HybridClock,
    Member,
    StatusReport,
    TargetState,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.former_ends import FormerEnds
from chivelead_node._internal.inbound import InboundCalls
from chivelead_node._internal.links import LinkPool
from chivelead_node._internal.log_writer import LogWriter
from chivelead_node._internal.memory_budget import MemoryBudget
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.proxy.call_runner import CallRunner
from chivelead_node._internal.proxy.contacts import ContactDirectory
from chivelead_node._internal.proxy.departures import DepartureRecords
from chivelead_node._internal.proxy.dialect import PlatformDialect
from chivelead_node._internal.proxy.domain_relay import DomainRelay
from chivelead_node._internal.proxy.fleet_reporter import FleetReporter
from chivelead_node._internal.proxy.harmful_requests import (
    HarmfulRequestGuard,
)
from chivelead_node._internal.proxy.http_servers import ControlApiFormat
from chivelead_node._internal.proxy.ingress import ProxyIngress
from chivelead_node._internal.proxy.memory_watch import MemoryWatch
from chivelead_node._internal.proxy.metrics import ProxyMetrics
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.own_target_notices import (
    PlatformTargetNotices,
)
from chivelead_node._internal.proxy.plan_budget import PlanBudget
from chivelead_node._internal.proxy.plan_feed import PlanFeed
from chivelead_node._internal.proxy.probe import TargetProber
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.proxy.target_end_exchange import (
    TargetEndExchange,
)
from chivelead_node._internal.proxy.target_health import (
    TargetCallMonitor,
    TargetHealthMonitor,
)
from chivelead_node._internal.proxy.target_state import TargetStatePublisher
from chivelead_node._internal.proxy.target_trial import TargetTrial
from chivelead_node._internal.request_ends import RequestEnds
from chivelead_node._internal.target_estimates import RoutingEstimates
from chivelead_node._internal.targets import LocalTarget

# Empty, because the platform gives its processes no secret and a node that
# starts while the store is unreachable must still be able to connect to peers.
LINK_SECRET = b''

CONTROL_API_FORMAT = ControlApiFormat(classify_request, parse_announcement)

# The store usually responds within 4 ms, and within a few hundred milliseconds
# when it is slow.
_STORE_TIMEOUT_MS = 1000.0
# Events are not kept in memory: on the platform, nodes serve no queries for
# past events, and the log contains them.
_EVENT_HISTORY_SIZE = 0
# 64 MiB, the same as the default limit on request bodies.
_RESPONSE_LIMIT_BYTES = 67_108_864
_LOGGED_CALL_EVENTS = frozenset(('refused', 'target-failed', 'attempt-failed'))
_BYTES_PER_MB = 1_000_000
_BOOT_ID_BYTES = 8
_SEED_BITS = 32
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class ProxyComponents:
    """Components of a node."""

    clock: HybridClock
    events: EventLog
    metrics: ProxyMetrics
    ends: RequestEnds
    former_ends: FormerEnds
    memory: MemoryBudget
    memory_watch: MemoryWatch
    membership: Membership
    links: LinkPool
    store: PlatformStore
    era: StoreEra
    quota: FleetQuota
    overload: FleetOverload
    admission: Admission
    target: LocalTarget
    registration: TargetRegistration
    departures: DepartureRecords
    inbound: InboundCalls
    ingress: ProxyIngress
    call_runner: CallRunner
    plan_feed: PlanFeed
    relay: DomainRelay
    reporter: FleetReporter
    contacts: ContactDirectory
    publisher: TargetStatePublisher
    prober: TargetProber
    health_monitor: TargetHealthMonitor
    target_ends: TargetEndExchange

    def make_status_report(self) -> StatusReport:
        """Return the members that this node knows and its state."""
        admission_load = self.admission.current_load()
        return StatusReport(
            vm=self.membership.own.vm,
            members=self.membership.all_members(),
            fields=(
                ('config_version', str(self.plan_feed.current.version)),
                ('in_flight', str(self.inbound.in_flight)),
                ('load', f'{admission_load.load:.2f}'),
                ('shed_level', f'{admission_load.shed_level:.2f}'),
                ('bytes_sent', str(self.links.bytes_sent)),
                ('unanswered', self.ends.describe()),
                ('unanswered_before', self.former_ends.describe()),
            ),
        )


def build_components(
    settings: ProcessSettings, log_writer: LogWriter
) -> ProxyComponents:
    """Create the components of a node without starting them.

    Args:
        settings: Settings of the process.
        log_writer: Destination of log lines.
    """
    clock = HybridClock()
    events = EventLog(
        settings.vm,
        clock,
        _EVENT_HISTORY_SIZE,
        log_calls=False,
        always_logged=_LOGGED_CALL_EVENTS,
        allow_line=log_writer.allow_line,
    )
    metrics = ProxyMetrics()
    ends = RequestEnds(events, metrics)
    membership = Membership(_build_own_member(settings))
    memory = MemoryBudget(settings.memory_limit_mb * _BYTES_PER_MB)
    links = LinkPool(membership, LINK_SECRET, clock, memory)
    era = StoreEra()
    store = PlatformStore(
        settings.store.address,
        _STORE_TIMEOUT_MS,
        era,
        PlanBudget(settings.bounds.plan_ms).response_ms,
        settings.store.value_limit_bytes,
        memory.connections,
        memory.bodies,
    )
    quota = FleetQuota(first_start=settings.first_start)
    admission = Admission(
        LIMITS.find('adaptive-with-room')(),
        QUEUES.find('importance-fair')(),
        # Each call has its own limit on the wait. If calls were also refused by
        # their estimated latency, a target that was slow once would get no more
        # calls, and its estimate would never improve.
        shed_late=False,
    )
    target = LocalTarget(_RESPONSE_LIMIT_BYTES, memory)
    registration = TargetRegistration(
        target,
        admission,
        events,
        settings.announcement_period_ms,
    )
    overload = FleetOverload()
    trial = TargetTrial(admission)
    call_monitor = TargetCallMonitor(overload, trial)
    notices = PlatformTargetNotices(HEADERS, registration, admission, events)
    ledger = TargetEndLedger()
    target_ends = TargetEndExchange(
        ledger,
        membership,
        LinkPool(membership, LINK_SECRET, clock, memory),
        events,
        metrics,
    )
    inbound = InboundCalls(
        target,
        admission,
        events,
        metrics,
        PlatformDialect(HEADERS, registration),
        call_monitor,
        notices,
        HarmfulRequestGuard(ledger, target_ends, registration, events, metrics),
    )
    estimates = RoutingEstimates(random.getrandbits(_SEED_BITS))
    outbound = OutboundCalls(
        membership,
        links,
        inbound.handle_call,
        inbound.cancel,
        ROUTERS.find('nearest-quick')(random.getrandbits(_SEED_BITS)),
        _build_retries(settings, membership),
        events,
        estimates,
    )
    call_runner = CallRunner(outbound)
    plan_feed = PlanFeed(
        store, era, PLAN_KEY, parse_plan, links, events, settings.bounds.plan_ms
    )
    departures = DepartureRecords(settings.vm, store, era, registration, events)
    ranking = RelayRanking(membership)
    relay = DomainRelay(
        membership,
        links,
        FleetAggregate(membership, ranking, era),
        ranking,
        plan_feed,
        departures,
        events,
    )
    reporter = FleetReporter(
        membership,
        links,
        relay,
        ranking,
        quota,
        plan_feed,
        era,
        departures,
        admission,
        estimates,
        overload,
        events,
    )
    publisher = TargetStatePublisher(
        settings.own_service,
        registration,
        inbound,
        membership,
        plan_feed.current_plan,
        events,
    )
    address = settings.target_address
    prober = TargetProber(
        HEADERS,
        (address.host, address.port),
        settings.own_service,
        plan_feed,
        registration,
        publisher,
        notices,
        events,
        memory.connections,
    )
    return ProxyComponents(
        clock=clock,
        events=events,
        metrics=metrics,
        ends=ends,
        former_ends=FormerEnds(ends),
        memory=memory,
        memory_watch=MemoryWatch(memory, metrics, events),
        membership=membership,
        links=links,
        store=store,
        era=era,
        quota=quota,
        overload=overload,
        admission=admission,
        target=target,
        registration=registration,
        departures=departures,
        inbound=inbound,
        ingress=ProxyIngress(
            HEADERS,
            settings.own_service,
            call_runner,
            quota,
            overload,
            events,
            metrics,
            ends,
            memory.bodies,
        ),
        call_runner=call_runner,
        plan_feed=plan_feed,
        relay=relay,
        reporter=reporter,
        contacts=ContactDirectory(
            store,
            era,
            membership,
            ranking,
            reporter,
            relay,
            events,
            first_start=settings.first_start,
        ),
        publisher=publisher,
        prober=prober,
        health_monitor=TargetHealthMonitor(
            call_monitor,
            target,
            registration,
            publisher,
            prober,
            trial,
            events,
        ),
        target_ends=target_ends,
    )


def _build_retries(
    settings: ProcessSettings,
    membership: Membership,
) -> FleetBudgetRetries:
    bounds = settings.bounds
    return FleetBudgetRetries(
        RetryBudget(
            bounds.retry_ratio,
            bounds.retry_window_ms,
            bounds.retry_slack,
        ),
        membership.count_alive,
    )


def _build_own_member(settings: ProcessSettings) -> Member:
    domain_region = settings.regions.get(settings.failure_domain, '')
    return Member(
        vm=settings.vm,
        boot_id=secrets.token_hex(_BOOT_ID_BYTES),
        # A later start on the same VM supersedes earlier ones.
        incarnation=int(time.time() * _MS_PER_S),
        version=1,
        alive=True,
        relay=True,
        host=settings.host,
        peer_port=settings.peer_port,
        failure_domain=settings.failure_domain,
        region=settings.region or domain_region,
        service='',
        target_state=str(TargetState.gone),
        target_slots=0,
        target_connections=0,
        shares=(),
    )
