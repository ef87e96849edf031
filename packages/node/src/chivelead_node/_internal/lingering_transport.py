"""Transport that closes a connection only after its client has read all."""

import asyncio
from collections.abc import Iterable
from typing import Any

from chivelead_protocol import loop_ms, undelivered_bytes

# All answers begin with it, of both versions of HTTP/1.
_ANSWER_START = b'HTTP/1.'
_CHECK_PERIOD_S = 0.5
# A client that has everything closes its side soon after.
_DELIVERED_LINGER_MS = 1000.0
# A client that reads no more of an answer is given up.
_MAX_LINGER_MS = 10_000.0


class LingeringTransport:
    """Wraps a transport; ``close`` ends the sending half first.

    The kernel resets a connection that is closed with unread bytes, or on which
    bytes arrive later, and discards what the client has not acknowledged.  So
    the connection stays open for reading until the client closes its side.
    What it sends meanwhile is read and must be ignored by the protocol.

    Args:
        transport: Open transport of a TCP connection.

    Attributes:
        is_lingering: Whether the connection waits for its client to close.
        input_ended: Whether the client has closed its sending half.
        given_up_bytes: Bytes that the client has not read in time.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        """Wrap a transport."""
        self.is_lingering = False
        self.input_ended = False
        self.given_up_bytes = 0
        self._transport = transport
        # Bytes of the next answer that were written before it was known.
        self._early_bytes = 0
        self._closed_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the wrapped transport."""
        return getattr(self._transport, name)

    def write(self, raw: bytes) -> None:
        """Write bytes, except for those of an answer that were sent before."""
        early_bytes = self._early_bytes
        if early_bytes:
            self._early_bytes = 0
            raw = raw[early_bytes:]
        self._transport.write(raw)

    def writelines(self, parts: Iterable[bytes]) -> None:
        """Write several parts of an answer."""
        self.write(b''.join(parts))

    def write_early(self) -> bool:
        """Write the next byte of the answer that is due.

        Returns:
            Whether there are more bytes that all answers begin with.
        """
        start = self._early_bytes
        self._early_bytes = min(start + 1, len(_ANSWER_START))
        self._transport.write(_ANSWER_START[start : self._early_bytes])
        return self._early_bytes < len(_ANSWER_START)

    def is_closing(self) -> bool:
        """Return whether nothing can be written any more."""
        return self.is_lingering or self._transport.is_closing()

    def undelivered_bytes(self) -> int:
        """Return the bytes that the client has not acknowledged."""
        return self.given_up_bytes or undelivered_bytes(self._transport)

    def close(self) -> None:
        """End the sending half; close once the client has read all."""
        if self.is_closing():
            return
        if self.input_ended:
            self._transport.close()
            return
        self.is_lingering = True
        self._closed_ms = loop_ms()
        self._transport.write_eof()
        # Without it, the end of the client's sending half is not seen.
        self._transport.resume_reading()
        self._check_later()

    def close_delivered(self) -> None:
        """Close at once, as the client has acknowledged all that was written.

        Nothing of the connection is kept for a client that goes on.
        """
        self._transport.close()

    def release(self) -> None:
        """Stop waiting, since the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check_later(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            _CHECK_PERIOD_S, self._check
        )

    def _check(self) -> None:
        waited_ms = loop_ms() - self._closed_ms
        limit_ms = (
            _MAX_LINGER_MS if self.undelivered_bytes() else _DELIVERED_LINGER_MS
        )
        if waited_ms < limit_ms:
            self._check_later()
        else:
            self.given_up_bytes = self.undelivered_bytes()
            self._transport.abort()
