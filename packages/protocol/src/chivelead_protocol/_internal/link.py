"""Authenticated websocket links between chivelead processes.

A link carries requests from the side that opened it and replies back.  Each
side runs one task per link.  A link that stays silent for longer than
``SILENCE_MS`` is closed, whatever TCP thinks of it.
"""

import asyncio
import contextlib
import hashlib
import hmac
import itertools
import logging
import secrets
from collections.abc import Awaitable, Callable
from typing import Any

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from chivelead_protocol._internal import messages
from chivelead_protocol._internal.clock import (
    MS_PER_S,
    HybridClock,
    now_ms,
)
from chivelead_protocol._internal.codec import decode_frame, encode_frame
from chivelead_protocol._internal.exceptions import (
    AuthenticationError,
    ChiveleadError,
    LinkLostError,
    LinkNotOpenError,
    ProtocolError,
    ReplyTimeoutError,
)

logger = logging.getLogger(__name__)

# An idle link costs bytes between regions, so it is asked seldom; the server
# side gives up a link that stays silent for longer than SILENCE_MS.
PING_AFTER_MS = 1200
SILENCE_MS = 2400
# With calls in flight a silent link costs their deadlines.
BUSY_PING_AFTER_MS = 300
BUSY_SILENCE_MS = 1000
HANDSHAKE_TIMEOUT_MS = 1500
# The largest body that the limits of callers allow, and room for headers.
FRAME_LIMIT_BYTES = 75_497_472
_NONCE_BYTES = 16
_CLOSE_TIMEOUT_S = 0.2
# One timer for each link; the loss of a busy link is found this much later.
_CHECK_PERIOD_S = 0.4

Answer = Callable[[str, Any], Awaitable[Any]]
_Connection = ClientConnection | ServerConnection


def _proof(secret: bytes, role: str, vm: str, nonces: bytes) -> bytes:
    text = f'{role}|{vm}|'.encode() + nonces
    return hmac.new(secret, text, hashlib.sha256).digest()


