"""Server side of links: authenticate peers and handle their messages."""

import asyncio
import contextlib
import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any

from chivelead_protocol._internal import messages
from chivelead_protocol._internal.channel import Channel, server_channel
from chivelead_protocol._internal.clock import MS_PER_S, HybridClock, now_ms
from chivelead_protocol._internal.codec import (
    Frame,
    decode_frame,
    encode_frame,
    find_code,
)
from chivelead_protocol._internal.connection_memory import ConnectionMemory
from chivelead_protocol._internal.edges import PEERS
from chivelead_protocol._internal.exceptions import (
    ChiveleadError,
    EncodingError,
    LinkLostError,
    ProtocolError,
)
from chivelead_protocol._internal.frame_rooms import (
    FrameRoom,
    FrameRooms,
    UnlimitedRooms,
)
from chivelead_protocol._internal.handshake import FrameQueue, server_handshake
from chivelead_protocol._internal.large_frames import (
    decode_header,
    decode_large_frame,
    encode_large_frame,
    is_large,
)
from chivelead_protocol._internal.link import (
    HANDSHAKE_TIMEOUT_MS,
    RECEIVE_TIMEOUT_MS,
)
from chivelead_protocol._internal.link_account import LinkAccount

logger = logging.getLogger(__name__)

_UNAVAILABLE = 503
# After a pause of this process, what has arrived is read within this time.
_CATCH_UP_MS = 100
# As for what is written and not sent.
_MAX_WAITING_REPLY_BYTES = 16_777_216
# Memory for the objects of a header of a call.
_HEADER_BYTES = 160
# Memory for the objects of a reply that waits.
_REPLY_BYTES = 4096
# Longer than calls are on their way.
_MIN_IDLE_MS = 5000

MessageHandler = Callable[[str, Any], Awaitable[Any]]


class PeerServer:
    """Accept links from peers.

    Args:
        own_vm: Name of the VM of this process, sent in the handshake.
        secret: Fleet secret, shared by all nodes.
        clock: Hybrid logical clock of this process.
        message_handler: Called with the VM name of the peer and a message;
            returns the reply, or None for no reply.
        rooms: Memory for calls; unlimited by default.
        memory: Counts what the connections hold; unlimited by default.
    """

    def __init__(
        self,
        own_vm: str,
        secret: bytes,
        clock: HybridClock,
        message_handler: MessageHandler,
        rooms: FrameRooms | None = None,
        memory: ConnectionMemory | None = None,
    ) -> None:
        """Initialise the server; ``start`` makes it listen."""
        self._rooms = rooms or UnlimitedRooms()
        self._memory = memory or ConnectionMemory(math.inf)
        self._own_vm = own_vm
        self._secret = secret
        self._clock = clock
        self._message_handler = message_handler
        self._server: asyncio.Server | None = None
        self._sessions: dict[Channel, asyncio.Task[None]] = {}
        self._links: set[_Session] = set()

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        if self._server is None:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        self._server = await PEERS.listen(self._accept, host, port)

    async def close(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        for channel, task in tuple(self._sessions.items()):
            task.cancel()
            channel.close()

    def channels(self) -> tuple[Channel, ...]:
        """Return the open connections, including those in the handshake."""
        return tuple(self._sessions)

    def count_due_replies(self) -> int:
        """Return the links whose peer still lacks a reply."""
        return sum(link.is_reply_due() for link in self._links)

    def _accept(self) -> Channel:
        channel = server_channel(LinkAccount(self._memory))
        task = asyncio.create_task(self._serve(channel))
        self._sessions[channel] = task
        task.add_done_callback(lambda _: self._sessions.pop(channel, None))
        return channel

    async def _serve(self, channel: Channel) -> None:
        frames = FrameQueue(channel)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_MS / MS_PER_S):
                await channel.wait_opened()
                peer_vm = await server_handshake(
                    channel,
                    frames,
                    self._own_vm,
                    self._secret,
                    self._clock,
                )
        except (ChiveleadError, TimeoutError) as error:
            logger.warning(
                'rejected link from %s: %s',
                channel.peer_address,
                error or 'handshake timed out',
            )
            channel.close()
            return
        link = _Session(
            channel,
            peer_vm,
            self._clock,
            self._message_handler,
            self._rooms,
        )
        self._links.add(link)
        try:
            await link.run(frames)
        finally:
            self._links.discard(link)


