"""Authenticated websocket links between chivelead processes.

A link carries requests from the side that opened it, and the replies to them.
It takes no more requests if nothing is received for longer than
``RECEIVE_TIMEOUT_MS``, or ``BUSY_RECEIVE_TIMEOUT_MS`` with requests in flight,
since TCP alone may take much longer to detect a dead peer.  The sender of each
request decides whether it fails then: the peer may only be held up, so the link
stays open for the replies that are still waited for.  Any data is a sign of
life; the channel tells the sender of a large message that parts of it arrive.
"""

import asyncio
import contextlib
import itertools
import logging
import math
from collections.abc import Callable, Iterable
from typing import Any

from chivelead_protocol._internal import messages
from chivelead_protocol._internal.channel import Channel, client_channel
from chivelead_protocol._internal.clock import (
    MS_PER_S,
    HybridClock,
    now_ms,
)
from chivelead_protocol._internal.codec import (
    Frame,
    decode_frame,
    encode_frame,
    find_code,
)
from chivelead_protocol._internal.connection_memory import ConnectionMemory
from chivelead_protocol._internal.edges import PEERS
from chivelead_protocol._internal.exceptions import (
    AuthenticationError,
    LinkLostError,
    LinkNotOpenError,
    NoRoomError,
    ProtocolError,
    ReplyTimeoutError,
)
from chivelead_protocol._internal.frame_rooms import (
    FrameRoom,
    FrameRooms,
    UnlimitedRooms,
)
from chivelead_protocol._internal.handshake import FrameQueue, client_handshake
from chivelead_protocol._internal.large_frames import (
    decode_header,
    decode_large_frame,
    encode_large_frame,
    is_large,
)
from chivelead_protocol._internal.link_account import LinkAccount

logger = logging.getLogger(__name__)

# Pings between regions cost traffic, so an idle link is pinged rarely.  The
# interval is below RECEIVE_TIMEOUT_MS, after which the server closes a link
# on which nothing arrives.
PING_AFTER_MS = 1200
RECEIVE_TIMEOUT_MS = 2400
# With requests in flight, a dead link must be detected before their
# deadlines pass.
BUSY_PING_AFTER_MS = 300
BUSY_RECEIVE_TIMEOUT_MS = 1000
HANDSHAKE_TIMEOUT_MS = 1500
# Each link checks its timeouts at this interval, so the loss of a link is
# detected up to this much later.
_LIVENESS_CHECK_PERIOD_MS = 400


