"""Tests of a node process that stops: what each kind of client gets, and when.

Clients keep the connections that they opened before the stop until the process
is gone.
"""

import asyncio
import functools
import signal

import pytest
from lib.node_process import running_processes

_ROUTES = (
    ('/read/', 'stock', 'safe', {'timeout_ms': 9000}),
    ('/book/', 'orders', 'unsafe', {'timeout_ms': 9000}),
    ('/list/', 'orders', 'safe', {'timeout_ms': 9000}),
)
_SLOTS = 100
# Times from SIGTERM at which clients send.
_MOMENTS_S = (0.1, 1, 1.8, 2.4, 2.6, 5)
# What is sent by then has its answer before new requests are refused.
_SERVED_UNTIL_S = 1.2
# Of the platform: what is sent later before the end of a process may be lost
# if it has not run.
_LOSS_SLACK_S = 0.2
# Keeps the process running until the end of its grace period.
_LONG_REQUEST_MS = 8000
_READ_AFTER_S = 1.2
_UPLOAD_BYTES = 200_000
_HALF_CLOSED_WORK_MS = 900
_HALF_CLOSED_MOMENTS_S = (-0.8, -0.3, 0, 0.3, 1, 1.8, 2.2)
_OK = 200
_CUT = 'cut off'

_clients = {}


def register_client(name):
    """Register a client by its name in the table of results."""

    def register(function):
        _clients[name] = function
        return function

    return register


class Visit:
    """What a client saw of its requests, in the order in which it sent them."""

    def __init__(self):
        """Start without requests."""
        self.answers = []
        self.sent_s = []
        self.request_ids = []

    async def send(self, client, path, **options):
        """Send a request."""
        now_s = asyncio.get_running_loop().time()
        request_id = await client.send_request('POST', path, **options)
        self.sent_s.append(now_s)
        self.request_ids.append(request_id)

    async def read(self, client):
        """Read an answer; return whether the connection goes on."""
        try:
            status, _ = await client.read_response(timeout_s=9)
        except (EOFError, OSError):
            self.answers.append(_CUT)
            return False
        self.answers.append(status)
        return 'close' not in client.last_headers.get('connection', '')


@register_client('honours the close')
async def honour_close(client, visit):
    """Send two requests; the second only if the connection goes on."""
    await visit.send(client, '/book/0')
    if await visit.read(client):
        await visit.send(client, '/book/0')
        await visit.read(client)


@register_client('sends two at once')
async def pipeline(client, visit):
    """Send two requests without waiting for the answer to the first."""
    await visit.send(client, '/book/100')
    await visit.send(client, '/book/0')
    await visit.read(client)
    await visit.read(client)


async def read_late(client, visit, pause_s):
    """Send a second request some time after the first; read both later."""
    await visit.send(client, '/book/0')
    await asyncio.sleep(pause_s)
    await visit.send(client, '/book/0')
    await asyncio.sleep(_READ_AFTER_S - pause_s)
    await visit.read(client)
    await visit.read(client)


@register_client('reads late, second 0.03 s after the first')
async def read_late_soon(client, visit):
    """See ``read_late``."""
    await read_late(client, visit, 0.03)


@register_client('reads late, second 0.3 s after the first')
async def read_late_later(client, visit):
    """See ``read_late``."""
    await read_late(client, visit, 0.3)


@register_client('reads late, second 0.9 s after the first')
async def read_late_last(client, visit):
    """See ``read_late``."""
    await read_late(client, visit, 0.9)


@register_client('request of 1.5 s')
async def wait_long(client, visit):
    """Send a request that takes its target a while."""
    await visit.send(client, '/book/1500')
    await visit.read(client)


