"""Kept connections to one target, one request at a time on each.

A client session of the HTTP library spends more processor time on a call than
all decisions of a node together.  Its connection handler and its parser alone
do the work here; the request is written in one piece.
"""

import asyncio
import collections

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader
from chivelead_protocol import Headers, loop_ms

# Answers up to this size are taken in without pausing the connection.
_READ_BUFFER_BYTES = 1_048_576
# Targets name their idle timeout; without one this is the shortest common
# default of HTTP servers.
_DEFAULT_IDLE_TIMEOUT_MS = 5000.0
# A request that is written while the target closes an idle connection is lost.
_IDLE_MARGIN_MS = 1000.0
_MAX_HEAD_LINE_BYTES = 65_536
_MS_PER_S = 1000
_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH', 'DELETE'))


class TargetConnection(ResponseHandler):
    """A connection on which answers that a reset has cut are not whole.

    The library takes the end of a connection for the end of a body without a
    length, whether the connection was closed or reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Prepare; the loop connects it."""
        super().__init__(loop)
        self.idle_since_ms = 0.0
        self.idle_timeout_ms = _DEFAULT_IDLE_TIMEOUT_MS

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is under way, unless it ends in order."""
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError('reset'))
        super().connection_lost(exc)

    def prepare_for_responses(self, *, has_body: bool) -> None:
        """Prepare for answers.

        One parser serves the connection for good, so bytes that follow an
        answer are found in the buffer before the next request is written.

        Args:
            has_body: False for answers to HEAD.
        """
        self.set_response_params(
            skip_payload=not has_body,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=_READ_BUFFER_BYTES,
            max_line_size=_MAX_HEAD_LINE_BYTES,
            max_field_size=_MAX_HEAD_LINE_BYTES,
        )

    def write(self, raw: bytes) -> None:
        """Send bytes of a request.

        Raises:
            ClientConnectionError: The connection is closed.
        """
        if self.transport is None:
            raise aiohttp.ClientConnectionError('closed before the request')
        self.transport.write(raw)

    async def read_response(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the head of the next final answer, and its body."""
        while True:
            response_head, body = await self.read()
            if response_head.code >= 200:  # noqa: WPS432
                return response_head, body

    def is_reusable(self) -> bool:
        """Tell whether another request may be written."""
        if self.should_close or not self.is_connected():
            return False
        return loop_ms() - self.idle_since_ms < self.idle_timeout_ms


class TargetConnectionPool:
    """Idle connections to one address; the one used last goes first.

    Args:
        host: IP number of the target.
        port: Its port.
    """

    def __init__(self, host: str, port: int) -> None:
        """Start without connections."""
        self._address = (host, port)
        self._idle: collections.deque[TargetConnection] = collections.deque()
        self._is_closed = False

    def close(self) -> None:
        """Close idle connections now, and those in use after their answer."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    async def acquire(self, *, has_body: bool) -> TargetConnection:
        """Return an idle connection, or a new one.

        Args:
            has_body: False for a request whose answer has no body; such a
                connection is used once.

        Raises:
            OSError: The target cannot be reached.
        """
        while self._idle and has_body:
            connection = self._idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: TargetConnection(loop),
            *self._address,
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
        """Keep a connection for the next request, if it can serve one.

        Args:
            connection: One that has had its whole answer.
            idle_limit_ms: Idle time that the target allows; zero if unknown.
        """
        connection.idle_since_ms = loop_ms()
        connection.idle_timeout_ms = (
            idle_timeout_ms or _DEFAULT_IDLE_TIMEOUT_MS
        ) - _IDLE_MARGIN_MS
        if self._is_closed or not connection.is_reusable():
            connection.close()
            return
        self._idle.append(connection)
        # The one that has waited longest goes as its time ends.
        if not self._idle[0].is_reusable():
            self._idle.popleft().close()


def encode_request(
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
) -> bytes:
    """Return the bytes of a request.

    Args:
        method: HTTP method.
        path: Path and query, encoded.
        headers: All headers but the length; one of them is the host.
        body: Whole body.

    Raises:
        ValueError: A header would end its line.
    """
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {header_value}' for name, header_value in headers)
    if body or method in _METHODS_WITH_BODY:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines)
    if head.count('\n') >= len(lines):
        raise ValueError('a header holds a line break')
    return f'{head}\r\n\r\n'.encode('utf-8', 'surrogateescape') + body


def keep_alive_timeout_ms(headers: Headers) -> float:
    """Return the idle time that an answer promises; zero if it names none."""
    for name, header_value in headers:
        if name.lower() != 'keep-alive':
            continue
        for parameter in header_value.split(','):
            key, _, seconds = parameter.strip().partition('=')
            if key.lower() == 'timeout' and seconds.isdigit():
                return float(seconds) * _MS_PER_S
    return 0
