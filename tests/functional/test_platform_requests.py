"""Tests of nodes on the fake platform: requests of callers."""

import asyncio

import pytest
from lib.fake_platform import HOST
from lib.node_process import RawClient
from lib.platform_fleet import (
    AUTH_HEADERS,
    running_fleet,
    wait_until,
)


async def test_request_reaches_the_target_unchanged():
    async with running_fleet('stock', 'orders') as fleet:
        status, response_headers, body = await fleet.send_request(
            0,
            '/book/a%2Fb/%7E?q=%20x',
            'POST',
            {**AUTH_HEADERS, 'X-Tenant': 'other', 'X-Caller-Service': 'other'},
            data=b'x' * 100_000,
        )
        assert (status, response_headers['X-Server-Stamp']) == (200, 'stamp')
        assert body == b'orders /book/a%2Fb/%7E?q=%20x'
        request, body_sent = fleet.targets[1].received_requests[0]
        assert body_sent == b'x' * 100_000
        assert request.raw_path == '/book/a%2Fb/%7E?q=%20x'
        request_headers = request.headers
        assert request_headers['Host'] == 'shop.example'
        assert request_headers['X-Tenant'] == 'mill'
        assert request_headers['X-Caller-Service'] == 'stock'
        assert (
            request_headers['X-Expect-Instance'] == fleet.targets[1].target_id
        )
        assert 0 < int(request_headers['X-Deadline-Ms']) <= 2000
        assert 'Authorization' not in request_headers


async def test_chunked_body_reaches_the_target_complete():
    async def chunks():
        for _ in range(5):
            yield b'y' * 1000

    async with running_fleet('orders') as fleet:
        status, _, _ = await fleet.send_request(
            0, '/book/', 'POST', data=chunks()
        )
        assert status == 200
        assert fleet.targets[0].received_requests[0][1] == b'y' * 5000


@pytest.mark.parametrize(
    ('path', 'headers', 'expected'),
    [
        ('/read/x', {'Authorization': 'Token wrong'}, 401),
        ('/read/x', {}, 401),
        ('/nowhere/x', AUTH_HEADERS, 404),
        ('/open/x', {}, 200),
    ],
)
async def test_keys_and_routes_are_checked(path, headers, expected):
    async with running_fleet('stock') as fleet:
        status, response_headers, _ = await fleet.send_request(
            0, path, headers=headers
        )
        assert status == expected
        assert len(fleet.targets[0].received_requests) == (expected == 200)


async def test_body_over_the_limit_is_refused():
    async with running_fleet('orders') as fleet:
        status, _, _ = await fleet.send_request(
            0,
            '/book/',
            'POST',
            data=b'x' * 1_000_001,
        )
        assert status == 413


async def test_request_fails_at_the_timeout_of_the_route():
    routes = (('/read/', 'stock', 'safe', {'timeout_ms': 300}),)
    async with running_fleet('stock', routes=routes) as fleet:
        fleet.targets[0].response_delay_s = 2
        started = asyncio.get_running_loop().time()
        status, _, _ = await fleet.send_request(0, '/read/x')
        elapsed_s = asyncio.get_running_loop().time() - started
        assert status == 504
        assert 200 < elapsed_s * 1000 < 700


async def test_caller_disconnect_cancels_the_request():
    async with running_fleet('stock', 'orders') as fleet:
        fleet.targets[0].response_delay_s = 5
        target = fleet.targets[0]
        for index in (0, 1):
            request_task = asyncio.create_task(
                fleet.send_request(index, '/read/x')
            )
            while len(target.received_requests) < index + 1:
                await asyncio.sleep(0.01)
            request_task.cancel()
            await asyncio.sleep(0.5)
            assert target.cancelled_count == index + 1


