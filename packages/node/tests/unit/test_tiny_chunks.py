"""Tests of many pieces that are parsed and read: others need not wait."""

import asyncio
import contextlib
import math
from unittest import mock

import pytest
from aiohttp import web
from chivelead_node._internal.target_connections import TargetConnection
from chivelead_protocol.bounds import ConnectionMemory
from lib.connections import make_connections, serving
from lib.fake_platform import HOST

_CHUNK = b'2\r\nxy\r\n'
_CHUNK_COUNT = 1000
_CHUNKS = _CHUNK * _CHUNK_COUNT
_REQUEST_HEAD = (
    b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_END = b'0\r\n\r\n'
_BUFFER_BYTES = 16_384


class _CountedMemory(ConnectionMemory):
    """A memory that notes how often connections count what they hold."""

    def __init__(self):
        """Create a memory without a limit."""
        super().__init__(math.inf)
        self.count = 0

    def add(self, account, size_bytes):
        """Note a count."""
        self.count += 1
        super().add(account, size_bytes)


async def _read(request):
    return web.Response(body=str(len(await request.read())).encode())


async def _read_late(request):
    """Let pieces pile up before they are read."""
    await asyncio.sleep(0.1)
    return await _read(request)


# Guards against a loop that is held up by the work that is done for each piece
# of a body: other nodes took the node for held up and refused bookings.
@pytest.mark.parametrize('respond', [_read, _read_late])
async def test_memory_is_not_counted_for_each_piece_of_a_request(respond):
    memory = _CountedMemory()
    async with serving(respond, make_connections(memory=memory)) as port:
        reader, writer = await asyncio.open_connection(HOST, port)
        with contextlib.closing(writer):
            writer.write(_REQUEST_HEAD + _CHUNKS + _END)
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200')
            assert int(await reader.readexactly(4)) == 2 * _CHUNK_COUNT
    assert memory.count < _CHUNK_COUNT / 10


# Guards against the same at connections to targets.
async def test_memory_is_not_counted_for_each_piece_of_a_response():
    memory = _CountedMemory()
    connection = TargetConnection(asyncio.get_running_loop(), memory)
    connection.connection_made(mock.create_autospec(asyncio.Transport))
    connection.prepare_for_responses(has_body=True)
    connection.data_received(_RESPONSE_HEAD + _CHUNKS + _END)
    _, body = await connection.read_response()
    assert await body.read() == b'xy' * _CHUNK_COUNT
    assert memory.count < _CHUNK_COUNT / 10


# Guards against a connection on which nothing is parsed any more: the parser
# notices a pause of reading only at the next part of a body, when it is over.
@pytest.mark.parametrize('chunk_count', [1024, 1025, 1026])
@pytest.mark.parametrize('is_whole', [True, False])
async def test_requests_are_parsed_after_a_pause(chunk_count, is_whole):
    async with serving(
        _read_late, make_connections(), read_bufsize=_BUFFER_BYTES
    ) as port:
        reader, writer = await asyncio.open_connection(HOST, port)
        with contextlib.closing(writer):
            parts = (_REQUEST_HEAD + _CHUNK * chunk_count, _CHUNK + _END)
            if is_whole:
                parts = (b''.join(parts), _REQUEST_HEAD + _CHUNK + _END)
            async with asyncio.timeout(2):
                for part in parts:
                    writer.write(part)
                    await asyncio.sleep(0.3)
                for _ in range(2 if is_whole else 1):
                    head = await reader.readuntil(b'\r\n\r\n')
                    assert b'HTTP/1.1 200' in head


@pytest.mark.parametrize('chunk_count', [2048, 2049, 2050])
async def test_responses_are_parsed_after_a_pause(chunk_count):
    connection = TargetConnection(
        asyncio.get_running_loop(), ConnectionMemory(math.inf)
    )
    connection.connection_made(mock.create_autospec(asyncio.Transport))
    connection.prepare_for_responses(has_body=True)
    for count in (chunk_count, 1):
        connection.data_received(_RESPONSE_HEAD + _CHUNK * count + _END)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(1):
            _, body = await connection.read_response()
            assert await body.read() == b'xy' * count
