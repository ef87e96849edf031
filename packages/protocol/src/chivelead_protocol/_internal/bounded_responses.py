"""Client side of HTTP connections, with limits on what a server may send."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from chivelead_protocol._internal.errors_without_frames import (
    release_frames,
    shorten,
)
from chivelead_protocol._internal.framing_limit import FramingLimit

# More than any reader skips: informational responses and those to earlier
# requests.
_MAX_UNREAD_RESPONSES = 12
_FIRST_FINAL_STATUS = 200


class BodyTooLargeError(aiohttp.ClientPayloadError):
    """The body of a response is larger than its limit."""


class BoundedResponseHandler(ResponseHandler):
    """A connection that a server cannot fill with bytes that nobody reads.

    Bodies are limited by their readers: the connection is paused while one is
    not read.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a handler that the event loop will connect."""
        super().__init__(loop)
        self.framing_limit = FramingLimit()
        self._new_bodies: list[StreamReader] = []

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes; fail if they are no response for too long."""
        current = self._payload
        known_bytes = 0 if current is None else current.total_bytes
        super().data_received(data)
        body_bytes = sum(body.total_bytes for body in self._new_bodies)
        self._new_bodies.clear()
        if current is not None:
            body_bytes += current.total_bytes - known_bytes
        if not self.framing_limit.record(len(data), body_bytes):
            self.refuse('the response has no end')
        elif len(self) > _MAX_UNREAD_RESPONSES:
            self.refuse('there are too many responses')

    def feed_data(
        self,
        data: tuple[RawResponseMessage, StreamReader],  # noqa: WPS110
        size: int = 0,
    ) -> None:
        """Add the head of a response and its body, which may be incomplete."""
        super().feed_data(data, size)
        head, body = data
        self._new_bodies.append(body)
        if head.code >= _FIRST_FINAL_STATUS:
            self.framing_limit.reset()

    def set_exception(
        self,
        exc: BaseException,
        exc_cause: BaseException | None = None,
    ) -> None:
        """Fail the next reader, with an error that holds no received bytes."""
        if isinstance(exc, HttpProcessingError):
            exc.message = shorten(exc.message)
        release_frames(exc_cause)
        super().set_exception(exc)

    def refuse(self, reason: str) -> None:
        """Fail the readers and close the connection."""
        error = aiohttp.ClientPayloadError(reason)
        body = self._payload
        if body is not None and not body.is_eof():
            body.set_exception(error)
        self.set_exception(error)
        self.abort()

    def close(self) -> None:
        """Close the connection and drop what nobody has read."""
        super().close()
        self._buffer.clear()

    def abort(self) -> None:
        """Reset the connection and drop what nobody has read."""
        super().abort()
        self._buffer.clear()


def bounded_connector(*, idle_timeout_s: float) -> aiohttp.TCPConnector:
    """Return a connector for addresses of servers that may be faulty.

    Args:
        idle_timeout_s: Time until an idle connection is closed.
    """
    connector = aiohttp.TCPConnector(
        use_dns_cache=False, keepalive_timeout=idle_timeout_s
    )
    make_connection: Any = functools.partial(
        BoundedResponseHandler, loop=asyncio.get_running_loop()
    )
    # There is no public way to choose the handler of the connections.
    connector._factory = make_connection  # noqa: SLF001
    return connector


async def read_limited(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    """Return the body of a response.

    Raises:
        BodyTooLargeError: The body is larger than the limit.
    """
    if (response.content_length or 0) <= limit_bytes:
        chunks = []
        size_bytes = 0
        async for chunk in response.content.iter_any():
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                break
            chunks.append(chunk)
        else:
            return b''.join(chunks)
    response.close()
    raise BodyTooLargeError(f'the body is larger than {limit_bytes} bytes')
