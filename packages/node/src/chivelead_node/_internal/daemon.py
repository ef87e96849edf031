"""The node process: start, run, and graceful shutdown."""

import asyncio
import dataclasses
import json
import logging
import secrets
from typing import Any

from aiohttp import web
from chivelead_config import Settings
from chivelead_coordination import chosen, nearest_first
from chivelead_protocol import (
    ChiveleadError,
    ConfigurationError,
    PeerServer,
    SharesReleased,
    StoreUnavailableError,
    now_ms,
)

from chivelead_node._internal.parts import Parts, build_parts
from chivelead_node._internal.peers import answer_peer
from chivelead_node._internal.targets import (
    BadAnnouncementError,
    parse_announcement,
)

logger = logging.getLogger(__name__)

ANNOUNCE_PATH = '/chivelead/target'

_BOOT_BYTES = 8
_PERIOD_S = 1.0
_JOIN_RETRY_S = 1.0
_HANDOVER_TIMEOUT_MS = 1500
_QUIET_MS = 300
_POLL_S = 0.02
_GOODBYES = 3
_MS_PER_S = 1000
_ANNOUNCEMENT_BYTES = 4096
_NO_CONTENT = 204
_BAD_REQUEST = 400


@dataclasses.dataclass(frozen=True)
class _Released:
    """Shares that a successor may claim with their memory."""

    successor: str
    shares: tuple[int, ...]
    handover_id: str


