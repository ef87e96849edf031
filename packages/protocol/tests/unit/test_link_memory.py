"""What the ends of a link hold of what a peer sends or does not read."""

import asyncio
import contextlib
import socket

import pytest
from chivelead_protocol import (
    Acknowledged,
    HybridClock,
    LinkLostError,
    LinkNotOpenError,
    PeerLink,
    PeerServer,
    StatusQuery,
)
from chivelead_protocol._internal import link_account, messages
from chivelead_protocol._internal.codec import encode_frame
from chivelead_protocol.bounds import ConnectionMemory, edges

HOST = '127.0.0.1'
_LINK_BYTES = edges.PEERS.reserved_bytes
_HEAD = (
    b'GET / HTTP/1.1\r\nHost: far\r\nUpgrade: websocket\r\n'
    b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n'
)


async def _acknowledge(vm, message):
    return Acknowledged()


@pytest.fixture
async def opened():
    """Return servers and links that are closed at the end."""
    components = []
    yield components
    for component in reversed(components):
        await component.close()


def _free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def _start_server(opened, limit_bytes, host=HOST):
    memory = ConnectionMemory(limit_bytes)
    server = PeerServer('far', b'', HybridClock(), _acknowledge, memory=memory)
    opened.append(server)
    # With a free port of its own for each address, only one would be known.
    await server.start(host, _free_port())
    return server, memory


async def _open_link(opened, port, memory=None):
    link = PeerLink('near', HOST, port, b'', HybridClock(), memory=memory)
    opened.append(link)
    await link.start()
    await link.request(StatusQuery(), 5000)
    return link


def _receive_buffer_bytes(channel):
    sock = channel._transport.get_extra_info('socket')
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)


async def _settle():
    await asyncio.sleep(0.05)


# Guards against links of which the kernel holds up to 32 MB each.
@pytest.mark.parametrize('host', [HOST, 'localhost', ''])
async def test_both_ends_of_a_link_have_a_bound_in_the_kernel(opened, host):
    server, _ = await _start_server(opened, 10 * _LINK_BYTES, host)
    link = await _open_link(opened, server.port)
    for channel in (link._channel, *server.channels()):
        assert _receive_buffer_bytes(channel) == edges.PEERS.unread_limit_bytes


async def test_both_ends_of_a_link_are_counted_until_it_ends(opened):
    server, memory = await _start_server(opened, 10 * _LINK_BYTES)
    near_memory = ConnectionMemory(10 * _LINK_BYTES)
    link = await _open_link(opened, server.port, near_memory)
    await _settle()
    assert near_memory.held_by_edge() == {'peers': _LINK_BYTES}
    assert memory.held_by_edge() == {'peers': _LINK_BYTES}
    await link.close()
    await _settle()
    assert (near_memory.held_bytes, memory.held_bytes) == (0, 0)


async def test_link_without_room_at_its_server_is_refused(opened):
    server, memory = await _start_server(opened, _LINK_BYTES)
    await _open_link(opened, server.port)
    with pytest.raises(LinkNotOpenError):
        await _open_link(opened, server.port)
    assert memory.refused_count == 1
    assert memory.held_bytes == _LINK_BYTES


async def test_link_without_room_at_its_client_is_not_opened(opened):
    server, _ = await _start_server(opened, 10 * _LINK_BYTES)
    with pytest.raises(LinkNotOpenError):
        await _open_link(opened, server.port, ConnectionMemory(0))


async def test_handshake_that_is_not_complete_is_counted(opened):
    server, memory = await _start_server(opened, 10 * _LINK_BYTES)
    _, writer = await asyncio.open_connection(HOST, server.port)
    writer.write(_HEAD)
    writer.write(b'X: '.ljust(5000, b'x'))
    await _settle()
    assert memory.held_bytes > _LINK_BYTES + 5000
    writer.transport.abort()
    await _settle()
    assert memory.held_bytes == 0


# Guards against replies that pile up for a peer that does not read them.
async def test_peer_that_does_not_read_is_closed(opened, caplog, monkeypatch):
    monkeypatch.setattr(link_account, '_MAX_UNSENT_BYTES', 500_000)
    server, memory = await _start_server(opened, 1000 * _LINK_BYTES)
    link = await _open_link(opened, server.port)
    link._liveness_task.cancel()
    link._channel._transport.pause_reading()
    ping = encode_frame(1, HybridClock().stamp(), messages.Ping())
    peak_bytes = 0
    with contextlib.suppress(LinkLostError):
        for _ in range(2000):
            for _ in range(200):
                link._channel.send(ping)
            await link._channel.drain()
            await asyncio.sleep(0.001)
            peak_bytes = max(peak_bytes, memory.held_bytes)
            if not memory.held_bytes:
                break
    await _settle()
    assert memory.held_bytes == 0
    assert 400_000 < peak_bytes < 900_000
    assert 'has not read' in caplog.text
