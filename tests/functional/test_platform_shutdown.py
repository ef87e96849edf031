"""Tests of nodes on the fake platform: the last seconds of a shutdown."""

import asyncio
import contextlib
import dataclasses

import aiohttp
from lib.fake_platform import HOST
from lib.node_process import RawClient
from lib.platform_fleet import running_fleet

_ROUTES = (('/book/', 'orders', 'unsafe', {'timeout_ms': 9000}),)
_CUT = 'no response'


@contextlib.asynccontextmanager
async def stopping_fleet(grace_ms):
    """Run two nodes; one of them begins to shut down.

    The process of a node ends when its shutdown has ended.
    """
    async with running_fleet('stock', 'orders', routes=_ROUTES) as fleet:
        node = fleet.nodes[0]
        node._settings = dataclasses.replace(
            node._settings,
            bounds=dataclasses.replace(
                node._settings.bounds, grace_ms=grace_ms
            ),
        )

        async def stop():
            async with asyncio.timeout(grace_ms / 1000):
                await node.close()
            for server in node._servers._runners:
                for connection in server.server.connections:
                    connection.force_close()

        stopping = asyncio.create_task(stop())
        yield fleet
        await stopping


async def book(fleet, body=b'x'):
    """Send a request that must run once to the node that shuts down.

    Returns:
        The status, or that the connection ended without a response.
    """
    headers = {'Authorization': 'Token mill-key', 'X-Deadline-Ms': '9000'}
    try:
        response = await fleet.send_request(
            0, '/book/x', 'POST', headers=headers, data=body
        )
    except aiohttp.ClientError:
        return _CUT
    return response[0]


async def slow_body(seconds):
    """Return a body whose end is sent after a time."""
    yield b'first'
    await asyncio.sleep(seconds)
    yield b'last'


# Guards against requests that are cut off at the end of the grace period: they
# were taken before, but their body ended late in it.
async def test_body_that_ends_late_in_the_grace_period_is_refused():
    async with stopping_fleet(6000) as fleet:
        fleet.targets[1].response_delay_s = 3
        assert await book(fleet, slow_body(3.2)) == 503
        assert not fleet.targets[1].received_requests


# Guards against the same where the grace period is short: its end came before
# the time from which requests were refused.
async def test_requests_late_in_a_short_grace_period_are_refused():
    async with stopping_fleet(2000) as fleet:
        assert await book(fleet) == 200
        await asyncio.sleep(1)
        fleet.targets[1].received_requests.clear()
        fleet.targets[1].response_delay_s = 3
        assert await book(fleet) == 503
        assert not fleet.targets[1].received_requests


# Guards against connections that end without a response: a request that runs
# until the end of the grace period gets no other one.
async def test_request_at_the_end_of_the_grace_period_gets_a_response():
    async with stopping_fleet(2000) as fleet:
        fleet.targets[1].response_delay_s = 9
        assert await book(fleet) == 504
        assert len(fleet.targets[1].received_requests) == 1


# Guards against requests that count as ended by the stop, though their callers
# read the answers while the node left the fleet.
async def test_answer_that_is_read_while_the_node_leaves_is_no_end():
    async with stopping_fleet(2000) as fleet:
        fleet.targets[1].response_size_bytes = 3_000_000
        components = fleet.components(0)
        port = fleet.settings[0].callers_address.port
        client = await RawClient.connect(HOST, port)
        await client.send_request('POST', '/book/x')
        responses = []

        async def leave():
            responses.append(await client.read_response())

        components.reporter.leave = leave
    client.close()
    assert [status for status, _ in responses] == [200]
    assert not components.former_ends.make_handover('', '').rows[-1].counts