class PeerLink:
    """The side of a link that opens it and sends requests.

    Args:
        own_vm: Name of the VM of this process, sent in the handshake.
        host: IP address of the peer.
        port: Port on which the peer accepts links.
        secret: Fleet secret, shared by all nodes.
        clock: Hybrid logical clock of this process.
        rooms: Memory for large replies; unlimited by default.
        memory: Counts what the connection holds; unlimited by default.

    Attributes:
        in_flight: Number of requests that wait for their reply.
        bytes_sent: Total size of the messages sent.
        on_silence: Called when the link is silent for too long.
        peer_vm: VM name of the peer; empty until it has authenticated.
        last_used_ms: Time at which a message was last sent, by ``now_ms``.
    """

    def __init__(
        self,
        own_vm: str,
        host: str,
        port: int,
        secret: bytes,
        clock: HybridClock,
        rooms: FrameRooms | None = None,
        memory: ConnectionMemory | None = None,
    ) -> None:
        """Initialise the link; ``start`` opens it."""
        self.in_flight = 0
        self.bytes_sent = 0
        self.on_silence: Callable[[], object] = _ignore_silence
        self.peer_vm = ''
        self.last_used_ms = 0.0
        self._own_vm = own_vm
        self._address = (host, port)
        self._secret = secret
        self._clock = clock
        self._rooms = rooms or UnlimitedRooms()
        self._memory = memory or ConnectionMemory(math.inf)
        self._replies: dict[int, asyncio.Future[Any]] = {}
        self._reply_rooms: dict[int, FrameRoom] = {}
        # Requests that have been sent and are not given up.
        self._waiting: dict[int, Callable[[float], bool]] = {}
        self._is_silent = False
        self._sequence = itertools.count(1)
        self._channel: Channel | None = None
        self._liveness_task: asyncio.Task[None] | None = None
        self._busy_since_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the link takes requests."""
        return self._channel is not None and not self._is_silent

    @property
    def awaits_replies(self) -> bool:
        """Whether the link takes no requests, but may bring replies."""
        return self._is_silent and bool(self._waiting)

    async def start(self) -> None:
        """Open the link and authenticate both sides.

        Raises:
            LinkNotOpenError: The peer cannot be reached.
            AuthenticationError: The peer does not know the fleet secret.
            ProtocolError: The peer sent an unexpected message.
        """
        host, port = self._address
        channel = client_channel(host, port, LinkAccount(self._memory))
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_MS / MS_PER_S):
                await PEERS.connect(lambda: channel, host, port)
                await self._authenticate(channel)
        except (AuthenticationError, asyncio.CancelledError):
            channel.abort()
            raise
        except (
            OSError,
            # The host or the port is not one that can be connected to.
            ValueError,
            OverflowError,
            LinkLostError,
            LinkNotOpenError,
        ) as error:
            channel.abort()
            raise LinkNotOpenError(
                f'connect to {host!r:.60}:{port!r:.20}',
                str(error) or type(error).__name__,
            ) from error
        self.last_used_ms = now_ms()
        self._liveness_task = asyncio.create_task(
            self._monitor_liveness(channel)
        )

    async def close(self) -> None:
        """Close the link and fail the requests in flight."""
        channel = self._channel
        self._mark_closed('closed by this side')
        if self._liveness_task is not None:
            self._liveness_task.cancel()
        if channel is not None:
            channel.close()

    async def request(
        self,
        body: Any,
        timeout_ms: float,
        *,
        give_up: Callable[[float], bool] | None = None,
    ) -> Any:
        """Send a message and wait for the reply to it.

        Args:
            body: Message.
            timeout_ms: Time to wait for the reply.
            give_up: Takes the time in which requests were in flight and nothing
                was received, in milliseconds; returns whether it ends the wait.
                An idle link is silent between pings.  Called when the link
                takes no more requests, and again while the peer is silent.  By
                default, the wait ends then, as that for a large message that is
                not complete.

        Raises:
            EncodingError: The message cannot be encoded; nothing was sent.
            LinkNotOpenError: The link is not open, or it was lost before the
                message was complete.
            LinkLostError: The link was lost before the reply arrived.
            NoRoomError: There is no memory for the reply.
            ReplyTimeoutError: No reply arrived in time.
            ProtocolError: The peer replied that it could not handle the
                request.
        """
        if self._is_silent:
            raise LinkNotOpenError('send', f'{self.peer_vm} does not respond')
        sequence = next(self._sequence)
        loop = asyncio.get_running_loop()
        reply = loop.create_future()
        self._replies[sequence] = reply
        timer = loop.call_later(
            timeout_ms / MS_PER_S, _fail_with_timeout, reply
        )
        if not self.in_flight:
            self._busy_since_ms = now_ms()
        self.in_flight += 1
        try:
            if is_large(body):
                await self._write_large(sequence, body, reply)
            else:
                self._write(sequence, body)
            self._waiting[sequence] = give_up or _give_up_at_once
            return _unwrap_reply(await reply)
        except TimeoutError as error:
            raise ReplyTimeoutError(
                f'request {type(body).__name__} to {self.peer_vm}',
                f'no reply within {timeout_ms:.0f} ms',
            ) from error
        finally:
            timer.cancel()
            self._remove_request(sequence)

    async def send(self, body: Any) -> None:
        """Send a message that expects no reply.

        Raises:
            EncodingError: The message cannot be encoded; nothing was sent.
            LinkNotOpenError: The link is not open; nothing was sent.
        """
        await self._write(0, body).drain()

    def send_nowait(self, body: Any) -> None:
        """Send a message that expects no reply, if the connection is open."""
        if self._channel is not None:
            raw = encode_frame(0, self._clock.stamp(), body)
            with contextlib.suppress(LinkLostError):
                self._channel.send(raw)

    def _write(self, sequence: int, body: Any) -> Channel:
        channel = self._channel
        if channel is None:
            raise LinkNotOpenError('send', f'link to {self._address} is closed')
        raw = encode_frame(sequence, self._clock.stamp(), body)
        try:
            channel.send(raw)
        except LinkLostError as error:
            raise LinkNotOpenError(
                'send', f'link to {self._address} is closing'
            ) from error
        self.bytes_sent += len(raw)
        self.last_used_ms = now_ms()
        return channel

    async def _write_large(
        self, sequence: int, body: Any, reply: asyncio.Future[Any]
    ) -> None:
        """Send a large message, or the part that the peer waits for.

        A reply that comes before the message is complete refuses it.  The link
        cannot be used any more then.
        """
        writing = asyncio.create_task(self._write_parts(sequence, body))
        try:
            await asyncio.wait(
                (writing, reply), return_when=asyncio.FIRST_COMPLETED
            )
            if writing.done():
                writing.result()
        finally:
            writing.cancel()

    async def _write_parts(self, sequence: int, body: Any) -> None:
        channel = self._channel
        if channel is None:
            raise LinkNotOpenError('send', f'link to {self._address} is closed')
        parts = encode_large_frame(sequence, self._clock.stamp(), body)
        self.bytes_sent += sum(map(len, parts))
        try:
            await channel.send_large(parts)
        except LinkLostError as error:
            raise LinkNotOpenError(
                'send', f'link to {self._address} was lost'
            ) from error
        self.last_used_ms = now_ms()

    async def _authenticate(self, channel: Channel) -> None:
        await channel.wait_opened()
        frames = FrameQueue(channel)
        self.peer_vm = await client_handshake(
            channel,
            frames,
            self._own_vm,
            self._secret,
            self._clock,
        )
        self._channel = channel
        channel.on_frame = self._handle_frame
        channel.on_large_frame = self._handle_large_frame
        channel.admit = self._admit
        channel.on_close = self._handle_close
        channel.account.is_idle = lambda: not self.in_flight

    def _remove_request(self, sequence: int) -> None:
        self.in_flight -= 1
        self._replies.pop(sequence, None)
        self._waiting.pop(sequence, None)
        room = self._reply_rooms.pop(sequence, None)
        if room is not None:
            room.close()
        channel = self._channel
        if self._is_silent and channel is not None and not self._waiting:
            self._mark_closed('silent')
            channel.abort()

    def _admit(self, prefix: bytes, size_bytes: int) -> FrameRoom | None:
        try:
            sequence, _, code = decode_header(prefix)
        except ProtocolError:
            return None
        take = self._rooms.take_message
        if code == find_code(messages.CallReply):
            take = self._rooms.take_reply
        room = take(size_bytes)
        reply = self._replies.get(-sequence)
        if room is None and reply is not None and not reply.done():
            reply.set_exception(
                NoRoomError(
                    f'reply of {self.peer_vm}',
                    f'there is no memory left for {size_bytes} bytes',
                )
            )
        return room

    def _handle_large_frame(self, raw: bytearray, room: FrameRoom) -> None:
        sequence = self._handle_frame(raw, decode_large_frame)
        if -sequence not in self._replies:
            room.close()
            return
        former = self._reply_rooms.pop(-sequence, None)
        if former is not None:
            former.close()
        self._reply_rooms[-sequence] = room

    def _handle_close(self) -> None:
        if self._channel is not None:
            self._mark_closed('closed by the peer')

    def _handle_frame(
        self, raw: Any, decode: Callable[[Any], Frame] = decode_frame
    ) -> int:
        """Handle a frame; return its sequence number, or zero if malformed."""
        try:
            frame = decode(raw)
        except ProtocolError as error:
            logger.warning('link to %s: %s', self.peer_vm, error)
            if self._channel is not None:
                self._channel.abort()
            return 0
        self._clock.merge(frame.stamp)
        reply = self._replies.get(-frame.sequence)
        if reply is not None and not reply.done():
            reply.set_result(frame.message)
        return frame.sequence

    async def _monitor_liveness(self, channel: Channel) -> None:
        silent_ms = 0.0
        busy_ms = 0.0
        while self._channel is channel:
            checked_ms = now_ms()
            await asyncio.sleep(_LIVENESS_CHECK_PERIOD_MS / MS_PER_S)
            if channel.last_received_ms > checked_ms:
                silent_ms = 0
            silent_ms = _count_time(silent_ms, channel.last_received_ms)
            busy_ms = (
                _count_time(busy_ms, self._busy_since_ms)
                if self.in_flight
                else 0
            )
            self._check_liveness(channel, silent_ms, min(silent_ms, busy_ms))

    def _check_liveness(
        self, channel: Channel, silent_ms: float, unanswered_ms: float
    ) -> None:
        """Give up a link that has been silent for too long, or ping the peer.

        Args:
            channel: Connection of the link.
            silent_ms: Time without data.
            unanswered_ms: Part of it in which requests were in flight.
        """
        if (
            silent_ms > RECEIVE_TIMEOUT_MS
            or unanswered_ms > BUSY_RECEIVE_TIMEOUT_MS
        ):
            self._give_up(channel, unanswered_ms)
        if silent_ms > PING_AFTER_MS or unanswered_ms > BUSY_PING_AFTER_MS:
            self.send_nowait(messages.Ping())

    def _give_up(self, channel: Channel, unanswered_ms: float) -> None:
        """Take no more requests; fail those that are not to wait."""
        if not self._is_silent:
            self._is_silent = True
            self.on_silence()
        for sequence, give_up in tuple(self._waiting.items()):
            if not self._replies[sequence].done() and give_up(unanswered_ms):
                self._waiting.pop(sequence)
        self._fail_requests(self._replies.keys() - self._waiting, 'silent')
        if not self._waiting:
            self._mark_closed('silent')
            channel.abort()

    def _mark_closed(self, reason: str) -> None:
        self._channel = None
        self._fail_requests(self._replies, reason)

    def _fail_requests(self, sequences: Iterable[int], reason: str) -> None:
        for sequence in sequences:
            reply = self._replies[sequence]
            if not reply.done():
                reply.set_exception(
                    LinkLostError(f'link to {self.peer_vm}', reason),
                )


def _count_time(counted_ms: float, since_ms: float) -> float:
    """Return the time since a moment, of which a pause counts little.

    What arrives in a pause of this process is not read yet at the next check.

    Args:
        counted_ms: Time that was counted at the last check.
        since_ms: Moment, by ``now_ms``.
    """
    return min(now_ms() - since_ms, counted_ms + _LIVENESS_CHECK_PERIOD_MS)


def _give_up_at_once(silent_ms: float) -> bool:
    """Fail a request once the peer is silent."""
    return True


def _ignore_silence() -> None:
    """Ignore silence before a handler is set."""


def _fail_with_timeout(reply: asyncio.Future[Any]) -> None:
    if not reply.done():
        reply.set_exception(TimeoutError())


def _unwrap_reply(reply: Any) -> Any:
    if isinstance(reply, messages.Failure):
        raise ProtocolError('request', reply.reason)
    return reply
