"""Startup, periodic work and graceful shutdown of a node."""

import asyncio
import dataclasses
import json
import logging
import secrets
from typing import Any

from aiohttp import web
from chivelead_config import Settings
from chivelead_coordination import nearest_first, preferred_member
from chivelead_protocol import (
    ChiveleadError,
    ConfigurationError,
    PeerServer,
    SharesReleased,
    StoreUnavailableError,
    now_ms,
    start_supervised,
)
from chivelead_protocol.bounds import edges

from chivelead_node._internal import calls
from chivelead_node._internal.components import Components, build_components
from chivelead_node._internal.connection_set import ServerConnections
from chivelead_node._internal.peer_handlers import handle_peer_message
from chivelead_node._internal.peer_rooms import PeerRooms
from chivelead_node._internal.server_connection import ConnectionServer
from chivelead_node._internal.targets import (
    BadAnnouncementError,
    parse_announcement,
)

logger = logging.getLogger(__name__)

ANNOUNCE_PATH = '/chivelead/target'

_BOOT_ID_BYTES = 8
_UPDATE_PERIOD_S = 1.0
_JOIN_RETRY_DELAY_S = 1.0
_HANDOVER_TIMEOUT_MS = 1500
_IDLE_BEFORE_STOP_MS = 300
# Time to write the responses to requests that were refused at the end.
_LAST_ANSWERS_MS = 1000
# The servers drop what they receive meanwhile; each connection has been waited
# for before.
_SHUTDOWN_TIMEOUT_S = 0.05
_IDLE_POLL_PERIOD_S = 0.02
_SHUTDOWN_GOSSIP_PEERS = 3
_MS_PER_S = 1000
_MAX_ANNOUNCEMENT_BYTES = 4096
_NO_CONTENT = 204
_BAD_REQUEST = 400


@dataclasses.dataclass(frozen=True)
class _ReleasedShares:
    """Shares that this node has released, and the node that takes them over.

    A share is a partition of the rate limits and idempotency keys.  The
    successor already holds the idempotency records of these shares.
    """

    successor: str
    shares: tuple[int, ...]
    handover_id: str


