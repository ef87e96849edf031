"""Binary messages over one websocket connection, without a reader task.

The sans-I/O protocol of the websockets library runs directly in the asyncio
transport callbacks, so a received frame does not have to wake a reader task.
"""

import asyncio
import math
from collections.abc import Callable, Sequence
from typing import cast

from websockets.client import ClientProtocol
from websockets.exceptions import ConnectionClosed, InvalidState
from websockets.frames import Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from chivelead_protocol._internal.clock import now_ms
from chivelead_protocol._internal.delivery import undelivered_bytes
from chivelead_protocol._internal.errors_without_frames import release_frames
from chivelead_protocol._internal.exceptions import (
    EncodingError,
    LinkLostError,
    LinkNotOpenError,
)
from chivelead_protocol._internal.frame_rooms import FrameRoom
from chivelead_protocol._internal.frame_splitter import (
    Admit,
    FrameSplitter,
    encode_pieces,
)
from chivelead_protocol._internal.link_account import LinkAccount

# Room for a request body of the default limit, 64 MiB, and its headers.
MAX_FRAME_BYTES = 75_497_472
# While a frame arrives, the peer is told of the progress after this time in
# which nothing else was sent.  It is shorter than the time after which a peer
# with requests in flight takes the link for dead.
_PROGRESS_PERIOD_MS = 250
# Larger than any handshake of a peer.
_MAX_HANDSHAKE_BYTES = 65_536
# Memory for each byte of a handshake: the head is parsed into strings.
_HANDSHAKE_FACTOR = 4

FrameHandler = Callable[[bytes], object]
LargeFrameHandler = Callable[[bytearray, FrameRoom], None]


