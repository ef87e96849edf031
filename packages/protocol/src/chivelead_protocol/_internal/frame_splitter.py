"""Separate large binary websocket frames from the rest of a connection.

A large frame is received into memory that was taken for it, or is dropped as it
arrives.  All other bytes are for the websocket protocol, which would need three
times the size of a frame.
"""

import secrets
import struct
from collections.abc import Callable, Iterator, Sequence

from websockets.utils import apply_mask

from chivelead_protocol._internal.frame_rooms import FrameRoom
from chivelead_protocol._internal.large_frames import (
    LARGE_FRAME_BYTES,
    PREFIX_BYTES,
)

# Final frame of binary data.
_BINARY_FRAME = 0x82
_MASK_BIT = 0x80
_MASK_BYTES = 4
_LENGTH_MASK = 0x7F
_SHORT_HEAD_BYTES = 2
_LENGTH_FORMATS = ((126, '>H'), (127, '>Q'))
# More than transports buffer before they pause their writer.
_PIECE_BYTES = 131_072

Admit = Callable[[bytes, int], FrameRoom | None]


class FrameSplitter:
    """Split what is received on a connection.

    Args:
        max_frame_bytes: Longer frames are left to the protocol, which rejects
            them.
        handle_bytes: Called with the bytes that are for the protocol.
        admit: Called with the start and the size of a large frame; returns the
            memory for it, or None to drop it.
        handle_large_frame: Called with a large frame and its memory.
    """

    def __init__(
        self,
        max_frame_bytes: int,
        handle_bytes: Callable[[bytes], None],
        admit: Admit,
        handle_large_frame: Callable[[bytearray, FrameRoom], None],
    ) -> None:
        """Expect the head of a frame."""
        self._max_frame_bytes = max_frame_bytes
        self._handle_bytes = handle_bytes
        self._admit = admit
        self._handle_large_frame = handle_large_frame
        self._head = bytearray()
        self._left_bytes = 0
        self._large_frame: _LargeFrame | None = None

    @property
    def receives_large_frame(self) -> bool:
        """Return whether a part of a large frame has arrived."""
        return self._large_frame is not None

    def close(self) -> None:
        """Drop a frame that is not complete."""
        if self._large_frame is not None:
            self._large_frame.close()
            self._large_frame = None

    def feed(self, received: bytes) -> None:
        """Handle received bytes."""
        view = memoryview(received)
        for_protocol = bytearray()
        while view:
            if self._left_bytes:
                piece = view[: self._left_bytes]
                view = view[len(piece) :]
                self._left_bytes -= len(piece)
                if self._large_frame is None:
                    for_protocol += piece
                else:
                    self._receive_piece(self._large_frame, piece)
                continue
            self._head.append(view[0])
            view = view[1:]
            if len(self._head) < _head_bytes(self._head):
                continue
            if self._start_frame():
                self._handle_bytes(bytes(for_protocol))
                for_protocol.clear()
            else:
                for_protocol += self._head
            self._head.clear()
        if for_protocol:
            self._handle_bytes(bytes(for_protocol))

    def _start_frame(self) -> bool:
        """Use the complete head; return whether it is of a large frame."""
        head = self._head
        size_bytes = _payload_bytes(head)
        self._left_bytes = size_bytes
        if head[0] != _BINARY_FRAME or not (
            LARGE_FRAME_BYTES < size_bytes <= self._max_frame_bytes
        ):
            return False
        mask = bytes(head[-_MASK_BYTES:]) if head[1] & _MASK_BIT else b''
        self._large_frame = _LargeFrame(size_bytes, mask)
        return True

    def _receive_piece(self, frame: '_LargeFrame', piece: memoryview) -> None:
        frame.receive(piece, self._admit)
        if self._left_bytes:
            return
        self._large_frame = None
        if frame.room is not None:
            self._handle_large_frame(frame.payload, frame.room)


class _LargeFrame:
    """A large frame that is being received."""

    def __init__(self, size_bytes: int, mask: bytes) -> None:
        self.room: FrameRoom | None = None
        # Until the frame is admitted or dropped, its first bytes.
        self.payload = bytearray()
        self._size_bytes = size_bytes
        self._mask = mask
        self._received_bytes = 0
        self._is_decided = False

    def close(self) -> None:
        if self.room is not None:
            self.room.close()

    def receive(self, piece: memoryview, admit: Admit) -> None:
        """Add a piece, or drop it if there is no memory for the frame."""
        if self._is_decided and self.room is None:
            return
        start = self._received_bytes
        self._received_bytes += len(piece)
        unmasked = (
            apply_mask(piece, _rotate(self._mask, start))
            if self._mask
            else piece
        )
        if self._is_decided:
            end = self._received_bytes
            self.payload[start:end] = unmasked  # noqa: WPS362
            return
        self.payload += unmasked
        if len(self.payload) >= PREFIX_BYTES:
            self._decide(admit)

    def _decide(self, admit: Admit) -> None:
        self._is_decided = True
        self.room = admit(bytes(self.payload[:PREFIX_BYTES]), self._size_bytes)
        # Allocated once, so that it is not moved while it grows.
        self.payload = (
            bytearray()
            if self.room is None
            else self.payload.ljust(self._size_bytes)
        )


def encode_pieces(
    parts: Sequence[bytes], *, masked: bool
) -> Iterator[bytes | memoryview]:
    """Yield the pieces of a binary frame with the given payload.

    Args:
        parts: Payload.
        masked: Whether the sender is the client.
    """
    mask = secrets.token_bytes(_MASK_BYTES) if masked else b''
    mask_bit = _MASK_BIT if masked else 0
    code, length_format = _LENGTH_FORMATS[-1]
    size_bytes = sum(map(len, parts))
    yield (
        bytes((_BINARY_FRAME, mask_bit | code))
        + struct.pack(length_format, size_bytes)
        + mask
    )
    position = 0
    for part in parts:
        for start in range(0, len(part), _PIECE_BYTES):
            piece = memoryview(part)[start : start + _PIECE_BYTES]
            yield apply_mask(piece, _rotate(mask, position)) if mask else piece
            position += len(piece)


def _rotate(mask: bytes, position: int) -> bytes:
    start = position % _MASK_BYTES
    return mask[start:] + mask[:start]


def _head_bytes(head: bytearray) -> int:
    """Return the length of a head of which at least one byte is known."""
    if len(head) < _SHORT_HEAD_BYTES:
        return _SHORT_HEAD_BYTES
    length_bytes = sum(
        struct.calcsize(length_format)
        for code, length_format in _LENGTH_FORMATS
        if head[1] & _LENGTH_MASK == code
    )
    mask_bytes = _MASK_BYTES if head[1] & _MASK_BIT else 0
    return _SHORT_HEAD_BYTES + length_bytes + mask_bytes


def _payload_bytes(head: bytearray) -> int:
    short_length = head[1] & _LENGTH_MASK
    for code, length_format in _LENGTH_FORMATS:
        if short_length == code:
            (length,) = struct.unpack_from(length_format, head, 2)
            return int(length)
    return short_length