class NodeDaemon:
    """The daemon that runs one node.

    Args:
        settings: Settings of the node.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the components without opening any port."""
        self.components: Components = build_components(
            settings,
            secrets.token_hex(_BOOT_ID_BYTES),
        )
        self._settings = settings
        self._peer_server = PeerServer(
            settings.node.vm,
            settings.node.fleet_secret.encode(),
            self.components.clock,
            self._handle_peer_message,
            PeerRooms(self.components.memory.bodies),
            self.components.memory.connections,
        )
        self._caller_connections = ServerConnections(
            self.components.events,
            calls.HEADER_REQUEST_ID,
            self.components.ends,
            edges.CALLERS,
            self.components.memory.connections,
        )
        self._local_connections = ServerConnections(
            self.components.events,
            calls.HEADER_REQUEST_ID,
            self.components.ends,
            edges.CONTROL,
            self.components.memory.connections,
        )
        self._runners: list[web.ServerRunner] = []
        self._listeners: dict[str, asyncio.Server] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._released: _ReleasedShares | None = None

    async def start(self) -> None:
        """Open the ports and start joining the fleet.

        Raises:
            ConfigurationError: A port is in use.
        """
        node = self._settings.node
        components = self.components
        await components.store.start()
        await components.links.start()
        await self._listen('peer_port', node.host, node.peer_port)
        await self._listen('local_port', node.local_host, node.local_port)
        await self._listen('caller_port', node.host, node.caller_port)
        for component in (
            components.gossip,
            components.distributor,
            components.relay,
            components.ownership,
            components.rates,
        ):
            await component.start()
        record_failure = components.events.record_task_failure
        self._tasks = [
            start_supervised('join', self._join_fleet, record_failure),
            start_supervised(
                'target-state', self._update_state_forever, record_failure
            ),
        ]
        components.events.record_node_event(
            'node-started', boot_id=components.membership.own.boot_id
        )

    async def close(self) -> None:
        """Drain requests in flight, hand over state and shut down."""
        components = self.components
        components.events.record_node_event('node-closing')
        self._caller_connections.closing = True
        components.ingress.closing = True
        components.set_draining(draining=True)
        # Other nodes learn of the drain first, so that they route new calls
        # elsewhere while this node completes the calls in flight.
        await self._gossip_to_nearest()
        # The target goes on to make the calls that its last requests need.
        self._listeners['caller_port'].close()
        await self._wait_for_requests(
            self._settings.limits.shutdown_timeout_ms, _IDLE_BEFORE_STOP_MS
        )
        components.ingress.refusing = True
        await self._leave_fleet()
        # Some requests have arrived since.
        await self._wait_for_requests(_LAST_ANSWERS_MS)
        self._caller_connections.end_exchanges()
        self._local_connections.end_exchanges()
        await self._hand_over_counts()
        await self._stop_components()

    def reload(self) -> None:
        """Log a reload request; settings are only read at startup."""
        self.components.events.record_node_event(
            'reload', effect='read at the next start'
        )

    async def _leave_fleet(self) -> None:
        components = self.components
        await components.ownership.release(self._hand_over_shares)
        await self._notify_successor()
        await components.relay.close()
        components.membership.update_own(alive=False, relay=False)
        await self._gossip_to_nearest()

    async def _stop_components(self) -> None:
        components = self.components
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners.values():
            listener.close()
        for runner in self._runners:
            await runner.cleanup()
        for component in (
            components.gossip,
            components.distributor,
            components.ownership,
            components.rates,
        ):
            await component.close()
        await self._peer_server.close()
        await components.links.close()
        await components.target.close()
        await components.store.close()
        components.events.record_node_event('node-closed')
        components.metrics.close()

    async def _listen(self, field: str, host: str, port: int) -> None:
        try:
            if field == 'peer_port':
                await self._peer_server.start(host, port)
            else:
                await self._serve_http(field, host, port)
        except OSError as error:
            raise ConfigurationError(
                f'listen on {host}:{port}',
                f'{error.strerror or error}',
                f'[node] {field}: expected a port that is free on this VM',
            ) from error

    async def _serve_http(self, field: str, host: str, port: int) -> None:
        is_local = field == 'local_port'
        connections = (
            self._local_connections if is_local else self._caller_connections
        )
        server = ConnectionServer(
            self._handle_local_request
            if is_local
            else self.components.ingress.handle_caller_request,
            connections,
            handler_cancellation=True,
            keepalive_timeout=(
                self._settings.limits.caller_idle_ms / _MS_PER_S
            ),
            access_log=None,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        self._runners.append(runner)
        self._listeners[field] = await connections.edge.listen(
            server, host, port
        )

    async def _handle_peer_message(self, vm: str, body: Any) -> Any:
        return await handle_peer_message(self.components, vm, body)

    async def _handle_local_request(
        self, request: web.BaseRequest
    ) -> web.Response:
        if request.path == ANNOUNCE_PATH:
            return await self._handle_announcement(request)
        return await self.components.ingress.handle_target_request(request)

    async def _handle_announcement(
        self,
        request: web.BaseRequest,
    ) -> web.Response:
        try:
            raw = await request.content.read(_MAX_ANNOUNCEMENT_BYTES)
            announcement = parse_announcement(json.loads(raw))
        except (ValueError, BadAnnouncementError) as error:
            return web.Response(status=_BAD_REQUEST, text=f'{error}\n')
        await self.components.apply_announcement(announcement)
        return web.Response(status=_NO_CONTENT)

    async def _join_fleet(self) -> None:
        """Retry until this node has a peer and configuration documents."""
        components = self.components
        while components.distributor.current.version == 0 or self._is_alone():
            try:
                await self._join_once()
            except ChiveleadError as error:
                logger.debug('joining the fleet failed; retrying: %s', error)
            await asyncio.sleep(_JOIN_RETRY_DELAY_S)

    async def _join_once(self) -> None:
        components = self.components
        node = self._settings.node
        addresses = [
            (host, int(port))
            for host, _, port in (
                seed.rpartition(':')
                for seed in self._settings.peers.seeds.split()
                if seed != '-'
            )
        ]
        try:
            addresses.extend(await components.relay.read_relay_addresses())
            if components.distributor.current.version == 0:
                await components.distributor.sync_from_store()
        except StoreUnavailableError as error:
            logger.debug('joining without the store: %s', error)
        for host, port in addresses:
            if (host, port) != (node.host, node.peer_port):
                await self._join_peer(host, port)

    async def _join_peer(self, host: str, port: int) -> None:
        components = self.components
        try:
            vm = await components.links.connect_to_address(host, port)
            await components.gossip.exchange_with(vm)
            await components.distributor.pull_from(vm)
        except ChiveleadError as error:
            logger.debug('joining peer %s:%d failed: %s', host, port, error)

    def _is_alone(self) -> bool:
        return len(self.components.membership.alive_members()) == 1

    async def _update_state_forever(self) -> None:
        components = self.components
        while True:
            await asyncio.sleep(_UPDATE_PERIOD_S)
            components.publish_target()
            components.update_staleness()
            admission_load = components.admission.current_load()
            components.metrics.gauge('load', admission_load.load)
            components.metrics.gauge(
                'members', len(components.membership.alive_members())
            )

    async def _wait_for_requests(
        self, timeout_ms: float, idle_ms: float = 0
    ) -> None:
        """Wait until no request has been in flight for a time.

        Args:
            timeout_ms: Time after which to return even if requests remain.
            idle_ms: Time without requests.
        """
        deadline_ms = now_ms() + timeout_ms
        last_busy_ms = now_ms()
        while now_ms() < deadline_ms:
            if self._is_answer_due():
                last_busy_ms = now_ms()
            elif now_ms() - last_busy_ms >= idle_ms:
                return
            await asyncio.sleep(_IDLE_POLL_PERIOD_S)

    def _is_answer_due(self) -> bool:
        components = self.components
        # A call with an idempotency key goes on without its caller.
        in_flight = components.ingress.in_flight + components.inbound.in_flight
        return bool(
            in_flight
            or self._caller_connections.is_answer_due()
            or self._local_connections.is_answer_due()
            or self._peer_server.count_due_replies()
        )

    async def _gossip_to_nearest(self) -> None:
        components = self.components
        await asyncio.gather(
            *map(components.gossip.exchange_with, self._nearest_vms()),
            return_exceptions=True,
        )

    async def _hand_over_counts(self) -> None:
        """Let another node keep the counts of ended requests."""
        components = self.components
        own = components.membership.own
        handover = components.former_ends.make_handover(own.vm, own.boot_id)
        for vm in self._nearest_vms():
            try:
                await components.links.request(
                    vm, handover, _HANDOVER_TIMEOUT_MS
                )
            except ChiveleadError as error:
                logger.debug('handing over counts to %s failed: %s', vm, error)
            else:
                return

    def _nearest_vms(self) -> list[str]:
        components = self.components
        own = components.membership.own
        others = [
            member
            for member in components.membership.alive_members()
            if member.vm != own.vm
        ]
        nearest = nearest_first(own, others)[:_SHUTDOWN_GOSSIP_PEERS]
        return [member.vm for member in nearest]

    async def _hand_over_shares(
        self,
        handover_id: str,
        shares: tuple[int, ...],
    ) -> bool:
        """Send the idempotency records of the shares to one successor.

        Returns:
            Whether the successor accepted the records.
        """
        components = self.components
        own = components.membership.own
        candidates = [
            member.vm
            for member in components.membership.alive_members(
                own.failure_domain
            )
            if member.vm != own.vm
        ]
        successor = preferred_member(handover_id, candidates)
        if successor is None:
            return False
        handover = components.guard.export_records(shares, handover_id)
        try:
            await components.links.request(
                successor, handover, _HANDOVER_TIMEOUT_MS
            )
        except ChiveleadError as error:
            logger.warning('handing over shares failed: %s', error)
            return False
        self._released = _ReleasedShares(successor, shares, handover_id)
        return True

    async def _notify_successor(self) -> None:
        released = self._released
        if released is None:
            return
        try:
            await self.components.links.request(
                released.successor,
                SharesReleased(released.shares, released.handover_id),
                _HANDOVER_TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('notifying the share successor failed: %s', error)
