"""The parts of a node on the platform, wired together."""

import dataclasses
import random
import secrets
import time

from chivelead_coordination import FleetQuota, Membership
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
)
from chivelead_protocol import HybridClock, Member, TargetState

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.inbound import InboundCalls
from chivelead_node._internal.log_writer import LogWriter
from chivelead_node._internal.links import LinkPool
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.pressure import LoadTable
from chivelead_node._internal.proxy.dialect import PlatformDialect
from chivelead_node._internal.proxy.directory import NodeDirectory
from chivelead_node._internal.proxy.http_servers import ControlApiFormat
from chivelead_node._internal.proxy.ingress import ProxyIngress
from chivelead_node._internal.proxy.metrics import ProxyMetrics
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.plan_feed import PlanFeed
from chivelead_node._internal.proxy.probe import TargetProber
from chivelead_node._internal.proxy.pulses import PulseExchange
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.proxy.target_health import (
    TargetCallMonitor,
    TargetHealthMonitor,
)
from chivelead_node._internal.proxy.target_state import TargetStatePublisher
from chivelead_node._internal.targets import LocalTarget

# The platform has no secret to hand to its processes, and a node that starts
# while the store is away must be able to join its peers.
LINK_SECRET = b''

CONTROL_API_FORMAT = ControlApiFormat(classify_request, parse_announcement)

# The store answers in 4 ms, and in some hundred when it is slow.
_STORE_TIMEOUT_MS = 1000.0
# Nodes here take no question for past events; the log has them.
_EVENTS_KEPT = 0
# 64 MiB, the bound for bodies of callers.
_ANSWER_LIMIT_BYTES = 67_108_864
_LOGGED_CALLS = frozenset(('refused', 'target-failed', 'attempt-failed'))
_MEGABYTE = 1_000_000
# A body is held about three times over on its way; the rest of the memory is
# the process itself and its answers.
_HELD_PART = 0.15
_BOOT_BYTES = 8
_SEED_BITS = 32
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class ProxyComponents:
    """Everything that a node consists of."""

    clock: HybridClock
    events: EventLog
    metrics: ProxyMetrics
    membership: Membership
    links: LinkPool
    store: PlatformStore
    quota: FleetQuota
    overload: FleetOverload
    admission: Admission
    target: LocalTarget
    registration: TargetRegistration
    inbound: InboundCalls
    entry: ProxyIngress
    feed: PlanFeed
    pulses: PulseExchange
    directory: NodeDirectory
    publisher: TargetStatePublisher
    prober: TargetProber
    health_monitor: TargetHealthMonitor


def build_components(
    settings: ProcessSettings, lines: LogWriter
) -> ProxyComponents:
    """Create the parts of a node; nothing is started yet.

    Args:
        settings: Settings of the process.
        lines: Where log lines go.
    """
    clock = HybridClock()
    events = EventLog(
        settings.vm,
        clock,
        _EVENTS_KEPT,
        log_calls=False,
        always_logged=_LOGGED_CALLS,
        allow_line=lines.allow_line,
    )
    metrics = ProxyMetrics()
    membership = Membership(_first_entry(settings))
    links = LinkPool(membership, LINK_SECRET, clock)
    store = PlatformStore(settings.store.address, _STORE_TIMEOUT_MS)
    quota = FleetQuota(first_start=settings.first_start)
    admission = Admission(
        LIMITS.find('adaptive-with-room')(),
        QUEUES.find('importance-fair')(),
        # The wait is bounded; an estimate of the run would refuse a target
        # that was slow for ever.
        shed_late=False,
    )
    target = LocalTarget(_ANSWER_LIMIT_BYTES)
    registration = TargetRegistration(
        target,
        admission,
        events,
        settings.announce_period_ms,
    )
    overload = FleetOverload(membership)
    call_monitor = TargetCallMonitor(overload)
    inbound = InboundCalls(
        target,
        admission,
        events,
        metrics,
        PlatformDialect(HEADERS, registration),
        call_monitor,
    )
    pressure = LoadTable(random.getrandbits(_SEED_BITS))
    outbound = OutboundCalls(
        membership,
        links,
        inbound.handle_call,
        inbound.cancel,
        ROUTERS.find('nearest-quick')(random.getrandbits(_SEED_BITS)),
        _retries(settings, membership),
        events,
        pressure,
    )
    feed = PlanFeed(store, PLAN_KEY, parse_plan, links, events)
    pulses = PulseExchange(
        membership,
        links,
        quota,
        feed,
        admission,
        pressure,
        overload,
        events,
    )
    publisher = TargetStatePublisher(
        settings.own_service,
        registration,
        inbound,
        membership,
        feed.in_force,
        events,
    )
    address = settings.target_address
    prober = TargetProber(
        HEADERS,
        (address.host, address.port),
        settings.own_service,
        feed,
        registration,
        publisher,
        events,
    )
    return ProxyComponents(
        clock=clock,
        events=events,
        metrics=metrics,
        membership=membership,
        links=links,
        store=store,
        quota=quota,
        overload=overload,
        admission=admission,
        target=target,
        registration=registration,
        inbound=inbound,
        entry=ProxyIngress(
            HEADERS,
            settings.own_service,
            outbound,
            quota,
            overload,
            events,
            metrics,
            settings.memory_limit_mb * _MEGABYTE * _HELD_PART,
        ),
        feed=feed,
        pulses=pulses,
        directory=NodeDirectory(store, membership, pulses.heard_ms, events),
        publisher=publisher,
        prober=prober,
        health_monitor=TargetHealthMonitor(
            call_monitor, registration, publisher, prober, events
        ),
    )


def _retries(
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


def _first_entry(settings: ProcessSettings) -> Member:
    region = settings.regions.get(settings.failure_domain, '')
    return Member(
        vm=settings.vm,
        boot_id=secrets.token_hex(_BOOT_BYTES),
        # Later starts in this slot go before earlier ones.
        incarnation=int(time.time() * _MS_PER_S),
        version=1,
        alive=True,
        relay=False,
        host=settings.host,
        peer_port=settings.peer_port,
        failure_domain=settings.failure_domain,
        region=settings.region or region,
        service='',
        target_state=str(TargetState.gone),
        target_slots=0,
        target_connections=0,
        shares=(),
    )
