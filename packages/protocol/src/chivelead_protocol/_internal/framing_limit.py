"""Limit on what surrounds the bodies of HTTP messages."""

_MAX_BYTES = 262_144
# The framing of a chunk with a single byte has five bytes.
_MAX_BYTES_PER_BODY_BYTE = 8


class FramingLimit:
    """Count the received bytes that belong to no body.

    They are heads, sizes and extensions of chunks, and trailers.  None of them
    has an announced length, so each may have no end.
    """

    def __init__(self) -> None:
        """Start at the beginning of a message."""
        self._count_bytes = 0

    def reset(self) -> None:
        """Start again, as a head is complete."""
        self._count_bytes = 0

    def record(self, received_bytes: int, body_bytes: int) -> bool:
        """Count received bytes; return whether they stay within the limit.

        Args:
            received_bytes: Bytes received.
            body_bytes: Bytes of bodies among them.
        """
        self._count_bytes += received_bytes
        self._count_bytes -= body_bytes * _MAX_BYTES_PER_BODY_BYTE
        self._count_bytes = max(0, self._count_bytes)
        return self._count_bytes <= _MAX_BYTES