# Guards against requests that reach a target long after their callers have
# gone: they must run once, and wait for a slot.
@pytest.mark.parametrize('index', [0, 1])
async def test_caller_disconnect_withdraws_a_request_in_a_queue(index):
    routes = (('/book/', 'orders', 'unsafe', {'target_latency_ms': 16_000}),)
    async with running_fleet('stock', 'orders', routes=routes) as fleet:
        target = fleet.targets[1]
        target.response_delay_s = 1.5
        address = fleet.settings[index].callers_address
        clients = [
            await RawClient.connect(HOST, address.port) for _ in range(12)
        ]
        for client in clients:
            await client.send_request('POST', '/book/x')
        async with asyncio.timeout(10):
            while not target.received_requests:
                await asyncio.sleep(0.01)
        # The others that get a slot arrive together with the first.
        await asyncio.sleep(0.3)
        running = len(target.received_requests)
        assert running < len(clients)
        for client in clients[1:]:
            client.close()
        clients[0].close_sending_half()
        await asyncio.sleep(3)
        assert len(target.received_requests) <= running + 1
        assert (await clients[0].read_response())[0] == 200
        clients[0].close()


async def test_quota_is_enforced():
    organisations = (('mill', 'mill-key', {'requests_per_s': 2, 'burst': 5}),)
    async with running_fleet('stock', organisations=organisations) as fleet:
        statuses = [
            (await fleet.send_request(0, '/read/x'))[0] for _ in range(30)
        ]
        assert statuses.count(200) <= 8
        assert statuses.count(429) + statuses.count(200) == 30


async def test_traffic_split_follows_its_weights():
    routes = (('/read/', (('stock', 75), ('orders', 25)), 'safe', {}),)
    async with running_fleet('stock', 'orders', routes=routes) as fleet:
        for _ in range(40):
            assert (await fleet.send_request(0, '/read/x'))[0] == 200
        assert 8 <= len(fleet.targets[1].received_requests) <= 12


async def test_shutdown_waits_for_requests_in_flight():
    async with running_fleet('stock', 'orders') as fleet:
        fleet.targets[0].response_delay_s = 1
        remote_request = asyncio.create_task(fleet.send_request(1, '/read/x'))
        local_request = asyncio.create_task(fleet.send_request(0, '/read/x'))
        await wait_until(lambda: len(fleet.targets[0].received_requests) == 2)
        shutdown = asyncio.create_task(fleet.nodes[0].close())
        await asyncio.sleep(0.1)
        assert not await fleet.is_ready(0)
        assert (await remote_request)[0] == 200
        assert (await local_request)[0] == 200
        # The node serves new requests until callers have had time to fail over.
        fleet.targets[0].response_delay_s = 0
        assert (await fleet.send_request(0, '/book/x', 'POST'))[0] == 200
        await shutdown


async def test_body_over_the_buffer_limit_of_a_node_is_refused():
    """The body is not read if its Content-Length exceeds the free buffer."""
    async with running_fleet('orders') as fleet:
        body_memory = fleet.components(0).memory.bodies
        share = body_memory.hold(int(body_memory._limit_bytes) - 1000)
        status, response_headers, _ = await fleet.send_request(
            0, '/book/', 'POST', data=b'x' * 2000
        )
        assert (status, 'Retry-After' in response_headers) == (503, True)
        assert not fleet.targets[0].received_requests
        share.close()
        assert (await fleet.send_request(0, '/book/', 'POST', data=b'x'))[
            0
        ] == 200


async def test_response_reaches_the_caller_unchanged():
    async with running_fleet('stock') as fleet:
        target = fleet.targets[0]

        async def respond(request):
            response = target.make_response(request)
            response.headers['X-Repeated'] = 'one'
            response.headers.add('X-Repeated', 'two')
            return response

        target.response_handler = respond
        for _ in range(2):
            status, response_headers, body = await fleet.send_request(
                0, '/read/x'
            )
            assert (status, body) == (200, b'stock /read/x')
            assert response_headers.getall('X-Repeated') == ['one', 'two']
            assert response_headers['X-Server-Stamp'] == 'stamp'
            assert response_headers['Content-Length'] == str(len(body))
        status, response_headers, body = await fleet.send_request(
            0, '/read/x', 'HEAD'
        )
        assert (status, body) == (200, b'')
