"""Life cycle of a node on the platform: startup and graceful shutdown."""

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable
from typing import Any

from chivelead_config import TrafficPlan
from chivelead_coordination import FleetRate
from chivelead_platform import HEADERS, ProcessSettings
from chivelead_protocol import (
    CallCancel,
    CallRequest,
    DomainDigest,
    Member,
    MemberNotice,
    NodeReport,
    PeerServer,
    Ping,
    PlanPull,
    Pong,
    ProtocolError,
    StatusQuery,
    now_ms,
    start_supervised,
    target_end_messages,
)
from chivelead_protocol.request_ends import EndCountsHandover

from chivelead_node._internal.log_writer import LogWriter
from chivelead_node._internal.proxy.components import (
    CONTROL_API_FORMAT,
    LINK_SECRET,
    build_components,
)
from chivelead_node._internal.proxy.harmful_request_api import (
    HarmfulRequestApi,
)
from chivelead_node._internal.proxy.http_servers import (
    ControlApi,
    HttpServers,
    MetricsEndpoint,
    make_connection_sets,
)
from chivelead_node._internal.proxy.request_drain import RequestDrain

logger = logging.getLogger(__name__)

# Must match the metrics port in deploy/system.toml.
METRICS_PORT = 9464

# Components that do not close in time are abandoned: the process exits anyway,
# and peers and the store detect the closed connections.
_CLOSE_TIMEOUT_S = 0.3
_HANDOVER_TIMEOUT_S = 0.1
# Largest parts of the time until SIGKILL that each of these takes.
_MAX_CLOSE_FRACTION = 0.4
_MAX_HANDOVER_FRACTION = 0.15
_PUBLISH_PERIOD_S = 0.5
_MS_PER_S = 1000