class PeerLink:
    """The side of a link that opens it and sends requests.

    Args:
        own_vm: Name under which this process introduces itself.
        host: IP number of the peer.
        port: Peer port of the peer.
        secret: Secret of the fleet.
        clock: Clock of this process.
    """

    def __init__(
        self,
        own_vm: str,
        host: str,
        port: int,
        secret: bytes,
        clock: HybridClock,
    ) -> None:
        """Prepare a link; ``start`` opens it."""
        self.in_flight = 0
        self.bytes_sent = 0
        self.peer_vm = ''
        self.last_used_ms = 0.0
        self._own_vm = own_vm
        self._address = (host, port)
        self._secret = secret
        self._clock = clock
        self._replies: dict[int, asyncio.Future[Any]] = {}
        self._sequence = itertools.count(1)
        self._connection: ClientConnection | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._heard_ms = 0.0
        self._busy_since_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether messages can be written at present."""
        return self._connection is not None

    async def start(self) -> None:
        """Open the link and authenticate both sides.

        Raises:
            LinkNotOpenError: The peer cannot be reached.
            AuthenticationError: The peer does not hold the secret.
        """
        host, port = self._address
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_MS / MS_PER_S):
                connection = await connect(
                    f'ws://{host}:{port}',
                    compression=None,
                    max_size=FRAME_LIMIT_BYTES,
                    ping_interval=None,
                    close_timeout=_CLOSE_TIMEOUT_S,
                    open_timeout=None,
                    proxy=None,
                )
                await self._authenticate(connection)
        except (OSError, TimeoutError, WebSocketException) as error:
            raise LinkNotOpenError(
                f'connect to {host}:{port}',
                str(error) or type(error).__name__,
            ) from error
        self._connection = connection
        self._heard_ms = now_ms()
        self.last_used_ms = now_ms()
        self._tasks = [
            asyncio.create_task(self._receive(connection)),
            asyncio.create_task(self._watch_silence(connection)),
        ]

    async def close(self) -> None:
        """Close the link; requests in flight fail."""
        connection = self._connection
        self._drop('closed by this side')
        for task in self._tasks:
            task.cancel()
        if connection is not None:
            with contextlib.suppress(WebSocketException, OSError):
                await connection.close()

    async def request(self, body: Any, timeout_ms: float) -> Any:
        """Send a message and wait for the reply to it.

        Raises:
            LinkNotOpenError: Nothing was written.
            LinkLostError: The link was lost before the reply.
            ReplyTimeoutError: No reply came in time.
        """
        sequence = next(self._sequence)
        reply = asyncio.get_running_loop().create_future()
        self._replies[sequence] = reply
        if not self.in_flight:
            self._busy_since_ms = now_ms()
        self.in_flight += 1
        try:
            await self._write(sequence, body)
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return _checked(await reply)
        except TimeoutError as error:
            raise ReplyTimeoutError(
                f'request {type(body).__name__} to {self.peer_vm}',
                f'no reply within {timeout_ms:.0f} ms',
            ) from error
        finally:
            self.in_flight -= 1
            self._replies.pop(sequence, None)

    async def send(self, body: Any) -> None:
        """Send a message that has no reply.

        Raises:
            LinkNotOpenError: Nothing was written.
        """
        await self._write(0, body)

    async def _write(self, sequence: int, body: Any) -> None:
        connection = self._connection
        if connection is None:
            raise LinkNotOpenError('send', f'link to {self._address} is down')
        raw = encode_frame(sequence, self._clock.stamp(), body)
        self.bytes_sent += len(raw)
        self.last_used_ms = now_ms()
        try:
            await connection.send(raw)
        except ConnectionClosed as error:
            self._drop('closed by the peer')
            raise LinkLostError(
                f'send to {self.peer_vm}',
                'the link closed while writing',
            ) from error

    async def _authenticate(self, connection: ClientConnection) -> None:
        own_nonce = secrets.token_bytes(_NONCE_BYTES)
        await _put(
            connection,
            messages.Hello(self._own_vm, own_nonce, b''),
            self._clock,
        )
        answer = _expect_hello(await connection.recv())
        nonces = own_nonce + answer.nonce
        expected = _proof(self._secret, 'server', answer.vm, nonces)
        if not hmac.compare_digest(expected, answer.proof):
            await connection.close()
            raise AuthenticationError(
                f'connect to {self._address[0]}:{self._address[1]}',
                'the peer does not hold the secret of the fleet',
                'compare fleet_secret in the settings of both nodes',
            )
        proof = _proof(self._secret, 'client', self._own_vm, nonces)
        await _put(
            connection,
            messages.Hello(self._own_vm, own_nonce, proof),
            self._clock,
        )
        self.peer_vm = answer.vm

    async def _receive(self, connection: ClientConnection) -> None:
        reason = 'closed by the peer'
        try:
            async for raw in connection:
                self._take_in(raw)
        except ProtocolError as error:
            reason = str(error)
            logger.warning('link to %s: %s', self.peer_vm, error)
        except ConnectionClosed:
            reason = 'connection lost'
        if self._connection is connection:
            self._drop(reason)

    def _take_in(self, raw: str | bytes) -> None:
        frame = decode_frame(_as_bytes(raw))
        self._heard_ms = now_ms()
        self._clock.merge(frame.stamp)
        reply = self._replies.get(-frame.sequence)
        if reply is not None and not reply.done():
            reply.set_result(frame.message)

    async def _watch_silence(self, connection: ClientConnection) -> None:
        while self._connection is connection:
            await asyncio.sleep(_CHECK_PERIOD_S)
            silent_ms = now_ms() - self._heard_ms
            busy_ms = min(silent_ms, now_ms() - self._busy_since_ms)
            if silent_ms > SILENCE_MS or (
                self.in_flight and busy_ms > BUSY_SILENCE_MS
            ):
                self._drop('silent')
                connection.transport.abort()
            elif silent_ms > PING_AFTER_MS or (
                self.in_flight and busy_ms > BUSY_PING_AFTER_MS
            ):
                await self._ping(connection)

    async def _ping(self, connection: ClientConnection) -> None:
        # A send may block on a link that no longer drains.
        with contextlib.suppress(TimeoutError, WebSocketException):
            async with asyncio.timeout(_CHECK_PERIOD_S):
                await _put(connection, messages.Ping(), self._clock)

    def _drop(self, reason: str) -> None:
        self._connection = None
        for reply in self._replies.values():
            if not reply.done():
                reply.set_exception(
                    LinkLostError(f'link to {self.peer_vm}', reason),
                )


class PeerServer:
    """The listening side: authenticate peers and answer their requests.

    Args:
        own_vm: Name under which this process introduces itself.
        secret: Secret of the fleet.
        clock: Clock of this process.
        answer: Called with the peer's name and each message; its result is
            the reply, or None.
    """

    def __init__(
        self,
        own_vm: str,
        secret: bytes,
        clock: HybridClock,
        answer: Answer,
    ) -> None:
        """Prepare a server; ``start`` listens."""
        self._own_vm = own_vm
        self._secret = secret
        self._clock = clock
        self._answer_message = answer
        self._server: Server | None = None
        self._running: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        self._server = await serve(
            self._serve_link,
            host,
            port,
            compression=None,
            max_size=FRAME_LIMIT_BYTES,
            ping_interval=None,
            close_timeout=_CLOSE_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Stop listening and end all links."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        for task in tuple(self._running):
            task.cancel()

    async def _serve_link(self, connection: ServerConnection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_MS / MS_PER_S):
                peer_vm = await self._authenticate(connection)
            await self._answer(connection, peer_vm)
        except (ChiveleadError, TimeoutError) as error:
            logger.warning(
                'link from %s refused: %s',
                connection.remote_address,
                error,
            )
            await connection.close()
        except ConnectionClosed:
            return

    async def _authenticate(self, connection: ServerConnection) -> str:
        hello = _expect_hello(await connection.recv())
        own_nonce = secrets.token_bytes(_NONCE_BYTES)
        nonces = hello.nonce + own_nonce
        own_proof = _proof(self._secret, 'server', self._own_vm, nonces)
        await _put(
            connection,
            messages.Hello(self._own_vm, own_nonce, own_proof),
            self._clock,
        )
        proven = _expect_hello(await connection.recv())
        expected = _proof(self._secret, 'client', hello.vm, nonces)
        if not hmac.compare_digest(expected, proven.proof):
            raise AuthenticationError(
                f'link from {hello.vm}',
                'the peer does not hold the secret of the fleet',
            )
        return hello.vm

    async def _answer(self, connection: ServerConnection, peer: str) -> None:
        tasks: set[asyncio.Task[None]] = set()
        try:
            while True:
                raw = await _receive_fresh(connection)
                frame = decode_frame(_as_bytes(raw))
                self._clock.merge(frame.stamp)
                if frame.sequence == 0 and isinstance(
                    frame.message,
                    messages.Ping,
                ):
                    await _put(connection, messages.Pong(), self._clock)
                    continue
                task = asyncio.create_task(
                    self._run(connection, peer, frame.sequence, frame.message),
                )
                for group in (tasks, self._running):
                    group.add(task)
                    task.add_done_callback(group.discard)
        finally:
            for task in tuple(tasks):
                task.cancel()

    async def _run(
        self,
        connection: ServerConnection,
        peer: str,
        sequence: int,
        body: Any,
    ) -> None:
        try:
            reply = await self._answer_message(peer, body)
        except ChiveleadError as error:
            reply = messages.Failure(str(error))
        except Exception as error:
            logger.exception('handling %s', type(body).__name__)
            reply = messages.Failure(repr(error))
        if sequence == 0 or reply is None:
            return
        raw = encode_frame(-sequence, self._clock.stamp(), reply)
        with contextlib.suppress(ConnectionClosed):
            await connection.send(raw)


async def _receive_fresh(connection: ServerConnection) -> str | bytes:
    """Return the next frame, unless it may have waited for long.

    A process that was paused finds frames in its sockets whose senders have
    long given up; the time since the last frame tells.
    """
    waits_since_ms = now_ms()
    async with asyncio.timeout(SILENCE_MS / MS_PER_S):
        raw = await connection.recv()
    if now_ms() - waits_since_ms > SILENCE_MS:
        raise TimeoutError
    return raw


def _checked(reply: Any) -> Any:
    if isinstance(reply, messages.Failure):
        raise ProtocolError('request', reply.reason)
    return reply


async def _put(connection: _Connection, body: Any, clock: HybridClock) -> None:
    await connection.send(encode_frame(0, clock.stamp(), body))


def _expect_hello(raw: str | bytes) -> messages.Hello:
    hello = decode_frame(_as_bytes(raw)).message
    if not isinstance(hello, messages.Hello):
        raise ProtocolError('authenticate', 'the peer did not say hello')
    return hello


def _as_bytes(raw: str | bytes) -> bytes:
    if isinstance(raw, str):
        raise ProtocolError('receive', 'a text frame')
    return raw
