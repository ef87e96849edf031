"""HTTP response that is sent with its complete body in a single write."""

import http
import types
import weakref
from collections.abc import Callable
from typing import Any

from aiohttp import ClientConnectionResetError, HttpVersion11, web
from aiohttp.abc import AbstractStreamWriter
from chivelead_protocol import LARGE_FRAME_BYTES, Headers

from chivelead_node._internal.body_memory import BodyShare

_NO_CONTENT = 204
_NOT_MODIFIED = 304
_REASON_PHRASES = types.MappingProxyType(
    {status.value: status.phrase for status in http.HTTPStatus},
)


class BufferedResponse(web.StreamResponse):
    """Response with the given status, headers and body.

    Only ``Content-Length`` and, where needed, ``Connection`` are added.  The
    response class of aiohttp has overhead on each response for features that a
    complete body does not need.

    Args:
        status: HTTP status.
        headers: Headers without ``Content-Length``.
        body: Complete body.
    """

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        """Create a response that is not sent yet."""
        super().__init__(status=status)
        self._header_fields = headers
        self._body_bytes = body
        self._release: Callable[[], object] = _do_nothing

    @property
    def size_bytes(self) -> int:
        """Return the size of the body and of the headers."""
        return len(self._body_bytes) + sum(
            len(name) + len(header_value)
            for name, header_value in self._header_fields
        )

    def hold_memory(self, share: BodyShare) -> None:
        """Close a share when the response is sent or will never be."""
        release = weakref.finalize(self, share.close)
        release.atexit = False
        self._release = release

    async def prepare(
        self,
        request: web.BaseRequest,
    ) -> AbstractStreamWriter | None:
        """Determine whether to keep the connection alive; nothing is sent."""
        self._req = request
        if self._keep_alive is None:
            is_http11 = request.version >= HttpVersion11
            self._keep_alive = request.keep_alive and is_http11
        return self._payload_writer

    async def write_eof(self, data: Any = b'') -> None:  # noqa: WPS110
        """Write the whole response.

        Raises:
            ClientConnectionResetError: The client has disconnected.
        """
        request = self._req
        if request is None or request.transport is None:
            raise ClientConnectionResetError('the client has disconnected')
        head = self._encode_head(request.method)
        body = b'' if request.method == 'HEAD' else self._body_bytes
        if len(body) > LARGE_FRAME_BYTES:
            request.transport.write(head)
            request.transport.write(body)
        else:
            request.transport.write(head + body)
        self._eof_sent = True
        await request.protocol._drain_helper()  # noqa: SLF001
        # The server keeps the response until the next request comes.
        self._header_fields = ()
        self._body_bytes = b''
        self._release()

    def _encode_head(self, method: str) -> bytes:
        status = self.status
        reason = _REASON_PHRASES.get(status, 'Unknown')
        lines = [f'HTTP/1.1 {status} {reason}']
        lines.extend(
            f'{name}: {header_value}'
            for name, header_value in self._header_fields
        )
        if method != 'HEAD' and status not in {_NO_CONTENT, _NOT_MODIFIED}:
            lines.append(f'Content-Length: {len(self._body_bytes)}')
        if not self._keep_alive:
            lines.append('Connection: close')
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode('utf-8', 'surrogateescape')


def _do_nothing() -> None:
    """Release nothing, since no share is held."""
