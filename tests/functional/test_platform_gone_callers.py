"""Tests of node processes: callers that go or stop sending before the end."""

import asyncio
import time
import types

import pytest
from aiohttp import web
from lib.node_process import running_processes

# The queue of a target holds a request for up to an eighth of its objective.
_OBJECTIVE_MS = 8000
_ROUTES = tuple(
    (
        prefix,
        service,
        route_type,
        {'timeout_ms': 5000, 'target_latency_ms': _OBJECTIVE_MS},
    )
    for prefix, service, route_type in (
        ('/read/', 'stock', 'safe'),
        ('/book/', 'orders', 'unsafe'),
    )
)
# As on Ethernet; loopback would take megabytes into its buffers.
_SMALL_WINDOW = types.MappingProxyType(
    {'segment_bytes': 1448, 'receive_buffer_bytes': 8192}
)
# No request may reach a target later than this after its caller has closed.
_GONE_S = 0.5
# Nodes that stop have to be out by then.
_QUICK_STOP_S = 4
_WORK_S = 0.9


@pytest.fixture
async def fleet():
    """Run three nodes; two are beside targets of the same service."""
    async with running_processes(
        'stock', 'orders', 'orders', routes=_ROUTES
    ) as running:
        yield running


async def count_late_arrivals(fleet, caller_count, make_response):
    """Return the requests that reach targets long after their callers left."""
    arrivals_s = []

    def make_handler(target):
        async def handle(request):
            arrivals_s.append(time.monotonic())
            await asyncio.sleep(_WORK_S)
            return make_response(target, request)

        return handle

    for target in fleet.targets[1:]:
        target.response_handler = make_handler(target)
    clients = [await fleet.connect(0) for _ in range(caller_count)]
    for client in clients:
        await client.send_request('POST', '/book/x')
    await asyncio.sleep(0.1)
    for client in clients:
        client.close()
    closed_s = time.monotonic()
    await asyncio.sleep(3)
    assert arrivals_s
    return sum(arrived_s > closed_s + _GONE_S for arrived_s in arrivals_s)


def refuse(target, request):
    """Return a refusal of a request that has not run."""
    return web.Response(
        status=503,
        headers={
            'X-Request-Id': request.headers['X-Request-Id'],
            'X-Server-Stamp': 'stamp',
            'X-Not-Executed': '1',
        },
    )


def serve(target, request):
    """Return a success."""
    return target.make_response(request)


# Guards against work for callers that have gone: a request that must run once
# is sent to a second target after the first has refused it.
async def test_no_second_attempt_for_a_caller_that_has_gone(fleet):
    assert await count_late_arrivals(fleet, 6, refuse) == 0


# Guards against work for callers that have gone: a request that must run once
# stays in the queue of a target and is admitted later.
async def test_request_leaves_the_queue_with_its_caller(fleet):
    assert await count_late_arrivals(fleet, 40, serve) == 0


# Guards against connections that stay open unread: the client closes its
# sending half while the last bytes of its answer are being written.
async def test_connection_ends_with_an_answer_to_a_half_closed_client(fleet):
    fleet.targets[0].response_size_bytes = 300_000
    client = await fleet.connect(0, **_SMALL_WINDOW)
    await client.send_request('GET', '/read/x')
    await asyncio.sleep(0.6)
    client.close_sending_half()
    assert (await client.read_response())[0] == 200
    with pytest.raises(EOFError):
        await client.read_response(timeout_s=2)


# Guards against stops that wait for a request that has its answer: the client
# never sends the rest of the body.
async def test_refused_upload_does_not_delay_a_stop(fleet):
    client = await fleet.connect(0)
    await client.send(
        b'POST /book/x HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Request-Id: 1\r\nContent-Length: 1000\r\n\r\nabc'
    )
    assert (await client.read_response())[0] == 401
    async with asyncio.timeout(_QUICK_STOP_S):
        assert await fleet.nodes[0].terminate() == 0
