"""Tests of node processes: each answer reaches its reader."""

import asyncio
import types

import pytest
from lib.node_process import running_processes
from lib.platform_fleet import wait_until

_ROUTES = (
    ('/read/', 'stock', 'safe', {'timeout_ms': 5000}),
    ('/book/', 'orders', 'unsafe', {'timeout_ms': 5000}),
)
# As on Ethernet; loopback would take megabytes into its buffers.
_SMALL_WINDOW = types.MappingProxyType(
    {'segment_bytes': 1448, 'receive_buffer_bytes': 8192}
)


@pytest.fixture
async def fleet():
    """Run two nodes, one beside each target."""
    async with running_processes('stock', 'orders', routes=_ROUTES) as running:
        yield running


async def read_all(client, count):
    """Return the statuses of the responses that come on a connection."""
    statuses = []
    try:
        for _ in range(count):
            statuses.append((await client.read_response())[0])
    except (EOFError, OSError):
        statuses.append('cut off')
    client.close()
    return statuses


# Guards against answers that are lost because a client that has closed its
# sending half counts as gone.
@pytest.mark.parametrize(
    ('method', 'path', 'delay_s'),
    [('GET', '/read/x', 0.1), ('GET', '/read/x', 3), ('POST', '/book/x', 1)],
)
async def test_client_that_closes_its_sending_half_gets_its_answer(
    fleet, method, path, delay_s
):
    for target in fleet.targets:
        target.response_delay_s = delay_s
    for index, _ in enumerate(fleet.nodes):
        client = await fleet.connect(index)
        await client.send_request(method, path)
        client.close_sending_half()
        assert await read_all(client, 1) == [200]


# Guards against the same on a connection that has carried an answer before.
async def test_half_closed_connection_is_kept_for_a_later_request(fleet):
    client = await fleet.connect(0)
    await client.send_request('POST', '/book/x')
    assert (await client.read_response())[0] == 200
    fleet.targets[1].response_delay_s = 0.5
    await client.send_request('POST', '/book/x')
    client.close_sending_half()
    assert await read_all(client, 1) == [200]


# Guards against work that goes on for callers that have gone, which look like
# those that have closed their sending half until something is sent to them.
async def test_work_for_a_client_that_has_closed_ends_soon(fleet):
    fleet.targets[0].response_delay_s = 3
    for index, _ in enumerate(fleet.nodes):
        client = await fleet.connect(index)
        await client.send_request('GET', '/read/x')
        await asyncio.sleep(0.1)
        client.close()
        await asyncio.sleep(0.5)
        assert fleet.targets[0].cancelled_count == index + 1


# Guards against the same where the client closes only its sending half at
# first.
async def test_work_for_a_client_that_closes_in_two_steps_ends_soon(fleet):
    fleet.targets[0].response_delay_s = 5
    client = await fleet.connect(0)
    await client.send_request('GET', '/read/x')
    client.close_sending_half()
    await asyncio.sleep(0.6)
    assert not fleet.targets[0].cancelled_count
    client.close()
    await asyncio.sleep(2.2)
    assert fleet.targets[0].cancelled_count == 1


# Guards against requests that a planned stop leaves without an answer: they
# were read while an earlier one on their connection was in progress.
async def test_requests_queued_on_a_connection_are_answered_at_a_stop(fleet):
    fleet.targets[1].response_delay_s = 0.5
    client = await fleet.connect(0)
    for _ in range(3):
        await client.send_request('POST', '/book/x')
    await asyncio.sleep(0.2)
    stopping = asyncio.create_task(fleet.nodes[0].terminate())
    assert await read_all(client, 3) == [200, 200, 200]
    assert await stopping == 0


# Guards against answers that a planned stop cuts off since the process ends
# with a part of them in its buffers.
async def test_answer_that_is_read_slowly_is_whole_after_a_stop(fleet):
    fleet.targets[0].response_size_bytes = 300_000
    clients = [await fleet.connect(0, **_SMALL_WINDOW) for _ in range(3)]
    for client in clients:
        await client.send_request('GET', '/read/x')
    await asyncio.sleep(0.5)
    stopping = asyncio.create_task(fleet.nodes[0].terminate())
    await asyncio.sleep(3.5)
    for client in clients:
        assert await read_all(client, 1) == [200]
    assert await stopping == 0


# Guards against resets that overtake an answer: the kernel resets a closed
# connection on which more bytes arrive, and discards what it still has to send.
async def test_bytes_after_the_last_request_do_not_cut_off_its_answer(fleet):
    fleet.targets[0].response_size_bytes = 100_000
    client = await fleet.connect(0, **_SMALL_WINDOW)
    await client.send_request('GET', '/read/x', headers=['Connection: close'])
    for _ in range(3):
        await asyncio.sleep(0.3)
        await client.send(b'GET /read/y HTTP/1.1\r\n')
    assert await read_all(client, 1) == [200]


# Guards against answers that are cut off without a trace in the log.
async def test_answer_that_its_client_does_not_read_is_logged(fleet):
    fleet.targets[0].response_size_bytes = 1_000_000
    client = await fleet.connect(0, **_SMALL_WINDOW)
    request_id = await client.send_request('GET', '/read/x')
    await asyncio.sleep(0.5)
    client.close()
    await wait_until(lambda: fleet.nodes[0].log_lines('answer-cut'))
    assert request_id in fleet.nodes[0].log_lines('answer-cut')[0]


# Guards against requests that are thrown away without a trace in the log.
async def test_request_after_the_last_one_of_its_connection_is_logged(fleet):
    client = await fleet.connect(0)
    request_id = await client.send_request(
        'GET', '/read/x', headers=['Connection: close']
    )
    await asyncio.sleep(0.3)
    await client.send_request('GET', '/read/x')
    assert await read_all(client, 2) == [200, 'cut off']
    await wait_until(lambda: fleet.nodes[0].log_lines('input-ignored'))
    assert request_id in fleet.nodes[0].log_lines('input-ignored')[0]
