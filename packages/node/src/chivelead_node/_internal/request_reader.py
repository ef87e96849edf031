"""Reading of requests on a connection of an HTTP server."""

import itertools
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, _ErrInfo
from chivelead_protocol.bounds import (
    FREE_BYTES,
    TURN_BYTES,
    ConnectionAccount,
    FramingLimit,
    count_field_lines,
    release_frames,
    shorten,
    unread_body_bytes,
)

from chivelead_node._internal.connection_set import ServerConnections
from chivelead_node._internal.end_causes import EndCause
from chivelead_node._internal.exchanges import ExchangeQueue
from chivelead_node._internal.lingering_transport import (
    LingeringTransport,
)
from chivelead_node._internal.message_ends import ReceivedBytes

_BAD_REQUEST = 400
_HEADERS_TOO_LARGE = 431
_HEAD_REFUSAL = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
# A client that sends more after its request was refused may never stop.
_MAX_IGNORED_BYTES = 1_048_576
# A parser that is paused keeps the rest of what it was given.
_MAX_PART_BYTES = 16_384
_MIN_PART_COST_BYTES = 64
# Memory for the objects of a request that is queued or being handled, besides
# its head.
_HEAD_BYTES = 4096
# Message of the error of aiohttp, which has no type of its own.
_TOO_MANY_HEADERS = 'Too many headers received'


