"""Header fields as they were received.

The parser of aiohttp replaces the names of common headers by its own spelling.
"""

from collections.abc import Iterable

from chivelead_protocol import Headers


def decode_headers(raw_headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return header fields as text; bytes that are not UTF-8 are escaped."""
    return tuple(
        (
            name.decode('utf-8', 'surrogateescape'),
            field.decode('utf-8', 'surrogateescape'),
        )
        for name, field in raw_headers
    )
