"""Tests of node processes: many connections at once stay within the memory."""

import asyncio
import contextlib
import itertools
import types

import pytest
from lib.endless_bytes import (
    BLOCK,
    CHUNK,
    MEMORY_BOUND_MB,
    TINY_CHUNKS,
    UPLOAD_ROUTES,
    BookingClient,
    EndlessBytes,
    EndlessStoreReplies,
    EndlessTarget,
    MemoryPeaks,
    call_forever,
    check_others_beside,
    make_request_head,
    make_response_head,
    send_forever,
)
from lib.node_process import ProcessFleet, RawClient

_DURATION_S = 8
_SLOTS = 88
_CALLER_COUNT = 300
_EMPTY_LINE = b'\r\n'
_CHUNKED = 'Transfer-Encoding: chunked'
_BODY_FIELDS = types.MappingProxyType(
    {
        'chunks': (_CHUNKED, CHUNK),
        'length': ('Content-Length: 60000000', BLOCK),
        'no-length': ('Server: x', BLOCK),
        'tiny-chunks': (_CHUNKED, TINY_CHUNKS),
    }
)
_TINY_UPLOAD = EndlessBytes(
    make_request_head('POST', '/upload/x', _CHUNKED) + _EMPTY_LINE, TINY_CHUNKS
)
_TINY_BEAT = EndlessBytes(
    make_request_head(
        'POST', '/api/rpc?call=instances.heartbeat&of=i-1', _CHUNKED
    )
    + _EMPTY_LINE,
    TINY_CHUNKS,
)
_LARGE_UPLOAD = EndlessBytes(
    make_request_head('POST', '/upload/x', 'Content-Length: 60000000')
    + _EMPTY_LINE,
    BLOCK,
)
_TOO_LARGE_UPLOAD = EndlessBytes(
    make_request_head('POST', '/upload/x', 'Content-Length: 600000000')
    + _EMPTY_LINE,
    BLOCK * 4,
)


def _make_faulty_target(form):
    field, block = _BODY_FIELDS[form]

    def make_target(service, _):
        if service == 'orders':
            return None
        return EndlessTarget(
            service,
            lambda request_id: EndlessBytes(
                make_response_head(field, request_id=request_id) + _EMPTY_LINE,
                block,
            ),
        )

    return make_target


@contextlib.asynccontextmanager
async def _running_fleet(make_target=None):
    fleet = ProcessFleet('stock', 'orders', make_target=make_target)
    try:
        await fleet.start(
            routes=UPLOAD_ROUTES, body_limit_bytes=67_108_864, slots=_SLOTS
        )
        yield fleet
    finally:
        await fleet.close()


def _call_forever(fleet, count):
    node = fleet.nodes[0]
    return [
        call_forever(node.ip, node.callers_port, '/read/x')
        for _ in range(count)
    ]


def _send_forever(node, port, endless, count):
    return [send_forever(node.ip, port, endless) for _ in range(count)]


# Guards against a node that runs out of memory when all slots of its target
# send responses without end.
@pytest.mark.parametrize('form', _BODY_FIELDS)
async def test_faulty_target_with_many_slots_stays_within_the_memory(form):
    async with _running_fleet(_make_faulty_target(form)) as fleet:
        await check_others_beside(
            fleet, _call_forever(fleet, _CALLER_COUNT), _DURATION_S
        )


# Guards against bodies that cost a process many times their size, since each
# piece is an object.
@pytest.mark.parametrize('count', [200, 400])
async def test_uploads_in_tiny_chunks_stay_within_the_memory(count):
    async with _running_fleet() as fleet:
        node = fleet.nodes[0]
        await check_others_beside(
            fleet,
            _send_forever(node, node.callers_port, _TINY_UPLOAD, count),
            _DURATION_S,
        )


# Guards against the same at the port for announcements.
async def test_announcements_in_tiny_chunks_stay_within_the_memory():
    async with _running_fleet() as fleet:
        node = fleet.nodes[0]
        await check_others_beside(
            fleet,
            _send_forever(node, node.announcements_port, _TINY_BEAT, 200),
            _DURATION_S,
        )