class _Session:
    """An authenticated link; handles each message in a task, except pings."""

    def __init__(
        self,
        channel: Channel,
        peer_vm: str,
        clock: HybridClock,
        message_handler: MessageHandler,
        rooms: FrameRooms,
    ) -> None:
        self._rooms = rooms
        self._channel = channel
        self._peer_vm = peer_vm
        self._clock = clock
        self._message_handler = message_handler
        self._tasks: set[asyncio.Task[None]] = set()
        self._ended = asyncio.Event()
        # The peer may wait until then for replies to calls that run once.
        self._awaited_until_ms = 0.0
        # Bytes sent on the channel up to the end of the last reply to a call.
        self._call_reply_end_bytes = 0
        self._last_message_ms = now_ms()
        # Replies that wait until the peer reads.
        self._waiting_reply_bytes = 0
        # Whether a message was dropped for lack of memory.
        self._has_dropped = False

    def is_idle(self) -> bool:
        """Return whether nothing but pings has come for a time."""
        idle_ms = now_ms() - self._last_message_ms
        return not self.is_reply_due() and idle_ms > _MIN_IDLE_MS

    def is_reply_due(self) -> bool:
        """Return whether the peer lacks a reply, or a part of one to a call.

        The replies to other messages follow each other closely on a link, and
        the peer does without the last one.
        """
        return (
            bool(self._tasks)
            or self._channel.delivered_bytes < self._call_reply_end_bytes
        )

    async def run(self, frames: FrameQueue) -> None:
        """Handle messages until the connection closes or times out."""
        channel = self._channel
        channel.on_frame = self._handle_frame
        channel.on_large_frame = self._handle_large_frame
        channel.max_silence_ms = RECEIVE_TIMEOUT_MS
        channel.admit = self._admit
        channel.on_close = self._ended.set
        channel.account.is_idle = self.is_idle
        for raw in frames.take_remaining():
            self._handle_frame(raw)
        try:
            await self._monitor_liveness()
        finally:
            channel.abort()
            for task in tuple(self._tasks):
                task.cancel()

    async def _monitor_liveness(self) -> None:
        """Wait until the connection has ended, or the peer is silent.

        A silent peer may only be held up.  If it waits for replies to calls
        that must run once, sent or not, the link stays open for them.
        """
        is_overdue = False
        while not self._ended.is_set():
            since_received_ms = now_ms() - self._channel.last_received_ms
            left_ms = RECEIVE_TIMEOUT_MS - since_received_ms
            is_awaited = now_ms() < self._awaited_until_ms
            if left_ms <= 0 and is_overdue and not is_awaited:
                return
            is_overdue = left_ms <= 0
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    max(left_ms, _CATCH_UP_MS) / MS_PER_S
                ):
                    await self._ended.wait()

    def _is_catching_up(self) -> bool:
        """Return whether what arrives may be too old to be handled.

        The sender may have given it up while this process was paused.
        """
        since_silence_ms = now_ms() - self._channel.silence_ended_ms
        return since_silence_ms < _CATCH_UP_MS

    def _admit(self, prefix: bytes, size_bytes: int) -> FrameRoom | None:
        try:
            sequence, _, code = decode_header(prefix)
        except ProtocolError:
            self._ended.set()
            return None
        if code != find_code(messages.CallRequest):
            return self._take_message(size_bytes)
        if self._is_catching_up():
            self._reply(sequence, _held_up_reply())
            return None
        room = self._rooms.take_request(size_bytes)
        if room is None and sequence:
            self._reply(sequence, _no_room_reply())
        return room

    def _handle_large_frame(self, raw: bytearray, room: FrameRoom) -> None:
        frame = self._decode(raw, decode_large_frame)
        if frame is None:
            room.close()
        else:
            self._start_handling(frame, room)

    def _handle_frame(self, raw: bytes) -> None:
        frame = self._decode(raw, decode_frame)
        if frame is None:
            return
        if isinstance(frame.message, messages.Ping):
            self._reply(frame.sequence, messages.Pong())
            return
        is_call = isinstance(frame.message, messages.CallRequest)
        is_cancel = isinstance(frame.message, messages.CallCancel)
        if self._is_catching_up() and not is_cancel:
            if is_call:
                self._reply(frame.sequence, _held_up_reply())
            return
        room: FrameRoom | None = None
        if is_call:
            header_count = len(frame.message.headers)
            room = self._rooms.take_request(
                len(raw) + header_count * _HEADER_BYTES
            )
            if room is None:
                self._reply(frame.sequence, _no_room_reply())
                return
        elif not is_cancel:
            room = self._take_message(len(raw))
            if room is None:
                return
        self._start_handling(frame, room)

    def _take_message(self, size_bytes: int) -> FrameRoom | None:
        """Take memory for a message that is no call; None if it is dropped.

        Its sender gets no reply, as from a node that is held up.
        """
        room = self._rooms.take_message(size_bytes)
        if room is None and not self._has_dropped:
            self._has_dropped = True
            logger.warning(
                'link from %s: no memory left for a message of %d bytes;'
                ' it and others are dropped',
                self._peer_vm,
                size_bytes,
            )
        return room

    def _decode(self, raw: Any, decode: Callable[[Any], Frame]) -> Frame | None:
        """Return the frame, or None if the link has ended."""
        if self._ended.is_set():
            return None
        try:
            frame = decode(raw)
        except ProtocolError as error:
            logger.warning('link from %s: %s', self._peer_vm, error)
            self._ended.set()
            return None
        self._clock.merge(frame.stamp)
        return frame

    def _start_handling(self, frame: Frame, room: FrameRoom | None) -> None:
        self._last_message_ms = now_ms()
        task = asyncio.create_task(
            self._handle_message(frame.sequence, frame.message)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if room is not None:
            task.add_done_callback(lambda _: room.close())

    async def _handle_message(self, sequence: int, body: Any) -> None:
        if isinstance(body, messages.CallRequest) and not body.idempotent:
            self._awaited_until_ms = max(
                self._awaited_until_ms, now_ms() + body.timeout_ms
            )
        try:
            reply = await self._message_handler(self._peer_vm, body)
        except ChiveleadError as error:
            reply = messages.Failure(str(error))
        except Exception as error:
            logger.exception('failed to handle %s', type(body).__name__)
            reply = messages.Failure(repr(error))
        if not sequence or reply is None:
            return
        if not is_large(reply):
            await self._reply_once_writable(sequence, reply)
            return
        try:
            await self._reply_in_parts(sequence, reply)
        except EncodingError as error:
            logger.warning('reply to %s: %s', self._peer_vm, error)
            self._reply(sequence, messages.Failure(str(error)))

    async def _reply_once_writable(self, sequence: int, reply: Any) -> None:
        """Send a reply as soon as the peer reads; end the link if many wait."""
        size_bytes = _REPLY_BYTES + len(getattr(reply, 'body', b''))
        self._waiting_reply_bytes += size_bytes
        if self._waiting_reply_bytes > _MAX_WAITING_REPLY_BYTES:
            self._ended.set()
        room = self._rooms.hold(size_bytes)
        try:
            await self._channel.drain()
        finally:
            room.close()
            self._waiting_reply_bytes -= size_bytes
        self._reply(sequence, reply)

    async def _reply_in_parts(self, sequence: int, reply: Any) -> None:
        parts = encode_large_frame(-sequence, self._clock.stamp(), reply)
        room = self._rooms.hold(sum(map(len, parts)))
        try:
            await self._channel.send_large(parts)
        except LinkLostError:
            return
        finally:
            room.close()
        self._call_reply_end_bytes = self._channel.sent_bytes

    def _reply(self, sequence: int, reply: Any) -> None:
        """Send a reply, or a failure in place of one that cannot be sent."""
        with contextlib.suppress(LinkLostError):
            try:
                self._send(-sequence, reply)
            except EncodingError as error:
                logger.warning('reply to %s: %s', self._peer_vm, error)
                self._send(-sequence, messages.Failure(str(error)))
        if isinstance(reply, messages.CallReply):
            self._call_reply_end_bytes = self._channel.sent_bytes

    def _send(self, sequence: int, body: Any) -> None:
        self._channel.send(encode_frame(sequence, self._clock.stamp(), body))


def _no_room_reply() -> messages.CallReply:
    """Return the reply to a call for whose body there is no memory."""
    return _not_run_reply(
        'memory', b"the target's node has no memory left for the body"
    )


def _held_up_reply() -> messages.CallReply:
    """Return the reply to a call that was not read in time."""
    return _not_run_reply('unreachable', b"the target's node was held up")


def _not_run_reply(reason: str, detail: bytes) -> messages.CallReply:
    return messages.CallReply(
        status=_UNAVAILABLE,
        headers=(),
        body=detail,
        outcome=messages.Outcome.not_run,
        reason=reason,
        retry_allowance=0,
        shed_level=0,
        queue_ms=0,
        load=0,
        downstream_shed_level=0,
    )
