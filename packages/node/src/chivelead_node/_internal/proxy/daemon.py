"""A node on the platform: start, run, and graceful shutdown."""

import asyncio
import contextlib
import logging
from typing import Any

from chivelead_config import TrafficPlan
from chivelead_coordination import FleetRate
from chivelead_platform import ProcessSettings
from chivelead_protocol import (
    CallCancel,
    CallRequest,
    Member,
    PeerServer,
    Ping,
    PlanPull,
    Pong,
    ProtocolError,
    Heartbeat,
    now_ms,
)

from chivelead_node._internal.log_writer import LogWriter
from chivelead_node._internal.proxy.components import (
    CONTROL_API_FORMAT,
    LINK_SECRET,
    build_components,
)
from chivelead_node._internal.proxy.http_servers import (
    ControlApi,
    HttpServers,
    MetricsEndpoint,
)

logger = logging.getLogger(__name__)

# As in deploy/system.toml.
METRICS_PORT = 9464

# Callers of the VM are sent elsewhere after two failed probes, one a second;
# until then they still come here.
_CALLERS_LEAVE_MS = 2500.0
# Kept back from the time until SIGKILL for the last steps.
_GRACE_RESERVE_MS = 800.0
# The process ends anyway; peers and the store notice.
_CLOSE_TIMEOUT_S = 0.3
_POLL_S = 0.05
_TEND_PERIOD_S = 0.5


class ProxyDaemon:
    """One node beside one target on the platform.

    Args:
        settings: Settings of the process, decoded.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Create the parts; nothing listens yet."""
        self._settings = settings
        self._lines = LogWriter()
        self._parts = build_components(settings, self._lines)
        self._servers = HttpServers()
        self._peer_server = PeerServer(
            settings.vm,
            LINK_SECRET,
            self._parts.clock,
            self._answer_peer,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    async def start(self) -> None:
        """Listen, then join the fleet.

        Raises:
            ConfigurationError: A port is in use.
        """
        settings = self._settings
        parts = self._parts
        await self._lines.start()
        parts.events.record_node_event(
            'node-started',
            boot_id=parts.membership.own.boot_id,
            service=settings.own_service,
            failure_domain=settings.failure_domain,
            first_start=settings.first_start,
        )
        parts.feed.listen(self._apply)
        parts.membership.listen(self._note_own_change)
        await parts.store.start()
        await parts.links.start()
        await self._listen()
        for part in (parts.feed, parts.pulses, parts.directory):
            await part.start()
        self._tasks = [
            asyncio.create_task(self._tend_forever()),
            asyncio.create_task(parts.health_monitor.run()),
        ]
        if not settings.first_start:
            self._tasks.append(asyncio.create_task(parts.prober.run()))

    async def close(self) -> None:
        """Shut down without cutting off a request in flight."""
        parts = self._parts
        stop_ms = now_ms()
        parts.events.record_node_event(
            'node-closing', in_flight=parts.entry.in_flight
        )
        self._stopping = True
        parts.inbound.draining = True
        parts.entry.closing = True
        parts.publisher.publish()
        await self._wait_for_requests(stop_ms)
        parts.events.record_node_event(
            'node-closed',
            waited_ms=round(now_ms() - stop_ms),
            in_flight=parts.entry.in_flight,
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CLOSE_TIMEOUT_S):
                await self._close_parts()
        await self._lines.close()

    def reload(self) -> None:
        """Note that the settings may have changed."""
        self._parts.events.record_node_event(
            'reload', effect='read at the next start'
        )

    async def _close_parts(self) -> None:
        parts = self._parts
        for task in self._tasks:
            task.cancel()
        for part in (parts.pulses, parts.feed, parts.directory, parts.links):
            await part.close()
        await parts.target.close()
        await parts.store.close()

    async def _wait_for_requests(self, stop_ms: float) -> None:
        entry = self._parts.entry
        latest_ms = stop_ms + self._settings.bounds.grace_ms - _GRACE_RESERVE_MS
        while now_ms() < latest_ms:
            await asyncio.sleep(_POLL_S)
            if now_ms() - stop_ms < _CALLERS_LEAVE_MS:
                continue
            entry.refusing = True
            if not (entry.in_flight or self._parts.inbound.in_flight):
                return

    async def _listen(self) -> None:
        settings = self._settings
        parts = self._parts
        platform = ControlApi(
            CONTROL_API_FORMAT,
            parts.publisher,
            self._is_ready,
            parts.events,
        )
        surfaces = {
            settings.callers_address: parts.entry.answer,
            settings.probes_address: platform.answer,
            settings.announcements_address: platform.answer,
        }
        await self._peer_server.start(settings.host, settings.peer_port)
        for address, answer in surfaces.items():
            await self._servers.listen(address.host, address.port, answer)
        await self._servers.listen(
            settings.host,
            METRICS_PORT,
            MetricsEndpoint(parts.metrics).answer,
        )

    async def _answer_peer(self, vm: str, body: Any) -> Any:
        parts = self._parts
        if isinstance(body, CallRequest):
            return await parts.inbound.handle_call(body)
        if isinstance(body, Heartbeat):
            return parts.pulses.answer(vm, body)
        if isinstance(body, CallCancel):
            return parts.inbound.cancel(body.attempt_id)
        if isinstance(body, PlanPull):
            return parts.feed.answer_pull()
        if isinstance(body, Ping):
            return Pong()
        raise ProtocolError(
            f'answer {vm}',
            f'{type(body).__name__} is no message to a node',
        )

    def _is_ready(self) -> bool:
        return self._parts.feed.current.version > 0 and not self._stopping

    def _apply(self, plan: TrafficPlan) -> None:
        self._parts.quota.apply(
            {
                name: FleetRate(
                    organisation.rate_per_s,
                    max(1.0, organisation.burst_requests),
                )
                for name, organisation in plan.organisations.items()
                if organisation.rate_per_s > 0
            },
        )
        self._parts.overload.apply(plan)
        self._parts.entry.apply(plan)

    def _note_own_change(self, member: Member) -> None:
        if member.vm == self._settings.vm:
            self._parts.pulses.tell_soon()

    async def _tend_forever(self) -> None:
        parts = self._parts
        while True:
            await asyncio.sleep(_TEND_PERIOD_S)
            parts.publisher.publish()
            pressure = parts.admission.current_load()
            parts.metrics.gauge('load', pressure.load)
            parts.metrics.gauge('shed_part', parts.overload.gate.shed_part)
            parts.metrics.gauge('plan', parts.feed.current.version)
            parts.metrics.gauge('peers', parts.membership.count_alive())
            parts.metrics.gauge('lines_left_out', self._lines.dropped_lines)
