"""Pool of keep-alive connections to one target.

Each connection carries one request at a time.  The client session of aiohttp
takes more CPU time per call than all decisions of the node, such as routing and
admission, together.  This module therefore uses only the connection handler and
the parser of aiohttp, and writes each request in a single call.
"""

import asyncio
import collections
import re

import aiohttp
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from chivelead_protocol import LARGE_FRAME_BYTES, Headers, loop_ms
from chivelead_protocol.bounds import (
    ConnectionMemory,
    CountedResponseHandler,
    edges,
)

from chivelead_node._internal.message_ends import ReceivedBytes

# The connection is paused when twice as much has not been read.
_READ_BUFFER_BYTES = 32_768
# The shortest common default among HTTP servers, for targets that send no
# Keep-Alive timeout.
_DEFAULT_IDLE_TIMEOUT_MS = 5000.0
# Stops reuse before the target closes the idle connection, because a request
# written at that moment is lost.
_IDLE_MARGIN_MS = 1000.0
_MAX_HEAD_LINE_BYTES = 65_536
_MAX_HEADERS = 4096
_MAX_INFORMATIONAL_RESPONSES = 8
# A request that is abandoned earlier says nothing about its connection.
_MIN_SILENCE_MS = 250.0
_MS_PER_S = 1000
# In a header or a reason phrase, the start of a response that follows one whose
# head was cut off.
_STATUS_LINE = re.compile(r'HTTP/1\.\d \d{3}')
_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH', 'DELETE'))


