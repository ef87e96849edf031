"""Pool of message links to other nodes, opened on demand."""

import asyncio
import contextlib
import functools
import itertools
import logging
import math
from typing import Any

from chivelead_coordination import Membership, Network
from chivelead_protocol import (
    LARGE_FRAME_BYTES,
    CallCancel,
    CallRequest,
    ChiveleadError,
    HybridClock,
    LinkLostError,
    LinkNotOpenError,
    PeerLink,
    Ping,
    ReplyTimeoutError,
    now_ms,
    start_supervised,
)

from chivelead_node._internal.memory_budget import MemoryBudget
from chivelead_node._internal.silent_waits import GiveUp, never_give_up

logger = logging.getLogger(__name__)

_IDLE_TIMEOUT_MS = 12_000
_IDLE_CHECK_PERIOD_S = 2.0
_RECONNECT_DELAY_MS = 250.0
# No calls are sent over a link that has failed, so nothing else would open it
# again.  Few are tried at a time: in a large fleet, many can fail at once.
_REOPEN_PERIOD_S = 0.5
_MAX_REOPENED = 4


class LinkPool(Network):
    """Maintain at most one open link per node.

    Args:
        membership: Source of the addresses of nodes.
        secret: Shared secret that authenticates the nodes of the fleet.
        clock: Clock of this process.
        memory: Memory for large replies and for links; unlimited by default.
    """

    def __init__(
        self,
        membership: Membership,
        secret: bytes,
        clock: HybridClock,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create an empty pool."""
        self._memory = memory or MemoryBudget(math.inf)
        self.closed_link_bytes = 0
        self._membership = membership
        self._secret = secret
        self._clock = clock
        self._links: dict[str, PeerLink] = {}
        # Idle links for large messages, which others do not have to wait for.
        self._large_links: dict[str, list[PeerLink]] = {}
        # Links that only wait for replies, from peers that may be held up.
        self._silent_links: list[PeerLink] = []
        self._connecting: dict[str, asyncio.Task[PeerLink]] = {}
        self._failed_at_ms: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def bytes_sent(self) -> int:
        """Return the bytes sent over all links, including closed ones."""
        open_links = itertools.chain(
            self._links.values(),
            self._silent_links,
            *self._large_links.values(),
        )
        open_bytes = sum(link.bytes_sent for link in open_links)
        return self.closed_link_bytes + open_bytes

    def is_failing(self, vm: str) -> bool:
        """Return whether the last link was lost, silent or not opened."""
        return vm in self._failed_at_ms

    async def start(self) -> None:
        """Start closing idle links and reopening failed ones."""
        self._tasks = [
            start_supervised('links-idle', self._close_idle_forever),
            start_supervised('links-reopen', self._reopen_forever),
        ]

    async def close(self) -> None:
        """Close all links."""
        for task in self._tasks:
            task.cancel()
        for link in itertools.chain(
            tuple(self._links.values()),
            self._silent_links,
            *self._large_links.values(),
        ):
            await link.close()

    async def request(
        self,
        vm: str,
        body: Any,
        timeout_ms: float,
        give_up: GiveUp | None = None,
    ) -> Any:
        """Send a message, opening a link if needed, and return the reply.

        Args:
            vm: VM of the node.
            body: Message.
            timeout_ms: Time to wait for the reply.
            give_up: Returns whether silence of the node ends the wait; by
                default it does.  Calls that must not be sent again wait on.
        """
        if isinstance(body, CallRequest) and not body.idempotent:
            give_up = never_give_up
        if isinstance(body, CallRequest) and len(body.body) > LARGE_FRAME_BYTES:
            return await self._request_large(vm, body, timeout_ms, give_up)
        link = self._links.get(vm)
        if link is None or not link.is_open:
            link = await self._open(vm)
        try:
            return await link.request(body, timeout_ms, give_up=give_up)
        except LinkLostError:
            if self._is_current(vm, link):
                self._failed_at_ms[vm] = now_ms()
            _withdraw(link, body)
            raise
        except (asyncio.CancelledError, ReplyTimeoutError):
            if not link.is_open:
                _withdraw(link, body)
            raise

    async def send(self, vm: str, body: Any) -> None:
        """Send a message without a reply, but only over an open link."""
        link = self._links.get(vm)
        if link is not None and link.is_open:
            await link.send(body)

    async def connect_to_address(self, host: str, port: int) -> str:
        """Open a link to an address and return the VM name of the node."""
        link = PeerLink(
            self._membership.own.vm,
            host,
            port,
            self._secret,
            self._clock,
            self._memory.bodies,
            self._memory.connections,
        )
        await link.start()
        await self._replace_link(link.peer_vm, link)
        return link.peer_vm

    async def _request_large(
        self, vm: str, body: Any, timeout_ms: float, give_up: GiveUp | None
    ) -> Any:
        """Send a large message over a link that carries no other ones."""
        idle_links = self._large_links.setdefault(vm, [])
        while idle_links and not idle_links[-1].is_open:
            await self._retire(idle_links.pop())
        link = (
            idle_links.pop()
            if idle_links
            else await self._connect_and_ping(vm, timeout_ms)
        )
        try:
            reply = await link.request(body, timeout_ms, give_up=give_up)
        except BaseException:
            await self._retire(link)
            raise
        self._large_links.setdefault(vm, []).append(link)
        return reply

    async def _connect_and_ping(self, vm: str, timeout_ms: float) -> PeerLink:
        """Open a link and wait until the peer has authenticated this node.

        Until then, the peer drops large messages.
        """
        link = await self._connect(vm)
        try:
            await link.request(Ping(), timeout_ms)
        except ChiveleadError as error:
            await self._retire(link)
            raise LinkNotOpenError(
                f'connect to {vm}', 'no answer to a ping'
            ) from error
        except BaseException:
            await self._retire(link)
            raise
        return link

    async def _retire(self, link: PeerLink) -> None:
        self.closed_link_bytes += link.bytes_sent
        with contextlib.suppress(ChiveleadError):
            await link.close()

    async def _open(self, vm: str) -> PeerLink:
        failed_at_ms = self._failed_at_ms.get(vm, -_RECONNECT_DELAY_MS)
        if now_ms() - failed_at_ms < _RECONNECT_DELAY_MS:
            raise LinkNotOpenError(
                f'connect to {vm}', 'the last attempt failed moments ago'
            )
        connecting = self._connecting.get(vm)
        if connecting is None:
            connecting = asyncio.create_task(self._open_once(vm))
            self._connecting[vm] = connecting
            connecting.add_done_callback(
                lambda _: self._connecting.pop(vm, None)
            )
        return await asyncio.shield(connecting)

    async def _open_once(self, vm: str) -> PeerLink:
        link = await self._connect(vm)
        self._failed_at_ms.pop(vm, None)
        current = self._links.get(vm)
        if current is not None and current.is_open:
            # Only a link for a large message has failed; this one may carry
            # requests.
            await self._retire(link)
            return current
        await self._replace_link(vm, link)
        return link

    async def _replace_link(self, vm: str, link: PeerLink) -> None:
        await self._close_link(vm)
        self._links[vm] = link
        link.on_silence = functools.partial(self._note_failure, vm)

    def _note_failure(self, vm: str) -> None:
        self._failed_at_ms[vm] = now_ms()

    def _is_current(self, vm: str, link: PeerLink) -> bool:
        """Return whether no other link to a node is open."""
        current = self._links.get(vm)
        return current is None or current is link or not current.is_open

    async def _connect(self, vm: str) -> PeerLink:
        member = self._membership.find(vm)
        if member is None:
            raise LinkNotOpenError(
                f'connect to {vm}', 'the node is not a member of the fleet'
            )
        link = PeerLink(
            self._membership.own.vm,
            member.host,
            member.peer_port,
            self._secret,
            self._clock,
            self._memory.bodies,
            self._memory.connections,
        )
        try:
            await link.start()
        except ChiveleadError:
            self._failed_at_ms[vm] = now_ms()
            raise
        return link

    async def _close_link(self, vm: str) -> None:
        link = self._links.pop(vm, None)
        if link is None:
            return
        if link.awaits_replies:
            self._silent_links.append(link)
        else:
            await self._retire(link)

    async def _close_idle_forever(self) -> None:
        while True:
            await asyncio.sleep(_IDLE_CHECK_PERIOD_S)
            oldest_use_ms = now_ms() - _IDLE_TIMEOUT_MS
            for vm, link in tuple(self._links.items()):
                idle = link.last_used_ms < oldest_use_ms and not link.in_flight
                if idle or not link.is_open:
                    await self._close_link(vm)
            await self._close_idle_large_links(oldest_use_ms)
            await self._close_silent_links()

    async def _close_silent_links(self) -> None:
        ended = [link for link in self._silent_links if not link.awaits_replies]
        for link in ended:
            self._silent_links.remove(link)
            await self._retire(link)

    async def _close_idle_large_links(self, oldest_use_ms: float) -> None:
        for vm, links in tuple(self._large_links.items()):
            expired = [
                link
                for link in links
                if link.last_used_ms < oldest_use_ms or not link.is_open
            ]
            for link in expired:
                links.remove(link)
                await self._retire(link)
            if not links:
                self._large_links.pop(vm, None)

    async def _reopen_forever(self) -> None:
        while True:
            await asyncio.sleep(_REOPEN_PERIOD_S)
            await asyncio.gather(
                *(self._reopen(vm) for vm in self._choose_failed()),
            )

    def _choose_failed(self) -> list[str]:
        """Return the failed links to reopen, those that failed first."""
        failed_vms = []
        for vm in sorted(
            self._failed_at_ms, key=self._failed_at_ms.__getitem__
        ):
            member = self._membership.find(vm)
            if member is None or not member.alive:
                self._failed_at_ms.pop(vm)
            else:
                failed_vms.append(vm)
        return failed_vms[:_MAX_REOPENED]

    async def _reopen(self, vm: str) -> None:
        try:
            await self._open(vm)
        except ChiveleadError as error:
            logger.debug('link to %s cannot be reopened: %s', vm, error)


def _withdraw(link: PeerLink, body: Any) -> None:
    """Cancel a call over its link, if that is still connected.

    A node that is silent reads this when it responds again.
    """
    if isinstance(body, CallRequest):
        link.send_nowait(CallCancel(body.attempt_id))
