"""Links to other nodes, opened when they are needed."""

import asyncio
import contextlib
from typing import Any

from chivelead_coordination import Membership, Network
from chivelead_protocol import (
    ChiveleadError,
    HybridClock,
    LinkLostError,
    LinkNotOpenError,
    PeerLink,
    now_ms,
)

_IDLE_MS = 12_000
_PERIOD_S = 2.0
_RETRY_MS = 250.0


class LinkPool(Network):
    """Keep at most one open link to each node.

    Args:
        membership: Addresses of the nodes.
        secret: Secret of the fleet.
        clock: Clock of this process.
    """

    def __init__(
        self,
        membership: Membership,
        secret: bytes,
        clock: HybridClock,
    ) -> None:
        """Start with no links."""
        self.bytes_closed = 0
        self._membership = membership
        self._secret = secret
        self._clock = clock
        self._links: dict[str, PeerLink] = {}
        self._opening: dict[str, asyncio.Task[PeerLink]] = {}
        self._failed_ms: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def bytes_sent(self) -> int:
        """Return the bytes sent over all links so far."""
        open_bytes = sum(link.bytes_sent for link in self._links.values())
        return self.bytes_closed + open_bytes

    def is_failing(self, vm: str) -> bool:
        """Tell whether the last link was lost or could not be opened."""
        return vm in self._failed_ms

    async def start(self) -> None:
        """Begin to close idle links."""
        self._task = asyncio.create_task(self._close_idle_forever())

    async def close(self) -> None:
        """Close all links."""
        if self._task is not None:
            self._task.cancel()
        for link in tuple(self._links.values()):
            await link.close()

    async def request(self, vm: str, body: Any, timeout_ms: float) -> Any:
        """Send a message to a node and return the reply."""
        link = self._links.get(vm)
        if link is None or not link.is_open:
            link = await self._open(vm)
        try:
            return await link.request(body, timeout_ms)
        except LinkLostError:
            self._failed_ms[vm] = now_ms()
            raise

    async def send(self, vm: str, body: Any) -> None:
        """Send a message without a reply, if there is an open link."""
        link = self._links.get(vm)
        if link is not None and link.is_open:
            await link.send(body)

    async def introduce(self, host: str, port: int) -> str:
        """Open a link to an address and return the name of its node."""
        link = PeerLink(
            self._membership.own.vm,
            host,
            port,
            self._secret,
            self._clock,
        )
        await link.start()
        await self._drop(link.peer_vm)
        self._links[link.peer_vm] = link
        return link.peer_vm

    async def _open(self, vm: str) -> PeerLink:
        failed_ms = self._failed_ms.get(vm, -_RETRY_MS)
        if now_ms() - failed_ms < _RETRY_MS:
            raise LinkNotOpenError(f'connect to {vm}', 'it failed just now')
        opening = self._opening.get(vm)
        if opening is None:
            opening = asyncio.create_task(self._open_once(vm))
            self._opening[vm] = opening
            opening.add_done_callback(lambda _: self._opening.pop(vm, None))
        return await asyncio.shield(opening)

    async def _open_once(self, vm: str) -> PeerLink:
        member = self._membership.find(vm)
        if member is None:
            raise LinkNotOpenError(f'connect to {vm}', 'unknown node')
        link = PeerLink(
            self._membership.own.vm,
            member.host,
            member.peer_port,
            self._secret,
            self._clock,
        )
        try:
            await link.start()
        except ChiveleadError:
            self._failed_ms[vm] = now_ms()
            raise
        self._failed_ms.pop(vm, None)
        await self._drop(vm)
        self._links[vm] = link
        return link

    async def _drop(self, vm: str) -> None:
        link = self._links.pop(vm, None)
        if link is not None:
            self.bytes_closed += link.bytes_sent
            with contextlib.suppress(ChiveleadError):
                await link.close()

    async def _close_idle_forever(self) -> None:
        while True:
            await asyncio.sleep(_PERIOD_S)
            horizon_ms = now_ms() - _IDLE_MS
            for vm, link in tuple(self._links.items()):
                idle = link.last_used_ms < horizon_ms and not link.in_flight
                if idle or not link.is_open:
                    await self._drop(vm)
