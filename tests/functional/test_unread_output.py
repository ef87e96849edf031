"""Tests of node processes whose output goes to a pipe that nobody reads."""

import asyncio
import os

import pytest
from lib.node_process import running_processes

_GARBAGE = b'no websocket\r\n\r\n'
# Each leaves a warning of about 100 bytes; a pipe takes 64 KiB.
_REFUSED_LINKS = 1500
_AT_ONCE = 50


@pytest.fixture
async def fleet():
    """Run two nodes; nobody reads the standard error of the first."""
    read_end, write_end = os.pipe()
    try:
        async with running_processes(
            'stock', 'orders', standard_error=write_end
        ) as running:
            yield running
    finally:
        os.close(read_end)
        os.close(write_end)


async def send_garbage(node):
    """Open a link with something else than its handshake."""
    reader, writer = await asyncio.open_connection(node.ip, node.peer_port)
    writer.write(_GARBAGE)
    await reader.read()
    writer.close()


# Guards against a process that stands still with all its requests, since it
# waits for the reader of its warnings.
async def test_unread_warnings_do_not_stop_a_node(fleet):
    node = fleet.nodes[0]
    async with asyncio.timeout(30):
        for _ in range(_REFUSED_LINKS // _AT_ONCE):
            await asyncio.gather(*(send_garbage(node) for _ in range(_AT_ONCE)))
    client = await fleet.connect(0)
    await client.send_request('POST', '/book/x')
    assert (await client.read_response())[0] == 200
    assert await node.terminate() == 0