class RequestReader(RequestHandler):
    """A connection that begins an exchange for each request that it reads.

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
        self._exchanges = ExchangeQueue(connections.ends)
        # Why this node closes the connection, if it does.
        self._close_cause: EndCause | None = None
        self._open_transport: LingeringTransport | None = None
        self._last_body: StreamReader | None = None
        # Nothing more is read on this connection.
        self._stopped_reading = False
        # Requests that the base class has counted, and that have an exchange.
        self._begun_count = 0
        self._received = ReceivedBytes()
        self._unparsed = b''
        self._waits_for_turn = False
        self._counts_soon = False
        # Whether a body has paused the parser, which notices it only when the
        # next part of a body comes.
        self._parser_may_stop = False
        # Of a body whose length is known; the parser may not have it yet.
        self._body_left_bytes = 0
        self._chunked_body: StreamReader | None = None
        # What was received is no request.
        self._has_refused = False
        self._ignored_bytes = 0
        self._framing_limit = FramingLimit()
        # None before the connection is open.
        self._account: ConnectionAccount | None = None
        self._last_head_bytes = 0
        self._largest_head_bytes = 0
        self._auto_decompress = bool(options.get('auto_decompress', True))

    @property
    def last_request_id(self) -> str:
        """Return the ID of the request that was answered last."""
        return self._exchanges.last_request_id

    @property
    def client(self) -> str:
        """Return the address of the client, for log messages."""
        return str(self.peername)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; ignore those after the last request.

        If the parser finds an error, it drops the requests before it in the
        same bytes.  So it gets no more than one message at a time.
        """
        if not data:
            # The parser goes on with bytes that it has kept.
            self._parse(data)
        if self._is_ignoring():
            data = self._unparsed + data  # noqa: WPS110
            self._unparsed = b''
            self._ignore(len(data))
            return
        self._unparsed += data
        if not self._waits_for_turn:
            self._parse_some(FREE_BYTES)
        self._count_memory()

    def pause_reading(self) -> None:
        """Stop parsing, as much of a body is not read."""
        self._parser_may_stop = True
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:  # noqa: FBT
        """Go on, as a part of a body was read."""
        # A body calls this for each of its pieces.
        if self._reading_paused:
            super().resume_reading(resume_parser)
        if not self._counts_soon:
            self._counts_soon = True
            self._loop.call_soon(self._count_memory)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that failed or is not valid."""
        if isinstance(exc, web.RequestPayloadError):
            status, message = _BAD_REQUEST, 'the body of the request is invalid'
        elif not isinstance(exc, HttpProcessingError):
            self._exchanges.record_failure(
                EndCause.handler_failed, client=self.client, error=repr(exc)
            )
            failure = super().handle_error(request, status, exc, message)
            # The base class would drop the requests behind this one.
            failure._keep_alive = None  # noqa: SLF001, WPS437
            return failure
        response = web.Response(status=status, text=message)
        response.force_close()
        return response

    def _count_memory(self) -> None:
        """Count what was received and has not been read or answered."""
        self._counts_soon = False
        account = self._account
        if account is None:
            return
        head_count = len(self._exchanges)
        kept_bytes = 0
        if not head_count:
            # The base class keeps the last request until the next one comes.
            kept_bytes = self._last_head_bytes
        head_bytes = _HEAD_BYTES + self._largest_head_bytes
        held_bytes = (
            head_count * head_bytes
            + self._framing_limit.cost_bytes()
            + len(self._unparsed)
        )
        body = self._last_body
        if body is not None:
            held_bytes += unread_body_bytes(body)
        if self._is_parsing_paused():
            # The parser may keep what it was given last.
            held_bytes += _MAX_PART_BYTES
        account.set_received(held_bytes, kept_bytes)

    def _parse_some(self, limit_bytes: float) -> None:
        """Parse what was received, up to a limit; wait for a turn for the rest.

        Bodies with a length do not count, as they are not in pieces.

        Args:
            limit_bytes: Limit on the bytes to parse.
        """
        unparsed = self._unparsed
        while unparsed and not self._is_parsing_paused():
            if limit_bytes <= 0:
                self._wait_for_turn()
                break
            is_sized = self._body_left_bytes > 0
            part = unparsed[: _MAX_PART_BYTES if is_sized else FREE_BYTES]
            part = part[: self._find_part(part)]
            if not is_sized:
                limit_bytes -= max(len(part), _MIN_PART_COST_BYTES)
            self._parse(part)
            unparsed = unparsed[len(part) :]
        self._unparsed = unparsed
        if self._waits_for_decline():
            self._pause_transport_reading()

    def _wait_for_turn(self) -> None:
        if self._waits_for_turn:
            return
        self._waits_for_turn = True
        self._pause_transport_reading()
        self._connections.turns.wait(self._take_turn)

    def _take_turn(self) -> None:
        """Parse a part of what has been received."""
        self._waits_for_turn = False
        if self.transport is None:
            return
        self._parse_some(TURN_BYTES)
        self._count_memory()
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Read on, unless what was received waits to be parsed."""
        if not self._waits_for_turn and not self._waits_for_decline():
            super()._resume_transport_reading()

    def _is_parsing_paused(self) -> bool:
        """Return whether the parser is to get no bytes until some are read."""
        return (
            self._reading_paused
            # The base class would parse the rest at once, behind its messages.
            or self._upgraded
            or len(self._messages) >= self._max_msg_queue_size
        )

    def _waits_for_decline(self) -> bool:
        """Return whether requests wait behind one that asks for an upgrade."""
        return self._upgraded and bool(self._unparsed)

    def _is_ignoring(self) -> bool:
        """Return whether nothing more of what is received is parsed."""
        transport = self._open_transport
        is_lingering = transport is not None and transport.is_lingering
        return is_lingering or self._stopped_reading

    def _find_part(self, unparsed: bytes) -> int:
        """Return how many bytes surely belong to one message."""
        body_left = self._body_left_bytes
        if not body_left:
            return self._received.find_end(unparsed)
        part_length = min(body_left, len(unparsed))
        self._body_left_bytes = body_left - part_length
        return part_length

    def _parse(self, part: bytes) -> None:
        """Parse received bytes; ignore those after the last request."""
        if self._is_ignoring():
            self._ignore(len(part))
            return
        self._received.append(part)
        queued = len(self._messages)
        body = self._last_body
        known_bytes = 0 if body is None else body.total_bytes
        RequestHandler.data_received(self, part)
        if self._parser_may_stop and not self._is_parsing_paused():
            # It may have stopped for a pause that is over.
            RequestHandler.data_received(self, b'')
        body_bytes = 0 if body is None else body.total_bytes - known_bytes
        self._handle_parsed(queued, part, body_bytes)

    def _drop_incomplete(self) -> None:
        """Drop a request that waits behind others and will never be whole."""
        body = self._last_body
        has_others = self._waiter is None or len(self._messages) > 1
        if body is None or body.is_eof() or not has_others:
            return
        if self._messages:
            self._messages.pop()
            self._exchanges.end_last(EndCause.request_incomplete)
            self._last_body = EMPTY_PAYLOAD

    def _begin_exchanges(self) -> None:
        """Begin the exchanges of the requests that were parsed."""
        new_count = self._request_count - self._begun_count
        self._begun_count = self._request_count
        known_count = len(self._messages) - new_count
        for message, body in itertools.islice(
            self._messages, known_count, None
        ):
            if not isinstance(message, _ErrInfo):
                request_id = message.headers.get(
                    self._connections.request_id_header, ''
                )
                self._exchanges.begin(request_id, body)

    def _handle_parsed(self, queued: int, part: bytes, body_bytes: int) -> None:
        """Handle what the parser has found in received bytes.

        Args:
            queued: Number of requests in the queue before.
            part: Received bytes.
            body_bytes: Number of them that belong to the body that was read.
        """
        self._begin_exchanges()
        received_bytes = len(part)
        line_count = count_field_lines(part, body_bytes)
        if len(self._messages) > queued:
            message, body = self._messages[-1]
            if isinstance(message, _ErrInfo):
                self._refuse_invalid(message)
                return
            self._last_body = body
            self._last_head_bytes = self._framing_limit.cost_bytes(
                received_bytes - body_bytes, line_count
            )
            is_only = len(self._exchanges) <= 1
            self._largest_head_bytes = max(
                0 if is_only else self._largest_head_bytes,
                self._last_head_bytes,
            )
            length = message.headers.get('Content-Length', 0)
            self._body_left_bytes = int(length)
            self._framing_limit.reset()
            received_bytes = 0
        self._find_trailers(queued)
        last_body = self._last_body
        in_body = last_body is not None and not last_body.is_eof()
        if not self._framing_limit.record(
            received_bytes, body_bytes, line_count, in_body=in_body
        ):
            self._refuse_framing()

    def _find_trailers(self, queued: int) -> None:
        """Replace the parser if the bytes just parsed may contain trailers.

        Args:
            queued: Number of requests in the queue before they were parsed.
        """
        bodies = [self._chunked_body]
        for message, payload in itertools.islice(self._messages, queued, None):
            is_chunked = getattr(message, 'chunked', False)
            bodies.append(payload if is_chunked else None)
        self._chunked_body = bodies[-1]
        for index, body in enumerate(bodies, start=1):
            if body is None or not body.is_eof():
                continue
            unread = len(bodies) - index
            # The parser may hold the start of a request behind the body.
            if unread or not self._received.ends_with_empty_line:
                self._stop_reading(unread)
                return
            if not self._received.end_without_trailers:
                self._renew_parser()
            self._chunked_body = None

    def _renew_parser(self) -> None:
        """Replace the parser, which would add trailers to the next request."""
        self._parser = HttpRequestParser(
            self,
            self._loop,
            self._read_bufsize,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=self._auto_decompress,
            max_msg_queue_size=self._max_msg_queue_size,
        )

    def _refuse_invalid(self, invalid: _ErrInfo) -> None:
        """Stop reading, since what was received is no request.

        Args:
            invalid: Error of the last message.
        """
        status = invalid.status
        is_too_large = isinstance(invalid.exc, LineTooLong)
        if is_too_large or invalid.message == _TOO_MANY_HEADERS:
            status = _HEADERS_TOO_LARGE
        # The error holds what was received, and this connection the error.
        release_frames(invalid.exc)
        message = shorten(invalid.message)
        error = HttpProcessingError(code=status, message=message)
        self._messages.pop()
        body = self._last_body
        self._last_body = EMPTY_PAYLOAD
        if body is None or body.is_eof():
            refusal = _ErrInfo(status, error, message)
            self._messages.append((refusal, EMPTY_PAYLOAD))
            self._exchanges.begin('', EMPTY_PAYLOAD)
        else:
            self._fail_body(body, message)
        self._stop_receiving(message)

    def _refuse_framing(self) -> None:
        """Refuse a request whose head, chunk size or trailers have no end."""
        body = self._last_body
        if body is not None and not body.is_eof():
            self._fail_body(body, 'the framing of the body has no end')
        elif not self._exchanges and self.transport is not None:
            self.transport.write(_HEAD_REFUSAL)
            self.force_close()
        self._stop_receiving('framing has no end')

    def _fail_body(self, body: StreamReader, why: str) -> None:
        """End a body of which no more can be read."""
        if self._exchanges:
            body.set_exception(web.RequestPayloadError(why))
        else:
            self.close()
            body.feed_eof()

    def _stop_receiving(self, why: str) -> None:
        """Ignore all that follows and, until the answer, do not read it."""
        self._has_refused = True
        self._stopped_reading = True
        self._connections.record_refused(self.last_request_id, self.client, why)
        self._pause_transport_reading()

    def _ignore(self, received_bytes: int) -> None:
        """Reset the connection if a client that was refused sends on."""
        if not received_bytes:
            return
        if not self._ignored_bytes:
            self._exchanges.note('input-ignored')
            self._connections.record_ignored(self.last_request_id, self.client)
        self._ignored_bytes += received_bytes
        is_over = self._ignored_bytes > _MAX_IGNORED_BYTES
        if is_over and self._has_refused and self._open_transport is not None:
            self._close_cause = EndCause.input_refused
            self._open_transport.abort()

    def _stop_reading(self, unread: int) -> None:
        """Close the connection after the responses to some of the requests."""
        self._stopped_reading = True
        for _ in range(unread):
            self._messages.pop()
            self._exchanges.end_last(EndCause.behind_last_answer)
        if not self._messages:
            self.close()
