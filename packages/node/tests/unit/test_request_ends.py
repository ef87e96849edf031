"""Tests of requests that end without an answer: each has a cause."""

import asyncio
import collections
import contextlib
import dataclasses
import re
import socket
import struct

import pytest
from aiohttp import web
from chivelead_node._internal.end_causes import EndCause
from chivelead_node._internal.events import EventLog
from chivelead_protocol import CallReply, HybridClock, Outcome
from lib.connections import make_connections, serving
from lib.fake_platform import HOST

_WORK_S = 0.3
_ENDED_S = 0.6
_SLOW_WORK_S = 1.5
_LARGE_ANSWER_BYTES = 20_000_000
_WORK = b'/work'
_LARGE = b'/large'
_SLOW = b'/slow'
_FAILING = b'/failing'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_TRAILERS = b'3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n'


def _encode(path, fields=b'', body=b'', request_id=b'a'):
    return b''.join(
        (
            b'POST %s HTTP/1.1\r\nHost: x\r\n' % path,
            b'X-Request-Id: %s\r\n' % request_id,
            fields or b'Content-Length: %d\r\n' % len(body),
            b'\r\n',
            body,
        )
    )


async def _respond(request):
    await request.read()
    if request.path == '/failing':
        raise ValueError('a fault of the handler')
    if request.path == '/large':
        return web.Response(body=bytes(_LARGE_ANSWER_BYTES))
    await asyncio.sleep(_WORK_S if request.path == '/work' else _SLOW_WORK_S)
    return web.Response(text='hello')


@dataclasses.dataclass(frozen=True)
class Case:
    """What a client sends, how it leaves, and the causes that this gives."""

    name: str
    sent: bytes
    leave: str
    causes: tuple[EndCause, ...]


_CASES = (
    Case('answered', _encode(_WORK), 'reads', ()),
    Case(
        'reset while requests are at work and queued',
        _encode(_WORK) * 3,
        'resets',
        (EndCause.caller_reset,) * 3,
    ),
    Case(
        'reset while an answer is written',
        _encode(_LARGE),
        'resets',
        (EndCause.caller_reset,),
    ),
    Case(
        'closed in a body',
        _encode(_WORK, b'Content-Length: 9\r\n', b'abc'),
        'closes',
        (EndCause.request_incomplete,),
    ),
    Case(
        'half closed in a body behind another request',
        _encode(_WORK) + _encode(_WORK, b'Content-Length: 9\r\n', b'abc'),
        'half closes',
        (EndCause.request_incomplete,),
    ),
    Case(
        'sent behind a request to close',
        _encode(_WORK, b'Connection: close\r\nContent-Length: 0\r\n')
        + _encode(_WORK),
        'reads',
        (EndCause.behind_last_answer,),
    ),
    Case('refused', b'no HTTP\r\n\r\n', 'reads', ()),
)


async def _open(port):
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    return sock


async def _send(sock, raw):
    await asyncio.get_running_loop().sock_sendall(sock, raw)
    await asyncio.sleep(0.1)


async def _read_all(sock):
    received = bytearray()
    part = b'-'
    while part:
        part = await asyncio.get_running_loop().sock_recv(sock, 100_000)
        received += part
    return bytes(received)


async def _leave(sock, how):
    if how == 'reads':
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_ENDED_S + _WORK_S):
                await _read_all(sock)
    if how == 'half closes':
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(_ENDED_S)
    if how == 'resets':
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


# Guards against requests that end without their answer and without a cause.
@pytest.mark.parametrize('case', _CASES, ids=lambda case: case.name)
async def test_each_end_has_a_cause(case):
    connections = make_connections()
    async with serving(
        _respond, connections, handler_cancellation=True
    ) as port:
        sock = await _open(port)
        await _send(sock, case.sent)
        await _leave(sock, case.leave)
        await asyncio.sleep(_ENDED_S)
        ended = connections.ends.counts()
    expected = {cause.value: case.causes.count(cause) for cause in case.causes}
    assert ended == expected


# Guards against requests that end without an answer since the one before them
# on their connection met a fault of its handler, or had trailers.
@pytest.mark.parametrize(
    ('sent', 'statuses'),
    [
        (_encode(_FAILING) + _encode(_WORK), [b'500', b'200']),
        (
            _encode(_WORK, _CHUNKED, _TRAILERS) + _encode(_WORK),
            [b'200', b'200'],
        ),
        (
            _encode(_WORK, _CHUNKED, _TRAILERS) * 2 + _encode(_WORK),
            [b'200', b'200', b'200'],
        ),
    ],
)
async def test_requests_behind_another_are_answered(sent, statuses):
    connections = make_connections()
    async with serving(_respond, connections) as port:
        sock = await _open(port)
        await _send(sock, sent)
        await asyncio.sleep(_WORK_S * len(statuses))
        received = await asyncio.get_running_loop().sock_recv(sock, 100_000)
        sock.close()
    assert re.findall(rb'HTTP/1.1 (\d+)', received) == statuses
    expected = collections.Counter(
        EndCause.handler_failed for status in statuses if status == b'500'
    )
    assert connections.ends.counts() == expected


