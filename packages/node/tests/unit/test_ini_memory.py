"""What a node with INI documents may hold for others."""

import asyncio
import contextlib

import pytest
from aiohttp import web
from chivelead_config import build_document_set, parse_settings
from chivelead_node._internal.daemon import NodeDaemon
from chivelead_node._internal.targets import Announcement
from chivelead_protocol import (
    Acknowledged,
    GuardDecision,
    GuardEntry,
    GuardHandover,
    HybridClock,
    PeerLink,
    Ping,
    TargetState,
)
from chivelead_protocol.bounds import edges
from lib.fake_platform import HOST, free_ports, start_http_server
from lib.platform_fleet import wait_until

_LIMIT_MB = 64
_BODY_BYTES = 4_194_304
_SECRET = 'of the fleet'
_SETTINGS = """
[node]
vm = vm-1
failure_domain = south-1
region = south
host = 127.0.0.1
caller_port = {0}
local_port = {1}
peer_port = {2}
fleet_secret = {3}
[store]
url = http://127.0.0.1:{4}
[limits]
memory_limit_mb = {5}
shutdown_timeout_ms = 0
"""
_SERVICE = """
[service]
name = stock
[route upload]
method = POST
path = /upload
importance = 5
idempotent = no
timeout_ms = 9000
open = yes
[route read]
method = GET
path = /read
importance = 5
idempotent = yes
timeout_ms = 9000
open = yes
"""
_UPLOAD = (
    'POST /stock/upload HTTP/1.1\r\nHost: x\r\n'
    f'Content-Length: {_BODY_BYTES}\r\n\r\n'
).encode()
_CHUNKED_UPLOAD = (
    b'POST /stock/upload HTTP/1.1\r\nHost: x\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
_READ = b'GET /stock/read HTTP/1.1\r\nHost: x\r\n\r\n'
_CHUNK_BYTES = _BODY_BYTES - 1
_COUNT = 8


class _Node:
    """A node with a target, both in this process."""

    def __init__(self):
        caller_port, local_port, peer_port, store_port = free_ports(4)
        self.caller_port = caller_port
        self.peer_port = peer_port
        self.daemon = NodeDaemon(
            parse_settings(
                _SETTINGS.format(
                    caller_port,
                    local_port,
                    peer_port,
                    _SECRET,
                    store_port,
                    _LIMIT_MB,
                ),
                'node.ini',
            )
        )
        self.components = self.daemon.components
        self.served = 0

    async def start(self):
        """Start both, and let the target announce itself."""
        await self.daemon.start()
        self.components.apply_documents(
            build_document_set(1, {}, {'service/stock': _SERVICE})
        )
        port = free_ports(1)[0]
        self._target = await start_http_server(self._serve, port)
        await self.components.apply_announcement(
            Announcement('stock', HOST, port, 50, 50, TargetState.ready, 0)
        )

    async def close(self):
        """Stop both."""
        await self.daemon.close()
        await self._target.cleanup()

    async def _serve(self, request):
        self.served += 1
        async for _ in request.content.iter_any():
            await asyncio.sleep(0)
        size_bytes = _BODY_BYTES if request.method == 'GET' else 2
        return web.Response(body=b'x' * size_bytes)


class _Guard:
    """Client of a guard that lets all calls run."""

    async def begin(self, *_):
        return GuardDecision('run', None)

    async def finish(self, *_):
        return Acknowledged()


@pytest.fixture
async def node():
    """Run a node that may hold little."""
    running = _Node()
    await running.start()
    yield running
    await running.close()


@contextlib.asynccontextmanager
async def _connections(port, count):
    """Open connections that are closed at the end."""
    async with contextlib.AsyncExitStack() as stack:
        streams = []
        for _ in range(count):
            reader, writer = await asyncio.open_connection(HOST, port)
            stack.callback(writer.transport.abort)
            streams.append((reader, writer))
        yield streams


async def _status(reader, timeout_s=2):
    """Return the status of the next response; None if none comes."""
    try:
        async with asyncio.timeout(timeout_s):
            head = await reader.readuntil(b'\r\n\r\n')
    except TimeoutError:
        return None
    assert int(head.split()[1]) == 200 or b'Outcome: not-run' in head
    return int(head.split()[1])


def _send(message, streams):
    for _, writer in streams:
        writer.write(message)


# Guards against callers or peers that open connections until the memory of the
# node is exhausted.
@pytest.mark.parametrize(
    ('port_name', 'edge'),
    [('caller_port', edges.CALLERS), ('peer_port', edges.PEERS)],
)
async def test_connections_beyond_the_limit_are_refused(node, port_name, edge):
    async with _connections(getattr(node, port_name), 400) as streams:
        await asyncio.sleep(0.3)
        left = [reader for reader, _ in streams if not reader.at_eof()]
        limit_bytes = _LIMIT_MB * 1_000_000 * 0.23 * edge.fraction
        assert 0 < len(left) <= limit_bytes / edge.reserved_bytes


# Guards against a target whose calls open connections without a limit.
async def test_all_connections_belong_to_one_budget(node):
    async with (
        _connections(node.caller_port, 1) as callers,
        _connections(node.components.settings.node.local_port, 1),
    ):
        _send(_READ, callers)
        assert await _status(callers[0][0]) == 200
        await node.components.links.connect_to_address(HOST, node.peer_port)
        held = node.components.memory.connections.held_by_edge()
        assert set(held) == {'callers', 'control', 'target', 'peers'}
        # Both ends of the link.
        assert held['peers'] >= 2 * 81_920


# Guards against many uploads at once that exhaust the memory of the node.
@pytest.mark.parametrize(
    ('head', 'part', 'rest'),
    [
        (_UPLOAD, b'x', b'x' * _CHUNK_BYTES),
        (
            _CHUNKED_UPLOAD,
            b'%x\r\n%s\r\n' % (_CHUNK_BYTES, b'x' * _CHUNK_BYTES),
            b'0\r\n\r\n',
        ),
    ],
    ids=['announced', 'chunks'],
)
async def test_uploads_beyond_the_count_are_refused(node, head, part, rest):
    async with _connections(node.caller_port, _COUNT) as streams:
        _send(head + part, streams)
        statuses = await asyncio.gather(
            *(_status(reader) for reader, _ in streams)
        )
        assert set(statuses) == {None, 503}
        # 15.9 MB are for large requests.
        taken = [
            streams[index]
            for index, status in enumerate(statuses)
            if status is None
        ]
        assert len(taken) <= 3
        assert node.served == 0
        _send(rest, taken)
        for reader, _ in taken:
            assert await _status(reader) == 200
        assert node.served == len(taken)
    await wait_until(lambda: node.components.memory.bodies.held_bytes == 0)


# Guards against a body that is not counted while it goes on without its caller.
async def test_upload_counts_until_its_call_has_ended(node):
    admitted = asyncio.Event()
    may_end = asyncio.Event()
    run = node.components.ingress._outbound.run

    async def run_slowly(call):
        admitted.set()
        await may_end.wait()
        return await run(call)

    node.components.ingress._outbound.run = run_slowly
    bodies = node.components.memory.bodies
    head = _UPLOAD.replace(b'Host: x', b'Host: x\r\nIdempotency-Key: one')
    node.components.ingress._guard = _Guard()
    async with _connections(node.caller_port, 1) as streams:
        _send(head + b'x' * _BODY_BYTES, streams)
        await admitted.wait()
    await wait_until(lambda: not node.daemon._caller_connections.count_open())
    await asyncio.sleep(0.1)
    assert bodies.held_bytes >= _BODY_BYTES
    may_end.set()
    await wait_until(lambda: node.served == 1 and not bodies.held_bytes)


# Guards against responses that callers do not read and that are not counted.
async def test_response_counts_until_it_is_written(node):
    bodies = node.components.memory.bodies
    async with _connections(node.caller_port, 1) as streams:
        # The kernel takes a part of the first one.
        for _ in range(4):
            _send(_READ, streams)
        await wait_until(lambda: node.served > 0)
        await asyncio.sleep(0.5)
        assert _BODY_BYTES <= bodies.held_bytes < 2 * _BODY_BYTES
        reader, _ = streams[0]
        for _ in range(4):
            assert await _status(reader) == 200
            await reader.readexactly(_BODY_BYTES)
        # Also while the connection stays open.
        await wait_until(lambda: not bodies.held_bytes)


# Guards against responses that count on when their callers have gone.
async def test_response_counts_no_more_without_its_caller(node):
    bodies = node.components.memory.bodies
    async with _connections(node.caller_port, 1) as streams:
        _send(_READ * 4, streams)
        await wait_until(lambda: bodies.held_bytes >= _BODY_BYTES)
        await asyncio.sleep(0.3)
    await wait_until(lambda: not bodies.held_bytes)


# Guards against a limit on messages that loses the records of idempotency keys.
async def test_large_handover_is_accepted(node):
    entry = GuardEntry(1, 'd' * 64, 'f' * 64, 'done', 1, None)
    handover = GuardHandover((1,), (entry,) * 10_000, 'handover')
    link = PeerLink(
        'vm-2', HOST, node.peer_port, _SECRET.encode(), HybridClock()
    )
    await link.start()
    try:
        # Before, the node may not have authenticated its peer.
        await link.request(Ping(), 2000)
        assert await link.request(handover, 2000) == Acknowledged()
    finally:
        await link.close()
    assert 'handover' in node.components.guard._pending_handovers
