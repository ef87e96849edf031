"""Encode and decode frames with a large body without copying all of them.

The frames are the same as those of ``codec``; only the byte string that makes
up most of the frame is handled by itself.
"""

import struct
from collections.abc import Sequence
from typing import Any

import cbor2

from chivelead_protocol._internal import codec
from chivelead_protocol._internal.exceptions import ProtocolError

# Frames with larger bodies are sent in pieces.  Memory is taken for larger
# frames before they are received.
LARGE_FRAME_BYTES = 65_536
# Covers the header of a frame.
PREFIX_BYTES = 64

# Major types.
_UNSIGNED = 0
_NEGATIVE = 1
_BYTE_STRING = 2
_ARRAY = 4
_MAP = 5
_TAG = 6
_SIMPLE = 7
_MAX_SHORT_LENGTH = 23
_LENGTH_FORMATS = ((24, '>B'), (25, '>H'), (26, '>I'), (27, '>Q'))
_MAJOR_SHIFT = 5
_LENGTH_MASK = 0x1F
_EMPTY_BYTE_STRING = b'\x40'


def is_large(body: Any) -> bool:
    """Return whether a message has a field of more than LARGE_FRAME_BYTES."""
    return len(getattr(body, 'body', b'')) > LARGE_FRAME_BYTES


def encode_large_frame(
    sequence: int, stamp: int, body: Any
) -> tuple[bytes, ...]:
    """Return the parts of the frame; large byte strings are not copied."""
    elements = codec.make_elements(sequence, stamp, body)
    parts: list[bytes] = []
    encoded = bytearray(_encode_head(_ARRAY, len(elements)))
    for element in elements:
        if element.__class__ is bytes and len(element) > LARGE_FRAME_BYTES:
            encoded += _encode_head(_BYTE_STRING, len(element))
            parts.extend((bytes(encoded), element))
            encoded.clear()
        else:
            encoded += codec.encode_element(element)
    return (*parts, bytes(encoded))


def decode_large_frame(raw: bytearray) -> codec.Frame:
    """Return the frame in ``raw``.

    Raises:
        ProtocolError: The bytes are not one well-formed frame.
    """
    view = memoryview(raw)
    try:
        found = _find_large_string(view)
    except (IndexError, struct.error, RecursionError) as error:
        raise ProtocolError('decode frame', f'not CBOR: {error}') from error
    if found is None:
        return codec.decode_frame(bytes(raw))
    index, start, end = found
    head_bytes = len(_encode_head(_BYTE_STRING, end - start))
    without_string = b''.join(
        (view[: start - head_bytes], _EMPTY_BYTE_STRING, view[end:])
    )
    elements = codec.load_elements(without_string)
    elements[index] = bytes(view[start:end])
    return codec.decode_elements(elements)


def decode_header(prefix: bytes) -> Sequence[int]:
    """Return the sequence number, the stamp and the code of a frame.

    Args:
        prefix: First bytes of the frame.

    Raises:
        ProtocolError: The bytes are not the start of a frame.
    """
    try:
        _, _, position = _read_head(memoryview(prefix), 0)
        ends = [position]
        for _ in range(codec.HEADER_LENGTH):
            ends.append(_find_end(memoryview(prefix), ends[-1]))
        header = [
            cbor2.loads(prefix[start:end])
            for start, end in zip(ends, ends[1:], strict=False)
        ]
    except (IndexError, struct.error, cbor2.CBORError) as error:
        raise ProtocolError('decode header', f'not CBOR: {error}') from error
    if not all(isinstance(number, int) for number in header):
        raise ProtocolError('decode header', 'the header is not three integers')
    return header


def _find_large_string(view: memoryview) -> tuple[int, int, int] | None:
    """Return the index and the range of the first large byte string.

    The range is without its head.
    """
    _, count, position = _read_head(view, 0)
    for index in range(count):
        major, length, start = _read_head(view, position)
        position = _find_end(view, position)
        if major == _BYTE_STRING and length > LARGE_FRAME_BYTES:
            if position > len(view):
                raise IndexError('the byte string has no end')
            return index, start, position
    return None


def _find_end(view: memoryview, position: int) -> int:
    """Return the end of the element at a position."""
    major, length, position = _read_head(view, position)
    if major in {_UNSIGNED, _NEGATIVE, _SIMPLE}:
        return position
    if major == _TAG:
        return _find_end(view, position)
    if major in {_ARRAY, _MAP}:
        for _ in range(length * 2 if major == _MAP else length):
            position = _find_end(view, position)
        return position
    return position + length


def _read_head(view: memoryview, position: int) -> tuple[int, int, int]:
    """Return the major type, the length and the end of a head."""
    first = view[position]
    short_length = first & _LENGTH_MASK
    for code, length_format in _LENGTH_FORMATS:
        if short_length == code:
            (length,) = struct.unpack_from(length_format, view, position + 1)
            end = position + 1 + struct.calcsize(length_format)
            return first >> _MAJOR_SHIFT, length, end
    if short_length > _MAX_SHORT_LENGTH:
        raise IndexError('an element without a length')
    return first >> _MAJOR_SHIFT, short_length, position + 1


def _encode_head(major: int, length: int) -> bytes:
    if length <= _MAX_SHORT_LENGTH:
        return bytes(((major << _MAJOR_SHIFT) | length,))
    for code, length_format in _LENGTH_FORMATS:
        if length < 1 << 8 * struct.calcsize(length_format):
            first = bytes(((major << _MAJOR_SHIFT) | code,))
            return first + struct.pack(length_format, length)
    raise AssertionError('unreachable')
