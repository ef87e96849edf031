"""What messages of peers that are neither calls nor replies may take."""

import asyncio
import contextlib

import pytest
from chivelead_node._internal.body_memory import BodyMemory
from chivelead_node._internal.memory_budget import MemoryBudget
from chivelead_protocol import (
    Acknowledged,
    CallReply,
    HybridClock,
    LinkLostError,
    Outcome,
    PeerLink,
    PeerServer,
    StatusQuery,
)
from chivelead_protocol._internal.codec import encode_frame
from chivelead_protocol._internal.frame_splitter import encode_pieces
from lib.fake_platform import HOST, free_ports
from lib.platform_fleet import wait_until

_LIMIT_BYTES = 100_000_000
_MAX_UNSENT_BYTES = 16_777_216
_MESSAGE = encode_frame(1, 0, StatusQuery())


class _Peer:
    """A server of links that handles messages when it is told to."""

    def __init__(self):
        self.memory = BodyMemory(_LIMIT_BYTES)
        self.may_reply = asyncio.Event()
        self.port = free_ports(1)[0]
        self._server = PeerServer(
            'far', b'', HybridClock(), self._handle, rooms=self.memory
        )

    async def start(self):
        await self._server.start(HOST, self.port)

    async def close(self):
        await self._server.close()

    async def _handle(self, _vm, _message):
        await self.may_reply.wait()
        return Acknowledged()


@pytest.fixture
async def peer():
    """Run a server of links."""
    running = _Peer()
    await running.start()
    yield running
    await running.close()


@contextlib.asynccontextmanager
async def _opened_link(peer):
    link = PeerLink('near', HOST, peer.port, b'', HybridClock())
    await link.start()
    try:
        yield link
    finally:
        await link.close()


# Guards against large messages that are counted, but kept in any case: four of
# 70 MB that never end exhausted a node.
async def test_large_message_is_dropped_as_it_arrives(peer):
    async with _opened_link(peer) as link:
        pieces = encode_pieces([_MESSAGE.ljust(70_000_000, b'x')], masked=True)
        for _ in range(8):
            link._channel._write_piece(next(pieces))
            await asyncio.sleep(0.01)
        assert peer.memory.held_bytes == 0


# Guards against messages of which any number is handled at once.
async def test_messages_that_are_handled_at_once_are_limited(peer):
    async with _opened_link(peer) as link:
        for _ in range(20_000):
            link._channel.send(_MESSAGE)
        await asyncio.sleep(0.5)
        assert 0 < peer.memory.held_bytes <= peer.memory.message_limit_bytes
        # Each has a task.
        assert len(asyncio.all_tasks()) < 2000
        peer.may_reply.set()
        await wait_until(lambda: peer.memory.held_bytes == 0)
        # The link takes messages again.
        await link.request(StatusQuery(), 2000)


def test_messages_leave_the_memory_of_bodies_alone():
    memory = BodyMemory(_LIMIT_BYTES)
    size_bytes = int(memory.message_limit_bytes) // 5
    message = memory.take_message(size_bytes)
    assert memory.take_message(size_bytes) is None
    message.close()
    body = memory.take_reply(int(_LIMIT_BYTES * 0.9))
    assert body is not None
    assert memory.take_message(size_bytes) is not None


# Guards against plans that no peer can pass on, in a process of little memory.
@pytest.mark.parametrize('limit_mb', [256, 300])
def test_message_of_the_largest_plan_is_taken(limit_mb):
    memory = MemoryBudget(limit_mb * 1_000_000).bodies
    plan = memory.take_message(1024 * 1024)
    assert plan is not None
    assert memory.take_message(1024 * 1024) is None
    plan.close()
    assert memory.held_bytes == 0


# Guards against replies that wait, without being counted, for a peer that does
# not read: 3,000 of 60 KB took 178 MB.
async def test_replies_to_a_peer_that_does_not_read_end_its_link():
    memory = BodyMemory(_LIMIT_BYTES)
    replies = []

    async def reply(_vm, _message):
        body = bytes(60_000)
        replies.append(len(body))
        return CallReply(200, (), body, Outcome.done, '', 0, 0, 0, 0, 0)

    server = PeerServer('far', b'', HybridClock(), reply, rooms=memory)
    await server.start(HOST, free_ports(1)[0])
    link = PeerLink('near', HOST, server.port, b'', HybridClock())
    await link.start()
    channel = link._channel
    channel._transport.pause_reading()
    with contextlib.suppress(LinkLostError):
        for sequence in range(1, 3000):
            channel.send(encode_frame(sequence, 0, StatusQuery()))
            if not sequence % 100:
                await asyncio.sleep(0.01)
    await wait_until(lambda: not server.channels())
    await wait_until(lambda: memory.held_bytes == 0)
    # Some are with the transport and the kernel.
    assert sum(replies) < 2 * _MAX_UNSENT_BYTES
    await link.close()
    await server.close()
