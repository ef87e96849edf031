"""Mutual authentication of the two ends of a link by the fleet secret.

Each end sends a nonce and an HMAC over its role, its VM name and both nonces.
The HMAC proves that the end knows the secret, without sending the secret.
"""

import asyncio
import hashlib
import hmac
import secrets

from chivelead_protocol._internal.channel import Channel
from chivelead_protocol._internal.clock import HybridClock
from chivelead_protocol._internal.codec import decode_frame, encode_frame
from chivelead_protocol._internal.exceptions import (
    AuthenticationError,
    LinkLostError,
    ProtocolError,
)
from chivelead_protocol._internal.messages import Hello

_NONCE_BYTES = 16


class FrameQueue:
    """Queue the frames that a channel receives during the handshake.

    Args:
        channel: Source of the frames; its handlers are replaced.
    """

    def __init__(self, channel: Channel) -> None:
        """Start to queue frames."""
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue()
        channel.on_frame = self._frames.put_nowait
        channel.on_close = self._handle_close

    async def next(self) -> bytes:
        """Return the next frame.

        Raises:
            LinkLostError: The connection is closed.
        """
        raw = await self._frames.get()
        if raw is None:
            raise LinkLostError('authenticate', 'the peer closed the link')
        return raw

    def take_remaining(self) -> list[bytes]:
        """Remove and return the frames that are still queued."""
        frames = []
        while not self._frames.empty():
            raw = self._frames.get_nowait()
            if raw is not None:
                frames.append(raw)
        return frames

    def _handle_close(self) -> None:
        self._frames.put_nowait(None)


async def client_handshake(
    channel: Channel,
    frames: FrameQueue,
    own_vm: str,
    secret: bytes,
    clock: HybridClock,
) -> str:
    """Authenticate both sides and return the VM name of the server.

    Raises:
        AuthenticationError: The server does not know the secret.
        ProtocolError: The server sent an unexpected message.
    """
    own_nonce = secrets.token_bytes(_NONCE_BYTES)
    _send_hello(channel, clock, Hello(own_vm, own_nonce, b''))
    server_hello = _expect_hello(await frames.next())
    nonces = own_nonce + server_hello.nonce
    expected = _compute_proof(secret, 'server', server_hello.vm, nonces)
    if not hmac.compare_digest(expected, server_hello.proof):
        raise AuthenticationError(
            f'connect to {channel.peer_address}',
            'the peer does not know the fleet secret',
            'compare fleet_secret in the settings of both nodes',
        )
    proof = _compute_proof(secret, 'client', own_vm, nonces)
    _send_hello(channel, clock, Hello(own_vm, own_nonce, proof))
    return server_hello.vm


async def server_handshake(
    channel: Channel,
    frames: FrameQueue,
    own_vm: str,
    secret: bytes,
    clock: HybridClock,
) -> str:
    """Authenticate both sides and return the VM name of the client.

    Raises:
        AuthenticationError: The client does not know the secret.
        ProtocolError: The client sent an unexpected message.
    """
    first_hello = _expect_hello(await frames.next())
    own_nonce = secrets.token_bytes(_NONCE_BYTES)
    nonces = first_hello.nonce + own_nonce
    own_proof = _compute_proof(secret, 'server', own_vm, nonces)
    _send_hello(channel, clock, Hello(own_vm, own_nonce, own_proof))
    second_hello = _expect_hello(await frames.next())
    expected = _compute_proof(secret, 'client', first_hello.vm, nonces)
    if not hmac.compare_digest(expected, second_hello.proof):
        raise AuthenticationError(
            f'link from {first_hello.vm}',
            'the peer does not know the fleet secret',
        )
    return first_hello.vm


def _send_hello(channel: Channel, clock: HybridClock, hello: Hello) -> None:
    channel.send(encode_frame(0, clock.stamp(), hello))


def _compute_proof(secret: bytes, role: str, vm: str, nonces: bytes) -> bytes:
    signed = f'{role}|{vm}|'.encode() + nonces
    return hmac.new(secret, signed, hashlib.sha256).digest()


def _expect_hello(raw: bytes) -> Hello:
    hello = decode_frame(raw).message
    if not isinstance(hello, Hello):
        raise ProtocolError('authenticate', 'expected a Hello message')
    return hello
