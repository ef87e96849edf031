"""Tests of the sockets of edges."""

import asyncio
import socket

import pytest
from chivelead_protocol.bounds import edges


class _Connected(asyncio.Protocol):
    def __init__(self):
        self.transport = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        """Pass the transport on."""
        self.transport.set_result(transport)


# Guards against messages of several writes that wait for delayed
# acknowledgements, 40 ms each, since their sockets lack TCP_NODELAY.
@pytest.mark.parametrize('edge', edges.EDGES.values(), ids=edges.EDGES)
async def test_small_writes_are_not_delayed(edge):
    accepted = _Connected()
    server = await edge.listen(lambda: accepted, '127.0.0.1', 0)
    connected = await edge.connect(_Connected, *server.sockets[0].getsockname())
    for protocol in (accepted, connected):
        transport = await protocol.transport
        sock = transport.get_extra_info('socket')
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        transport.abort()
    server.close()
    # Transports close in the next iteration of the event loop.
    await asyncio.sleep(0)
