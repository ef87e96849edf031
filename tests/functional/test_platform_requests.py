"""Nodes on the stand-in platform: requests of callers."""

import asyncio

import pytest
from lib.platform_fleet import (
    KEY,
    running,
    until,
)


async def test_request_reaches_the_target_unchanged():
    async with running('stock', 'orders') as fleet:
        status, heads, body = await fleet.ask(
            0,
            '/book/a%2Fb/%7E?q=%20x',
            'POST',
            {**KEY, 'X-Tenant': 'other', 'X-Caller-Service': 'other'},
            data=b'x' * 100_000,
        )
        assert (status, heads['X-Server-Stamp']) == (200, 'stamp')
        assert body == b'orders /book/a%2Fb/%7E?q=%20x'
        request, sent = fleet.targets[1].seen[0]
        assert sent == b'x' * 100_000
        assert request.raw_path == '/book/a%2Fb/%7E?q=%20x'
        heads = request.headers
        assert heads['Host'] == 'shop.example'
        assert heads['X-Tenant'] == 'mill'
        assert heads['X-Caller-Service'] == 'stock'
        assert heads['X-Expect-Instance'] == fleet.targets[1].target_id
        assert 0 < int(heads['X-Deadline-Ms']) <= 2000
        assert 'Authorization' not in heads


async def test_chunked_body_is_whole():
    async def chunks():
        for _ in range(5):
            yield b'y' * 1000

    async with running('orders') as fleet:
        status, _, _ = await fleet.ask(0, '/book/', 'POST', data=chunks())
        assert status == 200
        assert fleet.targets[0].seen[0][1] == b'y' * 5000


@pytest.mark.parametrize(
    ('path', 'headers', 'expected'),
    [
        ('/read/x', {'Authorization': 'Token wrong'}, 401),
        ('/read/x', {}, 401),
        ('/nowhere/x', KEY, 404),
        ('/open/x', {}, 200),
    ],
)
async def test_keys_and_routes(path, headers, expected):
    async with running('stock') as fleet:
        status, heads, _ = await fleet.ask(0, path, headers=headers)
        assert status == expected
        assert len(fleet.targets[0].seen) == (expected == 200)


async def test_body_over_the_limit_is_refused():
    async with running('orders') as fleet:
        status, _, _ = await fleet.ask(
            0,
            '/book/',
            'POST',
            data=b'x' * 1_000_001,
        )
        assert status == 413


async def test_final_answer_comes_at_the_timeout_of_the_route():
    routes = (('/read/', 'stock', 'safe', {'timeout_ms': 300}),)
    async with running('stock', routes=routes) as fleet:
        fleet.targets[0].work_s = 2
        started = asyncio.get_running_loop().time()
        status, _, _ = await fleet.ask(0, '/read/x')
        elapsed_s = asyncio.get_running_loop().time() - started
        assert status == 504
        assert 200 < elapsed_s * 1000 < 700


async def test_caller_that_leaves_stops_the_work():
    async with running('stock', 'orders') as fleet:
        fleet.targets[0].work_s = 5
        target = fleet.targets[0]
        for number in (0, 1):
            asking = asyncio.create_task(fleet.ask(number, '/read/x'))
            while len(target.seen) < number + 1:
                await asyncio.sleep(0.01)
            asking.cancel()
            await asyncio.sleep(0.5)
            assert target.cancelled == number + 1


async def test_quota_is_enforced():
    organisations = (('mill', 'mill-key', {'requests_per_s': 2, 'burst': 5}),)
    async with running('stock', organisations=organisations) as fleet:
        statuses = [(await fleet.ask(0, '/read/x'))[0] for _ in range(30)]
        assert statuses.count(200) <= 8
        assert statuses.count(429) + statuses.count(200) == 30


async def test_split_keeps_its_weights():
    routes = (('/read/', (('stock', 75), ('orders', 25)), 'safe', {}),)
    async with running('stock', 'orders', routes=routes) as fleet:
        for _ in range(40):
            assert (await fleet.ask(0, '/read/x'))[0] == 200
        assert 8 <= len(fleet.targets[1].seen) <= 12


async def test_shutdown_ends_what_is_under_way():
    async with running('stock', 'orders') as fleet:
        fleet.targets[0].work_s = 1
        asking = asyncio.create_task(fleet.ask(1, '/read/x'))
        own = asyncio.create_task(fleet.ask(0, '/read/x'))
        await until(lambda: len(fleet.targets[0].seen) == 2)
        closing = asyncio.create_task(fleet.nodes[0].close())
        await asyncio.sleep(0.1)
        assert not await fleet.is_ready(0)
        assert (await asking)[0] == 200
        assert (await own)[0] == 200
        fleet.targets[0].work_s = 0
        assert (await fleet.ask(0, '/book/x', 'POST'))[0] == 200
        await closing


async def test_bodies_beyond_the_memory_of_a_node_are_refused_unread():
    async with running('orders') as fleet:
        ingress = fleet.parts(0).ingress
        ingress._buffered_bytes = ingress._buffer_limit_bytes - 1000
        status, heads, _ = await fleet.ask(
            0, '/book/', 'POST', data=b'x' * 2000
        )
        assert (status, 'Retry-After' in heads) == (503, True)
        assert not fleet.targets[0].seen
        ingress._buffered_bytes = 0
        assert (await fleet.ask(0, '/book/', 'POST', data=b'x'))[0] == 200


async def test_answer_reaches_the_caller_as_the_target_gave_it():
    async with running('stock') as fleet:
        target = fleet.targets[0]

        async def answer(request):
            response = target.success(request)
            response.headers['X-Repeated'] = 'one'
            response.headers.add('X-Repeated', 'two')
            return response

        target.behave = answer
        for _ in range(2):
            status, heads, body = await fleet.ask(0, '/read/x')
            assert (status, body) == (200, b'stock /read/x')
            assert heads.getall('X-Repeated') == ['one', 'two']
            assert heads['X-Server-Stamp'] == 'stamp'
            assert heads['Content-Length'] == str(len(body))
        status, heads, body = await fleet.ask(0, '/read/x', 'HEAD')
        assert (status, body) == (200, b'')
