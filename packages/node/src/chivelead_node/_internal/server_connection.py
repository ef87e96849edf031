"""Connections of an HTTP server that know which answers are due on them."""

import asyncio
import math
from collections.abc import Sequence
from typing import Any, cast

from aiohttp import HttpVersion11, web
from chivelead_protocol import loop_ms
from chivelead_protocol.bounds import release_frames

from chivelead_node._internal.caller_probe import CallerProbe
from chivelead_node._internal.connection_set import ServerConnections
from chivelead_node._internal.end_causes import EndCause
from chivelead_node._internal.expectations import may_await_continue
from chivelead_node._internal.lingering_transport import (
    LingeringTransport,
)
from chivelead_node._internal.request_reader import RequestReader

# A client that has read an answer with "Connection: close" closes soon after.
_LEAVING_MS = 1000.0
# A client that has just connected is about to send a request.
_MIN_IDLE_MS = 250.0
# A client that sends a request goes on sooner.
_MIN_STALLED_MS = 1000.0
# A client that does not read its answer is given up, if others need the memory.
_MAX_UNREAD_MS = 10_000.0
# Time to read what has arrived on a connection that seems to be idle.
_IDLE_CHECK_S = 0.05


class ServerConnection(RequestReader):
    """A connection that knows what is due on it.

    A request that was read ends with its answer, or with a cause.

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
        super().__init__(connections, manager, **options)
        self._asked_to_leave_ms = math.inf
        self._is_cut_recorded = False
        self._probe: CallerProbe | None = None

    @property
    def is_asked_to_leave(self) -> bool:
        """Return whether an answer has asked the client to close.

        No request after it may run (RFC 9112, section 9.6).
        """
        return self._asked_to_leave_ms < math.inf

    @property
    def is_leaving(self) -> bool:
        """Return whether the client is expected to close the connection."""
        asked_ago_ms = loop_ms() - self._asked_to_leave_ms
        return self.is_asked_to_leave and asked_ago_ms < _LEAVING_MS

    @property
    def input_ended(self) -> bool:
        """Return whether the client has closed its sending half."""
        transport = self._open_transport
        return transport is not None and transport.input_ended

    @property
    def has_unanswered_request(self) -> bool:
        """Return whether a request was read and its answer not written."""
        return bool(self._exchanges)

    def undelivered_bytes(self) -> int:
        """Return the bytes that the client has not acknowledged."""
        if self._open_transport is None:
            return 0
        return self._open_transport.undelivered_bytes()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to handle requests."""
        open_transport = LingeringTransport(
            cast('asyncio.Transport', transport)
        )
        self._open_transport = open_transport
        self._exchanges.note('opened')
        # Writing is paused whenever the kernel has not taken everything, so an
        # answer has been written once it is with the kernel.
        open_transport.set_write_buffer_limits(0)
        self._connections.add(self)
        super().connection_made(cast('asyncio.Transport', open_transport))
        self._account = self._connections.open_account(
            self._evict, self._is_expendable, self._may_be_cut
        )
        if self._account is None:
            self._refuse_for_memory()
        else:
            self._account.transport = transport

    async def start(self) -> None:
        """Handle the requests of the connection until it ends."""
        try:
            await super().start()
        except asyncio.CancelledError as error:
            # A frame of the base class holds the task that holds the error.
            release_frames(error)
            raise

    def eof_received(self) -> bool:  # type: ignore[override]
        """Handle the end of what the client sends.

        Returns:
            Whether to keep the connection, because answers are due on it.
        """
        transport = self._open_transport
        self._exchanges.note('input-ended')
        # What has arrived may complete a request.
        self._parse_some(math.inf)
        self._drop_incomplete()
        body = self._last_body
        is_whole = body is not None and body.is_eof()
        if transport is None or not is_whole or not self._exchanges:
            if self._exchanges:
                self._close_cause = EndCause.request_incomplete
            return False
        transport.input_ended = True
        self._probe = CallerProbe(self._send_probe)
        self._probe.start()
        return True

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; the last one ends the connection."""
        self._exchanges.begin_answer()
        is_last = not self._messages
        is_closing = is_last and self._connections.closing
        # After a final response in place of the interim one, the client may
        # send the body or the next request.
        must_close = may_await_continue(request) or (
            is_last and (self.input_ended or self._stopped_reading)
        )
        asks_to_leave = (
            is_closing and not must_close and _is_kept_alive(request, resp)
        )
        if must_close or is_closing:
            resp.force_close()
        was_upgraded = self._upgraded
        finished = await super().finish_response(request, resp, start_time)
        if was_upgraded:
            # The base class has declined the upgrade.
            self._wait_for_turn()
        _, is_cut = finished
        if is_cut:
            return finished
        if isinstance(resp, web.Response):
            # The base class keeps the response until the next request comes.
            resp.body = None
            resp.headers.clear()
        self._exchanges.finish()
        self._count_memory()
        if asks_to_leave:
            self._asked_to_leave_ms = min(self._asked_to_leave_ms, loop_ms())
            # The base class goes on with this connection.
            resp._keep_alive = True  # noqa: SLF001, WPS437
        if not resp.keep_alive:
            # The base class handles no more requests of this connection.
            self._exchanges.end_all(EndCause.behind_last_answer)
        if self.input_ended and not self._messages:
            # The input may have ended while the response was written.
            self.close()
        return finished

    def pass_on(self, vms: Sequence[str]) -> None:
        """Note that the request that is handled is passed on.

        Args:
            vms: VMs that it is sent to; the caller adds to them.
        """
        self._exchanges.pass_on(vms)

    def end_exchanges(self, cause: EndCause) -> None:
        """Record that the requests and answers that are due end here.

        Args:
            cause: Why they end.
        """
        undelivered_bytes = self.undelivered_bytes()
        if self._exchanges:
            # Some may still be answered; the end of the connection is near.
            self._exchanges.record_all(
                cause,
                client=self.client,
                undelivered_bytes=undelivered_bytes,
            )
        elif undelivered_bytes and not self._is_cut_recorded:
            self._is_cut_recorded = True
            self._exchanges.record_cut_answer(
                cause,
                client=self.client,
                undelivered_bytes=undelivered_bytes,
            )

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Close the connection, since the node stops."""
        self._close_cause = EndCause.node_stopped
        await super().shutdown(timeout)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop handling requests."""
        self._connections.discard(self)
        if self._account is not None:
            self._account.close()
            self._account = None
        if self._probe is not None:
            self._probe.close()
            # It refers to this connection, which would live on until the next
            # garbage collection.
            self._probe = None
        cause = self._close_cause or self._find_cause(exc)
        # A client that has gone lacks what it did not acknowledge.
        if self._exchanges or cause is EndCause.answer_not_read:
            self.end_exchanges(cause)
        if self._open_transport is not None:
            self._open_transport.release()
            self._open_transport = None
        super().connection_lost(exc)
        # These refer to this connection; on uvloop, also a cancelled timer.
        self._keepalive_handle = None
        self._last_body = None
        self._chunked_body = None

    def _is_expendable(self) -> bool:
        """Return whether the connection can be closed for another one.

        Nothing is due on it, and nothing has arrived for some time.
        """
        account = self._account
        if account is None or self._exchanges.has_whole_request:
            return False
        if self._waits_for_turn and not self._exchanges:
            # What waits to be parsed may be a whole request.
            return False
        is_idle = not (self._exchanges or account.received_bytes)
        limit_ms = _MIN_IDLE_MS if is_idle else _MIN_STALLED_MS
        silent_ms = loop_ms() - account.last_active_ms
        if silent_ms <= limit_ms:
            return False
        return silent_ms > _MAX_UNREAD_MS or not self.undelivered_bytes()

    def _may_be_cut(self) -> bool:
        """Return whether closing the connection loses no whole request.

        On one that is idle, a request may be on its way.
        """
        account = self._account
        if account is not None and not account.received_bytes:
            return account.is_expendable()
        return not self._exchanges.has_whole_request

    def _evict(self) -> None:
        """Close the connection, since there is no memory left for it."""
        is_idle = self._account is None or not self._account.received_bytes
        if is_idle and self._open_transport is not None:
            if self.undelivered_bytes():
                self._close_cause = EndCause.answer_not_read
                self._open_transport.abort()
            else:
                self._open_transport.close_delivered()
            return
        self._close_cause = EndCause.memory
        self._refuse_for_memory()

    def _refuse_for_memory(self) -> None:
        """Reset the connection."""
        self._connections.record_refused(
            self.last_request_id,
            self.client,
            f'no memory left: {self._connections.describe_memory()}',
        )
        if self._open_transport is not None:
            self._open_transport.abort()

    def _send_probe(self) -> bool:
        """Send the client a part of the answer that is due.

        Returns:
            Whether there are more parts that can be sent before it is known.
        """
        transport = self._open_transport
        if transport is None:
            return False
        if self._current_request is None or self._exchanges.is_answering:
            return True
        return transport.write_early()

    def _find_cause(self, error: BaseException | None) -> EndCause:
        """Return why a connection ended that this node did not close."""
        transport = self._open_transport
        if transport is not None and transport.given_up_bytes:
            return EndCause.answer_not_read
        if isinstance(error, OSError):
            return EndCause.caller_reset
        return EndCause.unlisted

    def _process_keepalive(self) -> None:
        """Close an idle connection after a last look at what has arrived.

        After a pause of the process, timers may run before anything is read.
        """
        self._keepalive_handle = self._loop.call_later(
            _IDLE_CHECK_S, self._close_if_idle
        )

    def _close_if_idle(self) -> None:
        if self._waits_for_turn:
            self._process_keepalive()
        else:
            RequestReader._process_keepalive(self)


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


def pass_on(request: web.BaseRequest, vms: Sequence[str]) -> None:
    """Note on the connection of a request that it is passed on.

    Args:
        request: Request that is handled.
        vms: VMs that it is sent to; the caller adds to them.
    """
    connection = request.protocol
    if isinstance(connection, ServerConnection):
        connection.pass_on(vms)


def is_asked_to_leave(request: web.BaseRequest) -> bool:
    """Return whether a request came after the last answer of its connection."""
    connection = request.protocol
    return (
        isinstance(connection, ServerConnection)
        and connection.is_asked_to_leave
    )


def _is_kept_alive(
    request: web.BaseRequest, response: web.StreamResponse
) -> bool:
    """Return whether both sides would keep the connection."""
    return (
        request.version >= HttpVersion11
        and request.keep_alive
        and response.keep_alive is not False
    )
