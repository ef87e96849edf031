"""Tests of node processes that stop under clients that send until the end."""

import asyncio
import collections
import contextlib
import os
import select
import signal
import time

from lib.loopback_proxy import cancel_all
from lib.node_process import RawClient, running_processes

_ROUTES = (('/book/', 'orders', 'unsafe', {}),)
# The nodes beside these targets are stopped.
_STOPPED = 3
_CALLERS_OF_A_KIND = 4
# More requests than a node can answer would wait before it, not end with it.
_PAUSE_S = 0.02
# A request that was sent whole this long before its process was gone has an
# answer; the rules of the platform allow 0.2 s.
_MAX_UNANSWERED_S = 0.05

_callers = []


class Sent:
    """Requests that were sent to a node, and those without an answer."""

    def __init__(self):
        """Start without requests."""
        self.count = 0
        # Times at which requests without an answer had been sent.
        self.unanswered_s = []


def register_caller(function):
    """Register a kind of clients."""
    _callers.append(function)
    return function


def now_s():
    """Return the event loop time."""
    return asyncio.get_running_loop().time()


async def send_whole(client, sent, size_bytes=0):
    """Send a request; return when all of it was sent."""
    sent.count += 1
    await client.send_request('POST', '/book/0', bytes(size_bytes))
    return now_s()


@register_caller
async def keep_connection(connect, sent):
    """Send each request on the same connection after the answer before it."""
    client = await connect()
    with contextlib.closing(client):
        while True:
            sent_s = await send_whole(client, sent)
            await read_answer(client, sent, sent_s)
            await asyncio.sleep(_PAUSE_S)


@register_caller
async def pipeline(connect, sent):
    """Send on the same connection without waiting for answers."""
    client = await connect()
    waiting = collections.deque()

    async def send():
        while True:
            waiting.append(await send_whole(client, sent))
            await asyncio.sleep(_PAUSE_S)

    sending = asyncio.create_task(send())
    with contextlib.closing(client):
        try:
            while True:
                await client.read_response()
                waiting.popleft()
        finally:
            await cancel_all([sending])
            sent.unanswered_s.extend(waiting)


@register_caller
async def open_connections(connect, sent):
    """Send each request on a connection of its own."""
    while True:
        with contextlib.closing(await connect()) as client:
            await read_answer(client, sent, await send_whole(client, sent))
        await asyncio.sleep(_PAUSE_S)


async def read_answer(client, sent, sent_s):
    """Read an answer to a request."""
    try:
        await client.read_response()
    except (EOFError, OSError, TimeoutError):
        sent.unanswered_s.append(sent_s)
        raise


def wait_for_end(process):
    """Return the time at which a process ends, without the event loop.

    Args:
        process: Open file descriptor of the process.
    """
    poll = select.poll()
    poll.register(process, select.POLLIN)
    poll.poll()
    return time.monotonic()


async def stop_under_load(fleet, index):
    """Stop a node; return the ages of requests that it did not answer."""
    node = fleet.nodes[index]
    process = os.pidfd_open(node.pid)
    sent = Sent()

    async def connect():
        return await RawClient.connect(node.ip, node.callers_port)

    async def send_until_gone(send):
        with contextlib.suppress(EOFError, OSError):
            await send(connect, sent)

    async with asyncio.TaskGroup() as group:
        for send in _callers * _CALLERS_OF_A_KIND:
            group.create_task(send_until_gone(send))
        await asyncio.sleep(0.5)
        node.send_signal(signal.SIGTERM)
        started_s = now_s()
        end_s = await asyncio.to_thread(wait_for_end, process)
        await node.wait()
    os.close(process)
    ages_s = sorted(end_s - sent_s for sent_s in sent.unanswered_s)
    print(
        f'vm-{index}: gone after {end_s - started_s:.2f} s, {sent.count} sent, '
        f'{len(ages_s)} without an answer, oldest '
        f'{[round(age_s, 3) for age_s in ages_s[-6:]]}'
    )
    return ages_s


# Guards against requests that end with the process, though they were sent well
# before: while the node leaves the fleet, or behind others in the backlog.
async def test_requests_are_answered_until_the_process_is_gone():
    services = ['stock' for _ in range(_STOPPED)]
    async with running_processes(*services, 'orders', routes=_ROUTES) as fleet:
        ages_s = await asyncio.gather(
            *(stop_under_load(fleet, index) for index in range(_STOPPED))
        )
    late_s = [age_s for ages in ages_s for age_s in ages]
    assert max(late_s, default=0) < _MAX_UNANSWERED_S
