"""Connections of an HTTP server, and the answers that are due on them."""

import asyncio
from typing import Any, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from chivelead_protocol import undelivered_bytes

from chivelead_node._internal.events import EventLog


class ServerConnections:
    """The open connections of an HTTP server.

    Args:
        events: Event log.

    Attributes:
        closing: Whether each connection is closed after the answers that are
            due on it.
    """

    def __init__(self, events: EventLog) -> None:
        """Create an empty set."""
        self.closing = False
        self._events = events
        self._connections: set[ServerConnection] = set()

    def add(self, connection: 'ServerConnection') -> None:
        """Add a connection that was accepted."""
        self._connections.add(connection)

    def discard(
        self, connection: 'ServerConnection', error: BaseException | None
    ) -> None:
        """Remove a connection that has ended; log an answer that it cut off."""
        self._connections.discard(connection)
        if connection.has_unsent_answer:
            self._events.record_decision(
                'failed',
                'answer-cut',
                '',
                client=connection.client,
                error=repr(error) if error else 'closed',
            )

    def count_unanswered(self) -> int:
        """Return the connections with a request that is not answered."""
        return sum(
            connection.has_unanswered_request
            for connection in self._connections
        )

    def undelivered_bytes(self) -> int:
        """Return the bytes of answers that no reader has acknowledged."""
        return sum(
            connection.undelivered_bytes() for connection in self._connections
        )


class ServerConnection(RequestHandler):
    """A connection that knows what is due on it.

    Args:
        connections: Set that the connection belongs to while it is open.
        manager: Server that accepted the connection.
        options: Options of the base class.
    """

    def __init__(
        self,
        connections: ServerConnections,
        manager: web.Server,
        **options: Any,
    ) -> None:
        """Create a handler that the event loop will connect."""
        super().__init__(manager, **options)
        self._connections = connections
        self._open_transport: asyncio.Transport | None = None

    @property
    def client(self) -> str:
        """Return the address of the client, for log messages."""
        return str(self.peername)

    @property
    def has_unanswered_request(self) -> bool:
        """Return whether a request was read and its answer not written."""
        return self._waiter is None or bool(self._messages)

    @property
    def has_unsent_answer(self) -> bool:
        """Return whether the kernel has not taken all of an answer yet."""
        return self.writing_paused

    def undelivered_bytes(self) -> int:
        """Return the bytes that the client has not acknowledged."""
        if self._open_transport is None:
            return 0
        return undelivered_bytes(self._open_transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to handle requests."""
        open_transport = cast('asyncio.Transport', transport)
        self._open_transport = open_transport
        # Writing is paused whenever the kernel has not taken everything, so an
        # answer has been written once it is with the kernel.
        open_transport.set_write_buffer_limits(0)
        self._connections.add(self)
        super().connection_made(transport)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; the last one closes the connection."""
        if self._connections.closing and not self._messages:
            resp.force_close()
        return await super().finish_response(request, resp, start_time)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop handling requests."""
        self._connections.discard(self, exc)
        self._open_transport = None
        super().connection_lost(exc)


class ConnectionServer(web.Server):
    """Server whose connections are in a set.

    Args:
        request_handler: Handles a request and returns the response.
        connections: Set of the open connections.
        options: Options of each connection.
    """

    def __init__(
        self,
        request_handler: Any,
        connections: ServerConnections,
        **options: Any,
    ) -> None:
        """Create a server that is not listening."""
        super().__init__(request_handler, **options)
        self._connection_set = connections

    def __call__(self) -> ServerConnection:
        """Return the handler of a new connection."""
        return ServerConnection(
            self._connection_set, self, loop=self._loop, **self._kwargs
        )
