"""Ends of chunked messages in the bytes that a connection receives.

The parser of aiohttp adds the last trailer of a message to the header of the
next message on the connection.  A connection is therefore reused after a
chunked message only if that message is known to have no trailers.
"""

import itertools

# The last chunk and the end of the message.  A trailer has a colon, so it is
# not mistaken for the last chunk.
_CHUNKED_END = b'\r\n0\r\n\r\n'
_END_LENGTH = len(_CHUNKED_END)
# Bounds the work on a body that consists of such ends.
_MAX_CUTS = 256


class ReceivedBytes:
    """The last bytes that a connection has received."""

    def __init__(self) -> None:
        """Create a record of a connection that has received nothing."""
        self._last = b''

    @property
    def end_without_trailers(self) -> bool:
        """Return whether a message that is now complete had no trailers."""
        return self._last == _CHUNKED_END

    def append(self, data: bytes) -> None:  # noqa: WPS110
        """Record received bytes."""
        if len(data) < _END_LENGTH:
            data = self._last + data  # noqa: WPS110
        self._last = data[-_END_LENGTH:]

    def split(self, data: bytes) -> list[bytes]:  # noqa: WPS110
        """Cut bytes that are not recorded yet after each possible end."""
        cuts = [0]
        known = len(self._last)
        window = self._last + data[: _END_LENGTH - 1]
        # Ends may overlap, but one that has been received is not found again.
        position = window.find(_CHUNKED_END, max(0, known - _END_LENGTH + 1))
        if position >= 0:
            cuts.append(position + _END_LENGTH - known)
        while len(cuts) <= _MAX_CUTS:
            start = max(0, cuts[-1] - _END_LENGTH + 1)
            position = data.find(_CHUNKED_END, start)
            if position < 0:
                break
            cuts.append(position + _END_LENGTH)
        cuts.append(len(data))
        return [
            data[start:end]
            for start, end in itertools.pairwise(cuts)
            if end > start
        ]
