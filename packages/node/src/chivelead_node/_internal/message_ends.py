"""Ends of messages in the bytes that a connection receives.

The parser of aiohttp adds the last trailer of a message to the header of the
next message on the connection.  After a chunked message that may have trailers,
a connection of a caller gets a new parser, and one to a target is not reused.
"""

_EMPTY_LINE = b'\r\n\r\n'
_LINE_LENGTH = len(_EMPTY_LINE)
# The last chunk and the end of the message.  A trailer has a colon, so it is
# not mistaken for the last chunk.
_CHUNKED_END = b'\r\n0\r\n\r\n'
_END_LENGTH = len(_CHUNKED_END)


class ReceivedBytes:
    """The last bytes that a connection has received."""

    def __init__(self) -> None:
        """Create a record of a connection that has received nothing."""
        self._last = b''

    @property
    def end_without_trailers(self) -> bool:
        """Return whether a message that is now complete had no trailers."""
        return self._last == _CHUNKED_END

    @property
    def ends_with_empty_line(self) -> bool:
        """Return whether a head or a chunked body may end here."""
        return self._last.endswith(_EMPTY_LINE)

    def append(self, data: bytes) -> None:  # noqa: WPS110
        """Record received bytes."""
        if len(data) < _END_LENGTH:
            data = self._last + data  # noqa: WPS110
        self._last = data[-_END_LENGTH:]

    def find_end(self, data: bytes) -> int:  # noqa: WPS110
        """Return where a head or a chunked body may end.

        Args:
            data: Bytes that are not recorded yet.

        Returns:
            Number of bytes up to and with the first empty line; all if there is
            none.
        """
        # The line may have begun in the recorded bytes.
        known = self._last[1 - _LINE_LENGTH :]
        window = known + data[: _LINE_LENGTH - 1]
        position = window.find(_EMPTY_LINE)
        if position < 0:
            position = data.find(_EMPTY_LINE)
            known = b''
        if position < 0:
            return len(data)
        return position + _LINE_LENGTH - len(known)
