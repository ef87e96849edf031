"""Limit on what surrounds the bodies of HTTP messages."""

_MAX_BYTES = 262_144
# In a body, beyond one byte for each byte of its payload.
_MAX_BODY_BYTES = 65_536
# Memory for the objects of a field of a head, and for each of its bytes.
_LINE_BYTES = 256
_BYTE_FACTOR = 4


class FramingLimit:
    """Count the received bytes that belong to no body.

    They are heads, sizes and extensions of chunks, and trailers.  None of them
    has an announced length, so each may have no end.  Framing that is larger
    than the payload also costs processor time, by the chunk.

    Attributes:
        count_bytes: Bytes that count towards the limit now.
        line_count: Lines among those that may be kept.
    """

    def __init__(self) -> None:
        """Start at the beginning of a message."""
        self.count_bytes = 0
        self.line_count = 0

    def reset(self) -> None:
        """Start again, as a head is complete."""
        self.count_bytes = 0
        self.line_count = 0

    def cost_bytes(self, more_bytes: int = 0, more_lines: int = 0) -> int:
        """Return the memory for what has been received.

        Args:
            more_bytes: Bytes that are not recorded yet.
            more_lines: Lines among them.
        """
        line_count = self.line_count + more_lines
        size_bytes = self.count_bytes + more_bytes
        return size_bytes * _BYTE_FACTOR + line_count * _LINE_BYTES

    def record(
        self,
        received_bytes: int,
        body_bytes: int,
        line_count: int,
        *,
        in_body: bool,
    ) -> bool:
        """Count received bytes; return whether they stay within the limit.

        Args:
            received_bytes: Bytes received.
            body_bytes: Bytes of bodies among them.
            line_count: Ends of lines among them.
            in_body: Whether a body is not complete.
        """
        framing_bytes = received_bytes - body_bytes
        if body_bytes:
            # Lines before a part of a body are sizes of chunks.
            self.line_count = 0
        self.line_count += min(line_count, framing_bytes)
        self.count_bytes = max(0, self.count_bytes + framing_bytes - body_bytes)
        limit_bytes = _MAX_BODY_BYTES if in_body else _MAX_BYTES
        return self.count_bytes <= limit_bytes


def count_field_lines(part: bytes, body_bytes: int) -> int:
    """Return how many lines of a message may be kept as fields.

    Args:
        part: Received bytes.
        body_bytes: Bytes of bodies among them.
    """
    line_count = part.count(b'\n')
    if body_bytes:
        # The sizes of chunks are lines, too.
        line_count = min(line_count, part.count(b':'))
    return line_count