# Guards against a body that runs as a request: its head was cut in two behind a
# chunked body with more empty lines than are split at once.
@pytest.mark.parametrize('missing_bytes', [1, 2, 3, 40])
async def test_request_behind_many_empty_lines_is_not_split(missing_bytes):
    seen = []

    async def respond(request):
        seen.append((request.path, await request.read()))
        return web.Response(text='hello')

    lines = b'%x\r\n%s\r\n0\r\n\r\n' % (1200, b'\r\n\r\n' * 300)
    body = b'GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n'
    raw = _encode(b'/two', body=body)
    cut = raw.index(body) - missing_bytes
    async with serving(respond, make_connections()) as port:
        sock = await _open(port)
        await _send(sock, _encode(b'/one', _CHUNKED, lines) + raw[:cut])
        with contextlib.suppress(OSError):
            await _send(sock, raw[cut:])
        await asyncio.sleep(_ENDED_S)
        sock.close()
    assert seen[0] == ('/one', b'\r\n\r\n' * 300)
    assert seen[1:] in ([], [('/two', body)])


# Guards against failures of a handler that are counted nowhere, and against
# ends that the node makes and that are blamed on the caller.
@pytest.mark.parametrize(
    ('error', 'cause'),
    [
        (ValueError, EndCause.handler_failed),
        (TimeoutError, EndCause.handler_failed),
        (asyncio.CancelledError, EndCause.unlisted),
    ],
)
async def test_fault_of_a_handler_has_a_cause(error, cause):
    async def respond(_):
        raise error()

    connections = make_connections()
    async with serving(respond, connections) as port:
        sock = await _open(port)
        await _send(sock, _encode(_WORK))
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(_ENDED_S)
        sock.close()
        await asyncio.sleep(_ENDED_S)
    assert connections.ends.counts() == {cause: 1}


# Guards against an answer that its client can't read: its first bytes were sent
# early, to find out whether the client has gone.
@pytest.mark.parametrize('path', [_SLOW, _FAILING, _LARGE])
async def test_answer_to_a_half_closed_client_is_whole(path):
    connections = make_connections()
    async with serving(_respond, connections) as port:
        sock = await _open(port)
        await _send(sock, _encode(path))
        sock.shutdown(socket.SHUT_WR)
        received = await _read_all(sock)
        sock.close()
    head, _, body = received.partition(b'\r\n\r\n')
    assert received.count(b'HTTP/1.') == 1
    assert head.startswith(b'HTTP/1.1 ')
    length = int(re.search(rb'Content-Length: (\d+)', head)[1])
    assert len(body) == length


# Guards against requests at work that the end of the process leaves without a
# cause.
async def test_requests_at_the_end_of_the_process_have_a_cause():
    connections = make_connections()
    async with serving(_respond, connections) as port:
        sock = await _open(port)
        await _send(sock, _encode(_WORK) + _encode(_WORK))
        connections.end_exchanges()
        connections.end_exchanges()
        assert connections.count_unanswered() == 1
    sock.close()
    assert connections.ends.counts() == {EndCause.node_stopped: 2}


# Guards against ends that the log doesn't explain.
async def test_end_is_logged_with_what_happened_before():
    events = EventLog('vm-1', HybridClock(), 100, log_calls=False)
    connections = make_connections(events=events)
    async with serving(
        _respond, connections, handler_cancellation=True
    ) as port:
        sock = await _open(port)
        await _send(sock, _encode(_WORK, request_id=b'the-id'))
        await _leave(sock, 'resets')
        await asyncio.sleep(0.1)
    fields = dict(events.recent('the-id', 1)[0].fields)
    assert fields['why'] == EndCause.caller_reset
    assert fields['stage'] == 'read'
    assert fields['events'].startswith('opened:')


def _make_reply(reason, outcome):
    return CallReply(
        status=503,
        headers=(),
        body=b'',
        outcome=outcome,
        reason=reason,
        retry_allowance=0,
        shed_level=0,
        queue_ms=0,
        load=0,
        downstream_shed_level=0,
    )


# Guards against answers of a node, in the place of a target's, that are counted
# nowhere.
@pytest.mark.parametrize(
    ('reason', 'outcome', 'causes'),
    [
        ('link-lost', Outcome.unknown, {EndCause.link_lost: 1}),
        ('overload', Outcome.unknown, {EndCause.retry_refused: 1}),
        ('of another build', Outcome.unknown, {EndCause.unlisted: 1}),
        ('overload', Outcome.not_run, {}),
        ('', Outcome.done, {}),
    ],
)
def test_answer_in_the_place_of_a_target_has_a_cause(reason, outcome, causes):
    ends = make_connections().ends
    ends.record_reply(_make_reply(reason, outcome))
    assert ends.counts() == causes
