"""Tests of links between nodes on which a message takes seconds."""

import asyncio
import contextlib

import pytest
from chivelead_protocol import (
    HybridClock,
    LinkLostError,
    LinkNotOpenError,
    PeerLink,
    PeerServer,
    PlanPull,
    PlanText,
    Pong,
    StatusQuery,
    now_ms,
)
from chivelead_standins._internal.fault_proxy import FaultProxy
from chivelead_standins._internal.layout import free_ports

HOST = '127.0.0.1'
BYTES_PER_S = 100_000
# Takes longer than a link may be silent.
LARGE = PlanText(1, 'x' * 350_000)
# A link with requests in flight, and an idle one, is closed after this time
# without data.
BUSY_SILENCE_MS = 1400
SILENCE_MS = 2400
MARGIN_MS = 300


class NarrowLink:
    """A link to a server, with a proxy between that limits its rate."""

    def __init__(self):
        """Choose the ports."""
        ports = free_ports()
        self._server_port = next(ports)
        proxy_port = next(ports)
        self.server = PeerServer(
            'far', b'secret', HybridClock(), self._handle_request
        )
        self.proxy = FaultProxy(proxy_port, self._server_port)
        self.link = PeerLink('near', HOST, proxy_port, b'secret', HybridClock())

    async def start(self):
        """Open the link."""
        await self.server.start(HOST, self._server_port)
        await self.proxy.start()
        await self.link.start()
        self.proxy.bytes_per_s = BYTES_PER_S

    async def close(self):
        """Close the link."""
        await self.link.close()
        await self.proxy.close()
        await self.server.close()

    async def _handle_request(self, vm, body):
        return LARGE if isinstance(body, PlanPull) else Pong()


@pytest.fixture
async def narrow():
    """Open a narrow link."""
    narrow_link = NarrowLink()
    await narrow_link.start()
    yield narrow_link
    await narrow_link.close()


# Guards against a large request that closes the link under all other calls,
# because its peer can't reply before all of it has arrived.
async def test_large_request_keeps_the_link_and_other_calls(narrow):
    replies = await asyncio.gather(
        narrow.link.request(StatusQuery(), 10_000),
        narrow.link.request(LARGE, 10_000),
        narrow.link.request(StatusQuery(), 10_000),
    )
    assert replies == [Pong(), Pong(), Pong()]
    assert narrow.link.is_open


# Guards against a server that closes the link under its own large reply, as
# whole messages only counted as a sign of life.
async def test_large_reply_keeps_the_link_and_other_calls(narrow):
    replies = await asyncio.gather(
        narrow.link.request(PlanPull(), 10_000),
        narrow.link.request(StatusQuery(), 10_000),
    )
    assert replies == [LARGE, Pong()]
    assert await narrow.link.request(StatusQuery(), 1000) == Pong()


# Guards against silence that is found later because bytes that were sent, or
# the start of a message, count as a sign of life.
@pytest.mark.parametrize('body', [LARGE, PlanPull()])
async def test_silence_in_a_large_message_is_found_in_time(narrow, body):
    lost = asyncio.create_task(narrow.link.request(body, 60_000))
    await asyncio.sleep(1.5)
    narrow.proxy.stall_open_connections()
    stalled_ms = now_ms()
    while not lost.done():
        await asyncio.wait([lost], timeout=0.1)
        # More bytes find room in the send buffers, unless the link is closed.
        with contextlib.suppress(LinkNotOpenError):
            await narrow.link.send(StatusQuery())
    with pytest.raises(LinkLostError):
        await lost
    assert now_ms() - stalled_ms <= BUSY_SILENCE_MS + MARGIN_MS
    while narrow.server.channels():
        await asyncio.sleep(0.05)
    assert now_ms() - stalled_ms <= SILENCE_MS + MARGIN_MS
