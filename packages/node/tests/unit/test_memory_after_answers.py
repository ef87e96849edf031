"""Tests of what connections keep after their requests have been answered."""

import asyncio
import contextlib
import math
import sys

import pytest
from aiohttp import web
from chivelead_node._internal.proxy.buffered_response import BufferedResponse
from chivelead_protocol.bounds import ConnectionMemory, edges
from lib.connections import make_connections, serving
from lib.fake_platform import HOST
from lib.node_process import RawClient

_BODY_BYTES = 100_000
_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
_HEAD_BYTES = 100_000
_LINE_END = b'\r\n'
_REQUEST_WITH_LARGE_HEAD = _LINE_END.join(
    (
        b'GET / HTTP/1.1',
        b'Host: x',
        *(b'X-Filler: '.ljust(5000, b'x') for _ in range(20)),
        _LINE_END,
    )
)


async def _exchange(reader, writer, request=_REQUEST):
    """Send a request and read the whole response."""
    writer.write(request)
    await reader.readuntil(b'\r\n\r\n')
    await reader.readexactly(_BODY_BYTES)


# Guards against responses that open connections keep, without being counted,
# until the next request: 300 callers of 1 MB each exhausted a node.
@pytest.mark.parametrize(
    'make_response',
    [
        lambda field, body: BufferedResponse(200, (('X-Filler', field),), body),
        lambda field, body: web.Response(
            body=body, headers={'X-Filler': field}
        ),
    ],
)
async def test_open_connection_keeps_no_response(make_response):
    parts = ('x' * 5000, b'x' * _BODY_BYTES)
    holders = [sys.getrefcount(part) for part in parts]

    async def respond(_):
        return make_response(*parts)

    async with serving(respond, make_connections()) as port:
        reader, writer = await asyncio.open_connection(HOST, port)
        with contextlib.closing(writer):
            for _ in range(2):
                await _exchange(reader, writer)
                # The handler may be about to wait for the next request.
                await asyncio.sleep(0.01)
                assert [sys.getrefcount(part) for part in parts] == holders


async def _respond_at_once(_):
    return web.Response(body=b'x' * _BODY_BYTES)


@contextlib.asynccontextmanager
async def _used_connection(connections):
    """Open a connection on which a request with a large head is answered."""
    async with serving(_respond_at_once, connections) as port:
        reader, writer = await asyncio.open_connection(HOST, port)
        with contextlib.closing(writer):
            await _exchange(reader, writer, _REQUEST_WITH_LARGE_HEAD)
            await asyncio.sleep(0.01)
            yield reader, writer


# Guards against heads of requests that open connections keep without being
# counted: 650 callers with 192 KB each exhausted a node.
async def test_head_is_counted_until_the_next_request():
    memory = ConnectionMemory(math.inf)
    connections = make_connections(memory=memory)
    async with _used_connection(connections) as (reader, writer):
        assert memory.held_bytes > _HEAD_BYTES
        await _exchange(reader, writer)
        await asyncio.sleep(0.01)
        assert memory.held_bytes == edges.CALLERS.reserved_bytes


# Guards against connections that are closed while a request is on its way.
async def test_connection_that_keeps_a_head_gives_way_once_it_is_idle():
    memory = ConnectionMemory(_HEAD_BYTES * 8)
    connections = make_connections(memory=memory)
    async with _used_connection(connections) as (reader, _):
        (account,) = memory.open_accounts()
        assert not account.is_large()
        await asyncio.sleep(0.3)
        assert account.is_large()
        account.evict()
        async with asyncio.timeout(1):
            assert not await reader.read()
        assert connections.count_open() == 0


# Guards against answers that are cut off, and against connections that leave
# the count but stay open until their clients have read.
async def test_connection_whose_answer_is_not_read_does_not_give_way():
    memory = ConnectionMemory(math.inf)
    connections = make_connections(memory=memory)

    async def respond(_):
        return web.Response(body=b'x' * _BODY_BYTES * 20)

    async with serving(respond, connections) as port:
        client = await RawClient.connect(HOST, port, receive_buffer_bytes=4096)
        with contextlib.closing(client):
            await client.send(_REQUEST_WITH_LARGE_HEAD)
            await asyncio.sleep(0.4)
            (account,) = memory.open_accounts()
            assert not account.is_expendable()
            assert not account.is_large()
            await client.read_response()
            await asyncio.sleep(0.1)
            assert account.is_expendable()


def test_size_of_a_response_includes_its_headers():
    response = BufferedResponse(200, (('X-Filler', 'x' * 500),), b'x' * 1000)
    assert response.size_bytes == len('X-Filler') + 500 + 1000