# Guards against refused uploads that are read on for seconds.
async def test_uploads_over_the_limit_stay_within_the_memory():
    async with _running_fleet() as fleet:
        node = fleet.nodes[0]
        await check_others_beside(
            fleet,
            _send_forever(node, node.callers_port, _TOO_LARGE_UPLOAD, 75),
            _DURATION_S,
        )


# Guards against limits that each hold for one kind of peer, but not together.
async def test_target_callers_and_store_at_once_stay_within_the_memory():
    async with _running_fleet(_make_faulty_target('chunks')) as fleet:
        node = fleet.nodes[0]
        fleet.store.override_replies(
            EndlessStoreReplies(EndlessBytes(b'', BLOCK)).reply
        )
        fleet.store.end_watches()
        harmful = itertools.chain(
            _call_forever(fleet, 150),
            _send_forever(node, node.callers_port, _TINY_UPLOAD, 75),
            _send_forever(node, node.callers_port, _LARGE_UPLOAD, 75),
            _send_forever(node, node.announcements_port, _TINY_BEAT, 50),
        )
        await check_others_beside(fleet, harmful, _DURATION_S)


# Guards against open connections that keep what their last exchange held: the
# response, or the head of the request.
@pytest.mark.parametrize('form', ['response', 'head'])
async def test_connections_that_were_used_stay_within_the_memory(form):
    fields = []
    if form == 'head':
        fields = [f'X-Filler-{index}: '.ljust(8000, 'x') for index in range(24)]
    request = make_request_head('GET', '/read/x', *fields, end=_EMPTY_LINE)
    async with _running_fleet() as fleet:
        if form == 'response':
            fleet.targets[0].response_size_bytes = 1_000_000
        node = fleet.nodes[0]
        await check_others_beside(
            fleet, [_use_connections(node, request)], _DURATION_S
        )


async def _use_connections(node, request):
    """Send a request on one connection after the other; keep them open."""
    clients = []
    while True:
        client = await RawClient.connect(node.ip, node.callers_port)
        clients.append(client)
        with contextlib.suppress(OSError, EOFError):
            await client.send(request)
            await client.read_response()


async def _open_connections(node, count, start):
    """Open connections and send the start of a request on each."""
    clients = []
    for _ in range(count):
        client = await RawClient.connect(node.ip, node.callers_port)
        clients.append(client)
        with contextlib.suppress(OSError):
            await client.send(start)
    return clients


# Guards against many connections that each hold little, and against idle
# connections that keep others out.
@pytest.mark.parametrize(
    'start',
    [
        b'',
        make_request_head(
            'POST', '/upload/x', end=b'X-Filler: '.ljust(9000, b'x')
        ),
        make_request_head('POST', '/upload/x', 'Content-Length: 60000')
        + _EMPTY_LINE
        + b'x' * 9000,
    ],
    ids=['idle', 'head', 'body'],
)
async def test_thousands_of_connections_stay_within_the_memory(start):
    async with _running_fleet() as fleet:
        node = fleet.nodes[0]
        bookings = BookingClient(fleet, 0)
        booking = asyncio.create_task(bookings.run(_DURATION_S))
        async with MemoryPeaks(fleet.nodes) as memory:
            # Its connection is open before the others.
            while not bookings.statuses:
                await asyncio.sleep(0.01)
            clients = await _open_connections(node, 3000, start)
            # A client that has just connected is not idle.
            await asyncio.sleep(1.5)
            other = BookingClient(fleet, 0)
            await other.run(1)
            await booking
        for client in clients:
            client.close()
        print(memory.peaks_mb, memory.unread_peaks_mb, bookings.statuses)
        assert max(memory.peaks_mb.values()) < MEMORY_BOUND_MB
        assert bookings.cut_off_count == 0
        assert set(bookings.statuses) == {200}
        assert set(other.statuses) == {200}