class ProxyDaemon:
    """Node on the platform that serves one target on the same VM.

    Args:
        settings: Parsed settings of the process.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Create the components without starting them or opening ports."""
        self._settings = settings
        self._log_writer = LogWriter()
        self._components = build_components(settings, self._log_writer)
        self._servers = HttpServers()
        connection_sets = make_connection_sets(
            HEADERS.request_id,
            self._components.events,
            self._components.ends,
            self._components.memory.connections,
        )
        self._caller_connections = connection_sets.callers
        self._control_connections = connection_sets.control
        self._peer_server = PeerServer(
            settings.vm,
            LINK_SECRET,
            self._components.clock,
            self._handle_peer_request,
            self._components.memory.bodies,
            self._components.memory.connections,
        )
        components = self._components
        # Messages that are answered at once, whoever sends them.
        self._repliers: dict[type, Callable[[Any], Any]] = {
            NodeReport: components.relay.handle_report,
            PlanPull: lambda _: components.plan_feed.handle_pull(),
            StatusQuery: lambda _: components.make_status_report(),
        }
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    async def start(self) -> None:
        """Open the ports, then join the fleet.

        Raises:
            ConfigurationError: A port is in use.
        """
        settings = self._settings
        components = self._components
        await self._log_writer.start()
        components.events.record_node_event(
            'node-started',
            boot_id=components.membership.own.boot_id,
            service=settings.own_service,
            failure_domain=settings.failure_domain,
            first_start=settings.first_start,
        )
        self._add_listeners()
        await components.store.start()
        await components.links.start()
        await components.target_ends.start()
        await components.departures.start(
            components.reporter.tell_peers, restore=not settings.first_start
        )
        await self._listen()
        await components.plan_feed.start(
            components.relay.should_watch_plan,
            components.relay.joined,
            read_first=not settings.first_start,
        )
        await components.relay.start()
        await components.reporter.start()
        await components.contacts.start()
        self._start_tasks()

    async def close(self) -> None:
        """Shut down after waiting for the answers that are due.

        The wait ends shortly before the platform sends SIGKILL.
        """
        components = self._components
        shutdown_started_ms = now_ms()
        components.events.record_node_event(
            'node-closing', in_flight=components.ingress.in_flight
        )
        self._stopping = True
        components.inbound.draining = True
        components.publisher.publish()
        components.membership.update_own(relay=False)
        drain = RequestDrain(
            self._settings.bounds.grace_ms,
            components.ingress,
            components.call_runner.timeouts,
            components.inbound,
            self._caller_connections,
            self._control_connections,
            self._peer_server,
        )
        await drain.wait(shutdown_started_ms)
        killed_ms = shutdown_started_ms + self._settings.bounds.grace_ms
        left_s = max(0, killed_ms - now_ms()) / _MS_PER_S
        # Callers are answered all the while, until the process has gone.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                min(_CLOSE_TIMEOUT_S, left_s * _MAX_CLOSE_FRACTION)
            ):
                await components.reporter.leave()
                await self._close_components()
        await drain.look_again()
        self._end_exchanges()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                min(_HANDOVER_TIMEOUT_S, left_s * _MAX_HANDOVER_FRACTION)
            ):
                await self._hand_over_counts()
                await components.links.close()
        await drain.refuse_rest()
        self._record_closed(shutdown_started_ms)
        await self._log_writer.close()

    def reload(self) -> None:
        """Log a reload request; settings are only read at startup."""
        self._components.events.record_node_event(
            'reload', effect='read at the next start'
        )

    def _record_closed(self, shutdown_started_ms: float) -> None:
        # Some requests have been read since the counts were handed over.
        self._end_exchanges()
        components = self._components
        components.events.record_node_event(
            'node-closed',
            waited_ms=round(now_ms() - shutdown_started_ms),
            in_flight=components.ingress.in_flight,
            unanswered=self._caller_connections.count_unanswered(),
            undelivered_bytes=self._caller_connections.undelivered_bytes(),
            open_connections=self._caller_connections.count_open(),
        )

    def _end_exchanges(self) -> None:
        self._caller_connections.end_exchanges()
        self._control_connections.end_exchanges()

    async def _hand_over_counts(self) -> None:
        components = self._components
        own = components.membership.own
        await components.reporter.hand_over(
            components.former_ends.make_handover(own.vm, own.boot_id)
        )

    def _start_tasks(self) -> None:
        components = self._components
        work_by_name = {
            'publish': self._publish_forever,
            'target-health': components.health_monitor.run,
        }
        if not self._settings.first_start:
            work_by_name['target-probe'] = components.prober.run
        self._tasks = [
            start_supervised(name, work, components.events.record_task_failure)
            for name, work in work_by_name.items()
        ]

    def _add_listeners(self) -> None:
        components = self._components
        components.plan_feed.add_listener(self._apply_plan)
        components.membership.listen(self._handle_member_change)
        components.era.listen(self._record_era)

    async def _close_components(self) -> None:
        components = self._components
        for task in self._tasks:
            task.cancel()
        for component in (
            components.reporter,
            components.relay,
            components.plan_feed,
            components.contacts,
            components.departures,
            components.target_ends,
        ):
            await component.close()
        await components.target.close()
        await components.store.close()

    async def _listen(self) -> None:
        settings = self._settings
        components = self._components
        control_api = ControlApi(
            CONTROL_API_FORMAT,
            components.publisher,
            components.departures,
            self._is_ready,
            components.events,
        )
        await self._peer_server.start(settings.host, settings.peer_port)
        await self._servers.listen(
            settings.callers_address.host,
            settings.callers_address.port,
            components.ingress.handle_request,
            self._caller_connections,
        )
        for address in (
            settings.probes_address,
            settings.announcements_address,
        ):
            await self._servers.listen(
                address.host,
                address.port,
                control_api.handle_request,
                self._control_connections,
            )
        await self._servers.listen(
            settings.host,
            METRICS_PORT,
            HarmfulRequestApi(
                components.target_ends,
                MetricsEndpoint(components.metrics).handle_request,
            ).handle_request,
            self._control_connections,
        )

    async def _handle_peer_request(self, vm: str, message: Any) -> Any:
        components = self._components
        if isinstance(message, CallRequest):
            return await components.inbound.handle_call(message)
        make_reply = self._repliers.get(type(message))
        if make_reply is not None:
            return make_reply(message)
        if isinstance(message, DomainDigest):
            return components.relay.handle_domain_digest(vm, message)
        if isinstance(message, CallCancel):
            return components.inbound.cancel(message.attempt_id)
        if isinstance(message, EndCountsHandover):
            components.former_ends.keep(message)
        if isinstance(message, MemberNotice):
            components.membership.merge((message.member,))
        if isinstance(message, target_end_messages.TargetEndNotice):
            components.target_ends.handle_notice(vm, message)
        if isinstance(
            message,
            Ping
            | MemberNotice
            | EndCountsHandover
            | target_end_messages.TargetEndNotice,
        ):
            return Pong()
        raise ProtocolError(
            f'handle request from {vm}',
            f'{type(message).__name__} is not a request that a node handles',
        )

    def _is_ready(self) -> bool:
        return (
            self._components.plan_feed.current.version > 0
            and not self._stopping
        )

    def _apply_plan(self, plan: TrafficPlan) -> None:
        self._components.quota.apply(
            {
                name: FleetRate(
                    organisation.rate_per_s,
                    max(1.0, organisation.burst_requests),
                )
                for name, organisation in plan.organisations.items()
                if organisation.rate_per_s > 0
            },
        )
        self._components.overload.apply(plan)
        self._components.ingress.apply(plan)
        # Other nodes learn of the plan from the reports of this one, and the
        # reply has the counts of organisations that are new to it.
        if (
            self._components.relay.should_watch_plan()
            or self._components.quota.needs_full_report
        ):
            self._components.reporter.report_soon()

    def _handle_member_change(self, member: Member) -> None:
        if member.vm == self._settings.vm:
            self._components.reporter.report_soon()

    def _record_era(self, era: int, before: int, source: str) -> None:
        self._components.events.record_node_event(
            'store-era', era=era, before=before, source=source
        )
        self._components.metrics.gauge('store_era', era)

    async def _publish_forever(self) -> None:
        """Publish the metrics and the state of the target.

        The state also changes without an event: the target counts as gone when
        it stops sending announcements.
        """
        components = self._components
        while True:
            await asyncio.sleep(_PUBLISH_PERIOD_S)
            components.publisher.publish()
            admission_load = components.admission.current_load()
            components.metrics.gauge('load', admission_load.load)
            rate_limit_per_s = components.admission.rate_limit_per_s
            components.metrics.gauge(
                'target_rate_limit',
                math.inf if rate_limit_per_s is None else rate_limit_per_s,
            )
            components.metrics.gauge(
                'shed_part', components.overload.shed_controller.shed_part
            )
            self._publish_suspensions()
            self._publish_connections()
            components.memory_watch.publish()
            components.metrics.gauge(
                'plan', components.plan_feed.current.version
            )
            components.metrics.gauge(
                'peers', components.membership.count_alive()
            )
            components.metrics.gauge(
                'failed_tasks', components.events.failed_task_count
            )
            components.metrics.gauge(
                'lines_left_out', self._log_writer.dropped_lines
            )

    def _publish_suspensions(self) -> None:
        gauge = self._components.metrics.gauge
        health_monitor = self._components.health_monitor
        gauge('target_suspensions', health_monitor.suspension_count)
        gauge('failed_trials', health_monitor.failed_trial_count)

    def _publish_connections(self) -> None:
        gauge = self._components.metrics.gauge
        callers, controllers = (
            self._caller_connections,
            self._control_connections,
        )
        gauge('unanswered', callers.count_unanswered())
        gauge(
            'refused_connections',
            callers.refused_count + controllers.refused_count,
        )
        gauge(
            'ignored_connections',
            callers.ignored_count + controllers.ignored_count,
        )
