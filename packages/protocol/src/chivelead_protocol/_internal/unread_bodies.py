"""Memory of bodies that have been received and not read."""

from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

# Memory for the object of a piece, and its entries in the lists of a body.
_PIECE_BYTES = 96


def unread_body_bytes(body: StreamReader) -> int:
    """Return the memory for what was received of a body and is not read.

    Args:
        body: Body that is being received.
    """
    if body is EMPTY_PAYLOAD:
        return 0
    # There is no public way to get these.
    size_bytes: int = body._size  # noqa: SLF001
    piece_count = len(body._buffer)  # noqa: SLF001
    return size_bytes + piece_count * _PIECE_BYTES