@register_client('upload in pieces, 0.6 s')
async def upload(client, visit):
    """Send an upload whose rest follows later."""
    await visit.send(client, '/book/0', size_bytes=_UPLOAD_BYTES)
    try:
        for _ in range(4):
            await asyncio.sleep(0.15)
            await client.send(bytes(_UPLOAD_BYTES // 4))
    finally:
        # Without its last byte, the request is not whole.
        visit.sent_s[-1] = asyncio.get_running_loop().time()
    await visit.read(client)


async def answer_after_delay(target, request):
    """Answer after the milliseconds that the path names."""
    await asyncio.sleep(int(request.path.rpartition('/')[2]) / 1000)
    return target.make_response(request)


async def visit_at(fleet, moment_s, act):
    """Use a connection, which is open since before the stop, at a moment."""
    client = await fleet.connect(0)
    visit = Visit()
    await client.send_request('POST', '/book/0')
    assert (await client.read_response())[0] == 200
    await fleet.stopping.wait()
    await asyncio.sleep(moment_s)
    try:
        await act(client, visit)
    except OSError:
        # The process has gone before the client had sent everything.
        missing = len(visit.sent_s) - len(visit.answers)
        visit.answers.extend(_CUT for _ in range(missing))
    finally:
        client.close()
    return visit


async def stop(fleet):
    """Stop the first node; a request keeps it running until its time is up.

    Returns:
        The event loop time at which the process was gone.
    """
    client = await fleet.connect(0)
    await asyncio.sleep(1)
    fleet.nodes[0].send_signal(signal.SIGTERM)
    fleet.stopping.set()
    await asyncio.sleep(1)
    await client.send_request('POST', f'/book/{_LONG_REQUEST_MS}')
    await fleet.nodes[0].wait()
    client.close()
    return asyncio.get_running_loop().time()


@pytest.fixture
async def fleet():
    """Run two nodes, one beside each target."""
    async with running_processes(
        'stock', 'orders', routes=_ROUTES, slots=_SLOTS
    ) as running:
        running.targets[1].response_handler = functools.partial(
            answer_after_delay, running.targets[1]
        )
        running.stopping = asyncio.Event()
        yield running


# Guards against requests that are read and never answered because they cross
# an answer after which the node closes their connection, though it goes on.
async def test_each_request_on_a_kept_connection_is_answered_in_a_stop(fleet):
    async with asyncio.TaskGroup() as group:
        tasks = {
            (name, moment_s): group.create_task(visit_at(fleet, moment_s, act))
            for name, act in _clients.items()
            for moment_s in _MOMENTS_S
        }
        stopping = group.create_task(stop(fleet))
    visits = {place: task.result() for place, task in tasks.items()}
    ran = {
        request.headers['X-Request-Id']
        for request, _ in fleet.targets[1].received_requests
    }
    for name in _clients:
        print(name, [visits[name, moment_s].answers for moment_s in _MOMENTS_S])
    failures = [
        f'{name} at {moment_s} s: {visit.answers}'
        for (name, moment_s), visit in visits.items()
        if not is_served(visit, moment_s, stopping.result(), ran)
    ]
    assert not failures, '\n'.join(failures)


def is_served(visit, moment_s, end_s, ran):
    """Return whether each request of a client got a true answer.

    Args:
        visit: What the client saw.
        moment_s: Time from the start of the stop to its first request.
        end_s: Event loop time at which the process was gone.
        ran: IDs of the requests that the target ran.
    """
    for answer, sent_s, request_id in zip(
        visit.answers, visit.sent_s, visit.request_ids, strict=True
    ):
        has_run = request_id in ran
        if answer == _CUT:
            if has_run or sent_s < end_s - _LOSS_SLACK_S:
                return False
        elif has_run != (answer == _OK):
            return False
        elif answer != _OK and moment_s < _SERVED_UNTIL_S:
            return False
    return True


async def half_close_at(fleet, moment_s):
    """Send a request at a time from SIGTERM, and then nothing more."""
    client = await fleet.connect(0)
    await asyncio.sleep(1 + moment_s)
    await client.send_request('GET', f'/list/{_HALF_CLOSED_WORK_MS}')
    client.close_sending_half()
    status, _ = await client.read_response()
    client.close()
    return status


# Guards against an answer of the node in the place of a target's that is at
# work: the client has closed its sending half behind an idempotent request.
async def test_half_closed_requests_are_answered_in_a_stop(fleet):
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(half_close_at(fleet, moment_s))
            for moment_s in _HALF_CLOSED_MOMENTS_S
        ]
        group.create_task(stop(fleet))
    statuses = [task.result() for task in tasks]
    assert set(statuses) == {_OK}, statuses