class TargetConnection(CountedResponseHandler):
    """A connection that reports responses that are cut off as errors.

    For a body without a length, aiohttp treats the end of the connection as
    the end of the body, even if the connection was reset.  A head that is cut
    off and the head that follows it are one head to aiohttp, with the status of
    the first and the request ID of the second.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, memory: ConnectionMemory
    ) -> None:
        """Create a handler that the event loop will connect."""
        super().__init__(loop, edges.TARGET, memory)
        self.last_active_ms = 0.0
        self.idle_since_ms = 0.0
        self.idle_timeout_ms = _DEFAULT_IDLE_TIMEOUT_MS
        self._is_idle = False
        self._received = ReceivedBytes()
        self._is_chunked = False

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes, which belong to no request if it is idle."""
        self.last_active_ms = loop_ms()
        if self._is_idle and data:
            self.abort()
            return
        self._received.append(data)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that is still being read if the connection broke."""
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            body.set_exception(
                aiohttp.ClientPayloadError('connection was reset')
            )
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection; drop what the target has not read."""
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()

    def prepare_for_responses(self, *, has_body: bool) -> None:
        """Configure the parser for the lifetime of the connection.

        Because the parser is never replaced, unexpected bytes after a response
        are found in its buffer before the next request is written.

        Args:
            has_body: False for responses to HEAD.
        """
        self.set_response_params(
            skip_payload=not has_body,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=_READ_BUFFER_BYTES,
            max_line_size=_MAX_HEAD_LINE_BYTES,
            max_field_size=_MAX_HEAD_LINE_BYTES,
            max_headers=_MAX_HEADERS,
        )

    def write(self, head: bytes, body: bytes) -> None:
        """Write an encoded request.

        Raises:
            ClientConnectionError: The connection is closed.
        """
        if self.transport is None:
            raise aiohttp.ClientConnectionError(
                'connection was closed before the request'
            )
        self.framing_limit.reset()
        self._is_idle = False
        self.last_active_ms = loop_ms()
        if len(body) <= LARGE_FRAME_BYTES:
            self.transport.write(head + body)
            return
        self.transport.write(head)
        self.transport.write(body)

    def mark_idle(self, idle_timeout_ms: float) -> None:
        """Note that the response is complete; any more bytes belong to none.

        Args:
            idle_timeout_ms: Time until the target may close the connection.
        """
        self._is_idle = True
        if self._is_chunked and not self._received.end_without_trailers:
            self.force_close()
        self.idle_since_ms = loop_ms()
        self.idle_timeout_ms = idle_timeout_ms
        self._count_memory()

    async def read_response(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head and body of the next response, skipping 1xx.

        Raises:
            ClientPayloadError: There are too many informational responses, or
                the head contains the start of another response.
        """
        for _ in range(_MAX_INFORMATIONAL_RESPONSES + 1):
            response_head, body = await self.read()
            if _contains_another_head(response_head):
                raise aiohttp.ClientPayloadError(
                    'the head contains the start of another response'
                )
            if response_head.code >= 200:  # noqa: WPS432
                self._is_chunked = response_head.chunked
                return response_head, body
        raise aiohttp.ClientPayloadError('informational responses have no end')

    def may_be_closed(self) -> bool:
        """Return whether the connection carries no request."""
        return self._is_idle

    def is_reusable(self) -> bool:
        """Return whether another request may be written."""
        if self.should_close or not self.is_connected():
            return False
        # The target has responded before it read the whole request.
        if self.transport is None or self.transport.get_write_buffer_size():
            return False
        return loop_ms() - self.idle_since_ms < self.idle_timeout_ms


class TargetConnectionPool:
    """Connections to one address; the most recently used is reused first.

    Args:
        host: IP address of the target.
        port: Port of the target.
        memory: Counts what the connections hold.
    """

    def __init__(self, host: str, port: int, memory: ConnectionMemory) -> None:
        """Create an empty pool."""
        self._address = (host, port)
        self._memory = memory
        self._idle: collections.deque[TargetConnection] = collections.deque()
        self._is_closed = False

    def close(self) -> None:
        """Close idle connections now, and busy ones when they are released."""
        self._is_closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close idle connections; later requests use new ones."""
        while self._idle:
            self._idle.pop().close()

    async def acquire(self, *, has_body: bool) -> TargetConnection:
        """Return an idle connection or open a new one.

        Args:
            has_body: False for HEAD requests; their connection is new and is
                not reused.

        Raises:
            OSError: The target cannot be reached.
        """
        while self._idle and has_body:
            connection = self._idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        connection = await edges.TARGET.connect(
            lambda: TargetConnection(loop, self._memory), *self._address
        )
        connection.prepare_for_responses(has_body=has_body)
        if not has_body:
            connection.force_close()
        return connection

    def release(
        self,
        connection: TargetConnection,
        idle_timeout_ms: float,
    ) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        Args:
            connection: Connection whose response is complete.
            idle_timeout_ms: Idle timeout sent by the target; zero if unknown.
        """
        connection.mark_idle(
            (idle_timeout_ms or _DEFAULT_IDLE_TIMEOUT_MS) - _IDLE_MARGIN_MS
        )
        if self._is_closed or not connection.is_reusable():
            connection.close()
            return
        self._idle.append(connection)
        # The connection that has been idle longest expires first.
        if not self._idle[0].is_reusable():
            self._idle.popleft().close()

    def abandon(self, connection: TargetConnection) -> None:
        """Close a connection whose request is given up.

        If it was silent, the idle connections that have not been heard from
        since may be silent too, so they are closed as well.
        """
        connection.abort()
        silent_since_ms = connection.last_active_ms
        if loop_ms() - silent_since_ms < _MIN_SILENCE_MS:
            return
        # The connection that has been idle longest is the first.
        while self._idle and self._idle[0].idle_since_ms < silent_since_ms:
            self._idle.popleft().close()


def _contains_another_head(response_head: RawResponseMessage) -> bool:
    if _STATUS_LINE.search(response_head.reason):
        return True
    return any(map(_STATUS_LINE.search, response_head.headers.values()))


def encode_head(
    method: str,
    path: str,
    headers: Headers,
    body_bytes: int,
) -> bytes:
    """Encode the head of a request.

    Args:
        method: HTTP method.
        path: Encoded path and query string.
        headers: All headers except Content-Length; must include Host.
        body_bytes: Size of the request body.

    Raises:
        ValueError: A header or the path contains a line break.
    """
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {header_value}' for name, header_value in headers)
    if body_bytes or method in _METHODS_WITH_BODY:
        lines.append(f'Content-Length: {body_bytes}')
    head = '\r\n'.join(lines)
    if head.count('\n') >= len(lines):
        raise ValueError('a header contains a line break')
    return f'{head}\r\n\r\n'.encode('utf-8', 'surrogateescape')


def keep_alive_timeout_ms(headers: Headers) -> float:
    """Return the timeout from the Keep-Alive header; zero if there is none."""
    for name, header_value in headers:
        if name.lower() != 'keep-alive':
            continue
        for parameter in header_value.split(','):
            key, _, seconds = parameter.strip().partition('=')
            if key.lower() == 'timeout' and seconds.isdigit():
                return float(seconds) * _MS_PER_S
    return 0
