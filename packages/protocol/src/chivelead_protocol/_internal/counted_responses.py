"""Client side of HTTP connections that are counted with what they hold."""

import asyncio
import functools
from typing import Any

import aiohttp

from chivelead_protocol._internal.bounded_responses import (
    BoundedResponseHandler,
)
from chivelead_protocol._internal.connection_memory import (
    ConnectionAccount,
    ConnectionMemory,
)
from chivelead_protocol._internal.edges import Edge
from chivelead_protocol._internal.unread_bodies import unread_body_bytes


class CountedResponseHandler(BoundedResponseHandler):
    """A connection that is counted with what it holds.

    Args:
        loop: Event loop.
        edge: Edge of the connection.
        memory: Counts what connections hold.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        edge: Edge,
        memory: ConnectionMemory,
    ) -> None:
        """Create a handler that the event loop will connect."""
        super().__init__(loop, memory.turns)
        self._edge = edge
        self._memory = memory
        self._account: ConnectionAccount | None = None
        self._counts_soon = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the memory of an open connection."""
        super().connection_made(transport)
        self._account = self._memory.open_account(
            self._edge, self._evict, self.may_be_closed
        )
        if self._account is None:
            self._evict()
        else:
            self._account.transport = transport

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes."""
        super().data_received(data)
        self._count_memory()

    def resume_reading(self, resume_parser: bool = True) -> None:  # noqa: FBT
        """Go on, as a part of a body was read."""
        super().resume_reading(resume_parser)
        if not self._counts_soon:
            self._counts_soon = True
            self._loop.call_soon(self._count_memory)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give the memory back."""
        if self._account is not None:
            self._account.close()
            self._account = None
        super().connection_lost(exc)

    def may_be_closed(self) -> bool:
        """Return whether closing the connection does no harm.

        By default it is kept; its pool closes it soon if it is idle.
        """
        return False

    def _evict(self) -> None:
        if self.may_be_closed():
            self.close()
        else:
            self.refuse('no memory left for the response')

    def _count_memory(self) -> None:
        """Count what was received and has not been read."""
        self._counts_soon = False
        if self._account is None:
            return
        held_bytes = self.framing_limit.cost_bytes()
        held_bytes += len(self._unparsed)
        body = self._payload
        if body is not None:
            held_bytes += unread_body_bytes(body)
        self._account.set_received(held_bytes, self.last_head_bytes)


def bounded_connector(
    edge: Edge, memory: ConnectionMemory, *, idle_timeout_s: float
) -> aiohttp.TCPConnector:
    """Return a connector for addresses of servers that may be faulty.

    Args:
        edge: Edge of the connections.
        memory: Counts what the connections hold.
        idle_timeout_s: Time until an idle connection is closed.
    """
    connector = aiohttp.TCPConnector(
        use_dns_cache=False,
        keepalive_timeout=idle_timeout_s,
        socket_factory=edge.open_socket,
    )
    make_connection: Any = functools.partial(
        CountedResponseHandler, asyncio.get_running_loop(), edge, memory
    )
    # There is no public way to choose the handler of the connections.
    connector._factory = make_connection  # noqa: SLF001
    return connector