class Channel(asyncio.Protocol):
    """One end of a websocket connection that carries binary frames.

    Attributes:
        last_received_ms: Time at which data last arrived, by ``now_ms``.
        sent_bytes: Total size of what was sent, delivered or not.
        max_silence_ms: Longest time between data that is usual.
        silence_ended_ms: Time, by ``now_ms``, at which data last arrived after
            a longer one.
        on_frame: Called with the payload of each binary frame that is not
            large.
        on_large_frame: Called with the payload and the memory of a large frame.
        admit: Takes memory for a large frame; by default, all are dropped.
        on_close: Called once when the connection has closed.
        account: See the arguments.

    Args:
        protocol: Protocol of this end.
        account: Counts what the connection holds.
    """

    def __init__(
        self,
        protocol: ClientProtocol | ServerProtocol,
        account: LinkAccount,
    ) -> None:
        """Initialise the channel; the event loop connects it."""
        self.last_received_ms = now_ms()
        self.sent_bytes = 0
        self.max_silence_ms = math.inf
        self.silence_ended_ms = -math.inf
        self.on_frame: FrameHandler = _ignore_frame
        self.on_large_frame: LargeFrameHandler = _drop_large_frame
        self.admit: Admit = _refuse
        self.on_close: Callable[[], None] = _ignore_close
        self.account = account
        self._protocol = protocol
        self._last_sent_ms = self.last_received_ms
        self._transport: asyncio.Transport | None = None
        self._opened: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._writable: asyncio.Future[None] | None = None
        self._handshake_bytes = 0
        self._splitter = FrameSplitter(
            MAX_FRAME_BYTES,
            self._feed_protocol,
            lambda prefix, size_bytes: self.admit(prefix, size_bytes),
            lambda raw, room: self.on_large_frame(raw, room),
        )
        self._large_frame_lock = asyncio.Lock()

    @property
    def peer_address(self) -> str:
        """Return the address of the peer, for log messages."""
        if self._transport is None:
            return 'unknown'
        return str(self._transport.get_extra_info('peername'))

    @property
    def delivered_bytes(self) -> int:
        """Return how many of the bytes sent the peer has acknowledged."""
        if self._transport is None:
            return self.sent_bytes
        return self.sent_bytes - undelivered_bytes(self._transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the websocket handshake if this is the client."""
        self._transport = cast('asyncio.Transport', transport)
        has_room = self.account.open(self._transport)
        if has_room and isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
            self._flush()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Handle received bytes; those of the handshake hold no frames."""
        received_ms = now_ms()
        if received_ms - self.last_received_ms > self.max_silence_ms:
            self.silence_ended_ms = received_ms
        self.last_received_ms = received_ms
        if self._protocol.state is not State.OPEN:
            self._feed_handshake(data)
            self._count_memory()
            return
        self._splitter.feed(data)
        if self._splitter.receives_large_frame:
            self._confirm_progress()
        self._count_memory()

    def eof_received(self) -> None:
        """Handle the end of the stream; the transport closes itself."""
        self._protocol.receive_eof()
        self._handle_events()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a pending handshake and call ``on_close``."""
        self._transport = None
        self.account.close()
        release_frames(self._protocol.handshake_exc)
        release_frames(self._protocol.parser_exc)
        self._splitter.close()
        self.resume_writing()
        if not self._opened.done():
            self._opened.set_exception(
                LinkNotOpenError('open a link', 'the connection was closed'),
            )
            # Marks the exception as retrieved; otherwise asyncio logs an
            # error if nothing awaits the future.
            self._opened.exception()
        self.on_close()

    def pause_writing(self) -> None:
        """Make ``drain`` wait until the send buffer has emptied."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Release the callers that wait in ``drain``."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        self._count_memory()

    async def wait_opened(self) -> None:
        """Wait until the websocket handshake is complete.

        Raises:
            LinkNotOpenError: The handshake failed or the connection closed.
        """
        await self._opened

    def send(self, raw: bytes) -> None:
        """Send one binary frame.

        Raises:
            EncodingError: The frame is too large; the peer would close the
                connection, which carries the calls of others too.
            LinkLostError: The connection is closed.
        """
        _require_size(len(raw))
        if self._transport is None:
            raise LinkLostError('send a frame', 'the link is closed')
        try:
            self._protocol.send_binary(raw)
        except (ConnectionClosed, InvalidState) as error:
            raise LinkLostError('send a frame', 'the link is closed') from error
        self._flush()

    async def send_large(self, parts: Sequence[bytes]) -> None:
        """Send one binary frame in pieces, as fast as the peer reads them.

        Other frames wait until it is complete.  If it cannot be completed, the
        connection is aborted.

        Raises:
            EncodingError: The frame is too large; nothing was sent.
            LinkLostError: The connection is closed; the peer ignores the part
                of the frame that it has.
        """
        _require_size(sum(map(len, parts)))
        masked = isinstance(self._protocol, ClientProtocol)
        async with self._large_frame_lock:
            try:
                for piece in encode_pieces(parts, masked=masked):
                    self._write_piece(piece)
                    await self.drain()
                    # The peer has read, so the connection works.
                    self.last_received_ms = now_ms()
            except BaseException:
                self.abort()
                raise
        self._flush()

    async def drain(self) -> None:
        """Wait until the transport accepts more data (flow control).

        What others write first may use up the room.
        """
        while self._writable is not None:
            await asyncio.shield(self._writable)

    def close(self) -> None:
        """Send a close frame and close the connection."""
        if self._transport is None:
            return
        if self._protocol.state is State.OPEN:
            self._protocol.send_close()
            self._flush()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def _count_memory(self) -> None:
        """Count what was received and is not complete, or is not sent."""
        received_bytes = len(self._protocol.reader.buffer)
        if self._protocol.state is not State.OPEN:
            received_bytes += self._handshake_bytes * _HANDSHAKE_FACTOR
        self.account.set_held(
            received_bytes, writes_wait=self._writable is not None
        )

    def _write_piece(self, piece: bytes | memoryview) -> None:
        if self._transport is None or self._protocol.state is not State.OPEN:
            raise LinkLostError('send a frame', 'the link is closed')
        self.sent_bytes += len(piece)
        self._transport.write(piece)

    def _feed_handshake(self, received: bytes) -> None:
        self._handshake_bytes += len(received)
        if self._handshake_bytes > _MAX_HANDSHAKE_BYTES:
            self.abort()
            return
        self._feed_protocol(received)

    def _feed_protocol(self, received: bytes) -> None:
        self._protocol.receive_data(received)
        if not self._handle_events():
            self._confirm_progress()

    def _handle_events(self) -> bool:
        """Handle what has arrived; return whether anything was complete."""
        events = self._protocol.events_received()
        for event in events:
            if isinstance(event, Frame):
                self._handle_frame(event)
            elif isinstance(event, Request):
                self._accept_handshake(event)
            elif isinstance(event, Response):
                self._finish_handshake()
        self._flush()
        if self._protocol.close_expected() and self._transport is not None:
            self._transport.close()
        return bool(events)

    def _confirm_progress(self) -> None:
        """Tell the peer that a part of a frame has arrived."""
        since_sent_ms = self.last_received_ms - self._last_sent_ms
        is_open = self._protocol.state is State.OPEN
        if is_open and since_sent_ms > _PROGRESS_PERIOD_MS:
            self._protocol.send_pong(b'')
            self._flush()

    def _handle_frame(self, frame: Frame) -> None:
        # The sans-I/O protocol has answered control frames already.  Peers
        # send each message as one unfragmented binary frame; no other data
        # frame is valid.
        if frame.opcode is Opcode.BINARY and frame.fin:
            self.on_frame(bytes(frame.data))
        elif frame.opcode in {Opcode.TEXT, Opcode.BINARY, Opcode.CONT}:
            self.abort()

    def _accept_handshake(self, request: Request) -> None:
        protocol = cast('ServerProtocol', self._protocol)
        protocol.send_response(protocol.accept(request))
        self._finish_handshake()

    def _finish_handshake(self) -> None:
        if self._opened.done():
            return
        if self._protocol.state is State.OPEN:
            self._opened.set_result(None)
        else:
            self._opened.set_exception(
                LinkNotOpenError('open a link', 'the handshake failed'),
            )
            self._opened.exception()

    def _flush(self) -> None:
        # The protocol keeps its data while a large frame is being sent.
        if self._large_frame_lock.locked():
            return
        transport = self._transport
        for chunk in self._protocol.data_to_send():
            if transport is None or transport.is_closing():
                return
            if chunk:
                self.sent_bytes += len(chunk)
                self._last_sent_ms = now_ms()
                transport.write(chunk)
            elif transport.can_write_eof():
                transport.write_eof()
        if self._writable is not None:
            self._count_memory()


def client_channel(host: str, port: int, account: LinkAccount) -> Channel:
    """Return the client end of a connection.

    Args:
        host: Address of the server.
        port: Port.
        account: Counts what the connection holds.
    """
    return Channel(
        ClientProtocol(
            parse_uri(f'ws://{host}:{port}'),
            max_size=MAX_FRAME_BYTES,
        ),
        account,
    )


def server_channel(account: LinkAccount) -> Channel:
    """Return the server end of a connection.

    Args:
        account: Counts what the connection holds.
    """
    return Channel(ServerProtocol(max_size=MAX_FRAME_BYTES), account)


def _ignore_frame(raw: bytes) -> None:
    """Ignore frames that arrive before a handler is set."""


def _require_size(frame_bytes: int) -> None:
    if frame_bytes > MAX_FRAME_BYTES:
        raise EncodingError(
            'send a frame',
            f'{frame_bytes} bytes are more than {MAX_FRAME_BYTES}',
        )


def _drop_large_frame(raw: bytearray, room: FrameRoom) -> None:
    """Drop large frames that arrive before a handler is set."""
    room.close()


def _refuse(prefix: bytes, size_bytes: int) -> FrameRoom | None:
    """Refuse large frames that arrive before a handler is set."""


def _ignore_close() -> None:
    """Ignore the end of a connection before a handler is set."""
