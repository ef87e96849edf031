"""Tests of the end of connections on which nothing is sent for long."""

import asyncio
import contextlib
import math
import time

from aiohttp import web
from chivelead_node._internal import connection_set
from chivelead_protocol.bounds import ConnectionMemory, ParseTurns, edges
from lib.connections import make_connections, serving
from lib.fake_platform import HOST

_IDLE_TIMEOUT_S = 0.1
_LINE_END = b'\r\n'
_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
_LONG_REQUEST = _REQUEST.replace(
    _LINE_END, b'\r\nX-Filler: %b\r\n' % (b'x' * 3000), 1
)


class _Connections(connection_set.ServerConnections):
    """Set of connections that tells the one that was accepted last."""

    def add(self, connection):
        """Add a connection that was accepted."""
        super().add(connection)
        self.latest = connection


# Guards against requests that arrive while the process is frozen and are thrown
# away: the timer of an idle connection may run before the connection is read.
async def test_idle_connection_is_read_before_it_is_closed():
    connections = make_connections(_Connections)
    async with serving(
        _answer, connections, keepalive_timeout=_IDLE_TIMEOUT_S
    ) as port:
        reader, writer = await asyncio.open_connection(HOST, port)
        for is_frozen in (False, True):
            if is_frozen:
                connections.latest.transport.pause_reading()
            writer.write(_REQUEST)
            if is_frozen:
                await asyncio.sleep(_IDLE_TIMEOUT_S + 0.01)
                connections.latest.transport.resume_reading()
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')
        # Without a request, it is closed.
        async with asyncio.timeout(1):
            assert not await reader.read()
        writer.close()


class _HeldUpConnections(connection_set.ServerConnections):
    """Set of connections that may be held up before a new one finds room."""

    hold_up = staticmethod(lambda: None)

    def open_account(self, *callbacks):
        """Return the account of a new connection."""
        self.hold_up()
        return super().open_account(*callbacks)


# Guards against requests that arrive while the process is held up and are lost:
# their connection seems to be idle, and gives way to a new one.
async def test_connection_with_an_unread_request_does_not_give_way():
    edge = edges.CALLERS
    memory = ConnectionMemory(1.5 * edge.reserved_bytes / edge.fraction)
    connections = make_connections(_HeldUpConnections, memory=memory)
    async with serving(_answer, connections) as port:
        reader, writer = await asyncio.open_connection(HOST, port)

        def send_while_held_up():
            time.sleep(0.5)
            writer.write(_REQUEST)

        with contextlib.closing(writer):
            writer.write(_REQUEST)
            await reader.readuntil(b'\r\n\r\n')
            connections.hold_up = send_while_held_up
            others = await asyncio.open_connection(HOST, port)
            with contextlib.closing(others[1]):
                head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')
    assert memory.refused_count == 1


class _LateTurns(ParseTurns):
    """Turns that come when a test says so."""

    def __init__(self):
        """Create an order in which nobody waits."""
        super().__init__()
        self.waiting = []

    def wait(self, go_on):
        """Keep a function until the test calls it."""
        self.waiting.append(go_on)


# Guards against the same where the request has been read, and waits to be
# parsed behind what others have sent.
async def test_connection_with_an_unparsed_request_does_not_give_way():
    edge = edges.CALLERS
    memory = ConnectionMemory(1.5 * edge.reserved_bytes / edge.fraction)
    turns = _LateTurns()
    memory.turns = turns
    connections = make_connections(memory=memory)
    async with serving(_answer, connections) as port:
        reader, writer = await asyncio.open_connection(HOST, port)
        with contextlib.closing(writer):
            writer.write(_LONG_REQUEST)
            await asyncio.sleep(1.1)
            others = await asyncio.open_connection(HOST, port)
            with contextlib.closing(others[1]):
                async with asyncio.timeout(1):
                    assert not await others[0].read()
            while turns.waiting:
                turns.waiting.pop()()
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')


# Guards against a timer that closes a connection with a request that was read
# and waits to be parsed.
async def test_idle_connection_is_parsed_before_it_is_closed():
    memory = ConnectionMemory(math.inf)
    turns = _LateTurns()
    memory.turns = turns
    async with serving(
        _answer,
        make_connections(memory=memory),
        keepalive_timeout=_IDLE_TIMEOUT_S,
    ) as port:
        reader, writer = await asyncio.open_connection(HOST, port)
        with contextlib.closing(writer):
            writer.write(_REQUEST)
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_LONG_REQUEST)
            await asyncio.sleep(3 * _IDLE_TIMEOUT_S)
            while turns.waiting:
                turns.waiting.pop()()
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')
            async with asyncio.timeout(1):
                assert not await reader.read()


async def _answer(_):
    return web.Response(body=b'')
