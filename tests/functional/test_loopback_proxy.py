"""Tests of the proxy that harms connections in soaks."""

import asyncio
import random

import pytest
from lib.fake_platform import HOST, free_ports
from lib.loopback_proxy import LoopbackProxy

_REPLY_TIMEOUT_S = 0.3


async def echo(reader, writer):
    """Send back what comes, until the end."""
    while chunk := await reader.read(100):
        writer.write(chunk)
    writer.close()


@pytest.fixture
async def proxy():
    """Run a proxy before a server that echoes."""
    port = free_ports(1)[0]
    server = await asyncio.start_server(echo, HOST, port)
    running = LoopbackProxy(port)
    await running.start()
    yield running
    await running.close()
    server.close()


async def connect(proxy):
    """Return the streams of a new connection that has carried a byte."""
    streams = await asyncio.open_connection(HOST, proxy.port)
    assert await ask(streams) == b'x'
    return streams


async def ask(streams):
    """Return the reply to a byte; nothing if none comes in time."""
    streams[1].write(b'x')
    try:
        async with asyncio.timeout(_REPLY_TIMEOUT_S):
            return await streams[0].read(1)
    except TimeoutError:
        return None


# Guards against a soak without silent connections, and with more than those
# that were open.
@pytest.mark.parametrize('directions', [(0, 1), (0,), (1,)])
async def test_only_open_connections_go_silent(proxy, directions):
    silent = await connect(proxy)
    proxy.silence(random.Random(1), 1, directions)
    assert await ask(silent) is None
    working = await connect(proxy)
    assert await ask(working) == b'x'
    for _, writer in (silent, working):
        writer.close()


# Guards against resets that look like a proper end.
async def test_open_connections_are_reset(proxy):
    streams = await connect(proxy)
    proxy.reset()
    with pytest.raises(ConnectionResetError):
        await ask(streams)
    streams[1].close()


# Guards against connections that stay as fast as before.
async def test_delay_and_rate_slow_connections_down(proxy):
    streams = await connect(proxy)
    proxy.delay_s = 2 * _REPLY_TIMEOUT_S
    assert await ask(streams) is None
    streams[1].close()