class NodeDaemon:
    """One node of chivelead.

    Args:
        settings: Settings of the node.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the parts; nothing listens yet."""
        self.parts: Parts = build_parts(
            settings,
            secrets.token_hex(_BOOT_BYTES),
        )
        self._settings = settings
        self._peer_server = PeerServer(
            settings.node.vm,
            settings.node.fleet_secret.encode(),
            self.parts.clock,
            self._answer_peer,
        )
        self._runners: list[web.ServerRunner] = []
        self._sites: list[web.TCPSite] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._released: _Released | None = None

    async def start(self) -> None:
        """Listen, then join the fleet.

        Raises:
            ConfigurationError: A port is in use.
        """
        node = self._settings.node
        parts = self.parts
        await parts.store.start()
        await parts.links.start()
        await self._listen('peer_port', node.host, node.peer_port)
        await self._listen('local_port', node.local_host, node.local_port)
        await self._listen('caller_port', node.host, node.caller_port)
        for part in (
            parts.gossip,
            parts.spread,
            parts.relay,
            parts.ownership,
            parts.rates,
        ):
            await part.start()
        self._tasks = [
            asyncio.create_task(self._join_until_known()),
            asyncio.create_task(self._tend_forever()),
        ]
        parts.events.node('node-started', boot_id=parts.membership.own.boot_id)

    async def close(self) -> None:
        """Shut down without cutting off a request in flight."""
        parts = self.parts
        parts.events.node('node-closing')
        parts.entry.closing = True
        parts.set_draining(draining=True)
        # The goodbye goes out first, so that callers' nodes look elsewhere
        # while this one still serves what is under way.
        await self._spread_news()
        for site in self._sites:
            await site.stop()
        await self._wait_for_requests()
        await parts.ownership.release(self._hand_over)
        await self._offer_shares()
        await parts.relay.close()
        parts.membership.update_own(alive=False, relay=False)
        await self._spread_news()
        await self._stop_parts()

    async def _stop_parts(self) -> None:
        parts = self.parts
        for task in self._tasks:
            task.cancel()
        for runner in self._runners:
            await runner.cleanup()
        for part in (parts.gossip, parts.spread, parts.ownership, parts.rates):
            await part.close()
        await self._peer_server.close()
        await parts.links.close()
        await parts.target.close()
        await parts.store.close()
        parts.events.node('node-closed')
        parts.metrics.close()

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
        entry = self.parts.entry
        answer = (
            self._answer_local if field == 'local_port' else entry.answer_caller
        )
        server = web.Server(
            answer,
            handler_cancellation=True,
            keepalive_timeout=(
                self._settings.limits.caller_idle_ms / _MS_PER_S
            ),
            access_log=None,
        )
        limit_ms = self._settings.limits.shutdown_timeout_ms
        runner = web.ServerRunner(server, shutdown_timeout=limit_ms / _MS_PER_S)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, host, port)
        await site.start()
        self._sites.append(site)

    async def _answer_peer(self, vm: str, body: Any) -> Any:
        return await answer_peer(self.parts, vm, body)

    async def _answer_local(self, request: web.BaseRequest) -> web.Response:
        if request.path == ANNOUNCE_PATH:
            return await self._answer_announcement(request)
        return await self.parts.entry.answer_target(request)

    async def _answer_announcement(
        self,
        request: web.BaseRequest,
    ) -> web.Response:
        try:
            raw = await request.content.read(_ANNOUNCEMENT_BYTES)
            announcement = parse_announcement(json.loads(raw))
        except (ValueError, BadAnnouncementError) as error:
            return web.Response(status=_BAD_REQUEST, text=f'{error}\n')
        await self.parts.announce(announcement)
        return web.Response(status=_NO_CONTENT)

    async def _join_until_known(self) -> None:
        """Find first peers by the settings or the store, and read documents."""
        parts = self.parts
        while parts.spread.current.version == 0 or self._is_alone():
            try:
                await self._join_once()
            except ChiveleadError as error:
                logger.debug('join: %s', error)
            await asyncio.sleep(_JOIN_RETRY_S)

    async def _join_once(self) -> None:
        parts = self.parts
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
            addresses.extend(await parts.relay.read_relay_addresses())
            if parts.spread.current.version == 0:
                await parts.spread.sync_from_store()
        except StoreUnavailableError as error:
            logger.debug('join without the store: %s', error)
        for host, port in addresses:
            if (host, port) != (node.host, node.peer_port):
                await self._meet(host, port)

    async def _meet(self, host: str, port: int) -> None:
        parts = self.parts
        try:
            vm = await parts.links.introduce(host, port)
            await parts.gossip.exchange_with(vm)
            await parts.spread.pull_from(vm)
        except ChiveleadError as error:
            logger.debug('meet %s:%d: %s', host, port, error)

    def _is_alone(self) -> bool:
        return len(self.parts.membership.alive_members()) == 1

    async def _tend_forever(self) -> None:
        parts = self.parts
        while True:
            await asyncio.sleep(_PERIOD_S)
            parts.publish_target()
            parts.check_staleness()
            pressure = parts.admission.pressure()
            parts.metrics.gauge('load', pressure.load)
            parts.metrics.gauge(
                'members', len(parts.membership.alive_members())
            )

    async def _wait_for_requests(self) -> None:
        """Wait until nothing has been in flight for a moment."""
        parts = self.parts
        limit_ms = now_ms() + self._settings.limits.shutdown_timeout_ms
        busy_ms = now_ms()
        while now_ms() < limit_ms and now_ms() - busy_ms < _QUIET_MS:
            if parts.entry.in_flight or parts.inbound.in_flight:
                busy_ms = now_ms()
            await asyncio.sleep(_POLL_S)

    async def _spread_news(self) -> None:
        parts = self.parts
        own = parts.membership.own
        others = [
            member
            for member in parts.membership.alive_members()
            if member.vm != own.vm
        ]
        near = nearest_first(own, others)[:_GOODBYES]
        await asyncio.gather(
            *(parts.gossip.exchange_with(member.vm) for member in near),
            return_exceptions=True,
        )

    async def _hand_over(
        self,
        handover_id: str,
        shares: tuple[int, ...],
    ) -> bool:
        """Send the memory of the shares to the successor of them all."""
        parts = self.parts
        own = parts.membership.own
        names = [
            member.vm
            for member in parts.membership.alive_members(own.failure_domain)
            if member.vm != own.vm
        ]
        successor = chosen(handover_id, names)
        if successor is None:
            return False
        memory = parts.guard.export_records(shares, handover_id)
        try:
            await parts.links.request(successor, memory, _HANDOVER_TIMEOUT_MS)
        except ChiveleadError as error:
            logger.warning('hand over shares: %s', error)
            return False
        self._released = _Released(successor, shares, handover_id)
        return True

    async def _offer_shares(self) -> None:
        released = self._released
        if released is None:
            return
        try:
            await self.parts.links.request(
                released.successor,
                SharesReleased(released.shares, released.handover_id),
                _HANDOVER_TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('offer shares: %s', error)
