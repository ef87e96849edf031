"""Tests of requests behind one that asks for another protocol."""

import asyncio
import contextlib
import dataclasses
import re
import socket

import pytest
from aiohttp import web
from chivelead_node._internal.end_causes import EndCause
from lib.connections import make_connections, serving
from lib.fake_platform import HOST

_UPGRADE_FIELDS = b'Connection: Upgrade\r\nUpgrade: websocket\r\n'
_UPGRADE = b'GET /upgrade HTTP/1.1\r\nHost: x\r\n%s\r\n' % _UPGRADE_FIELDS
_TRAILED = b'3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n'
_UPGRADE_WITH_TRAILER = (
    b'POST /upgrade HTTP/1.1\r\nHost: x\r\n%s'
    b'Transfer-Encoding: chunked\r\n\r\n%s' % (_UPGRADE_FIELDS, _TRAILED)
)
_CONNECT = b'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n'
_CHUNKED = (
    b'POST /chunked HTTP/1.1\r\nHost: x\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n%s' % _TRAILED
)
_SIZED_HEAD = b'POST /sized HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
_GET = b'GET /last HTTP/1.1\r\nHost: x\r\n\r\n'
_INVALID = b'no HTTP\r\n\r\n'
_LARGE_BODY = b'\r\n\r\n' * 250_000
_PAUSE_S = 0.1


def _encode_sized(body, fields=b''):
    return b''.join((_SIZED_HEAD[:-2] % len(body), fields, b'\r\n', body))


@dataclasses.dataclass(frozen=True)
class _Request:
    path: str
    body: bytes
    has_trailer: bool


class _Server:
    """Requests that a server handles, each after a pause."""

    def __init__(self):
        self.requests = []

    async def respond(self, request):
        body = await request.read()
        await asyncio.sleep(_PAUSE_S)
        self.requests.append(
            _Request(request.path, body, 'X-Sum' in request.headers)
        )
        return web.Response(text='hello')


async def _exchange(port, parts, ends_input):
    """Send parts, then read until the server closes or falls silent."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(_PAUSE_S / 2)
    if ends_input:
        writer.get_extra_info('socket').shutdown(socket.SHUT_WR)
    received = bytearray()
    is_closed = False
    with contextlib.suppress(TimeoutError):
        while not is_closed:
            async with asyncio.timeout(_PAUSE_S * 5):
                part = await reader.read(100_000)
            received += part
            is_closed = not part
    writer.close()
    return re.findall(rb'HTTP/1\.\d (\d+)', received), is_closed


_WHOLE = (_UPGRADE, _CHUNKED, _GET)


# Guards against requests that run changed: the trailer of a request behind an
# upgrade that was declined became a header field of the next one.
@pytest.mark.parametrize(
    'parts',
    [
        (b''.join(_WHOLE),),
        _WHOLE,
        (_UPGRADE, _CHUNKED[:-3], _CHUNKED[-3:] + _GET),
        (_UPGRADE_WITH_TRAILER + _CHUNKED + _GET,),
        (_CONNECT + _CHUNKED + _GET,),
        (_UPGRADE * 3 + _CHUNKED + _GET,),
        (_GET + _UPGRADE + _CHUNKED + _UPGRADE + _GET,),
        (_UPGRADE + _encode_sized(_LARGE_BODY) + _CHUNKED + _GET,),
        (_encode_sized(_LARGE_BODY, _UPGRADE_FIELDS) + _CHUNKED + _GET,),
        (_encode_sized(_LARGE_BODY) + _UPGRADE, _CHUNKED, _GET),
    ],
)
@pytest.mark.parametrize('ends_input', [False, True])
async def test_requests_behind_a_declined_upgrade_are_unchanged(
    parts, ends_input
):
    server = _Server()
    connections = make_connections()
    async with serving(server.respond, connections) as port:
        statuses, is_closed = await _exchange(port, parts, ends_input)
    names = re.findall(rb'(?:GET|POST) (\S+) ', b''.join(parts))
    # The target of CONNECT has no path.
    handled = server.requests
    assert [seen.path.encode() for seen in handled if seen.path] == names
    assert statuses == [b'200' for _ in handled]
    assert not any(seen.has_trailer for seen in handled)
    bodies = {seen.path: seen.body for seen in handled}
    assert bodies.get('/chunked') == b'abc'
    assert bodies.get('/sized', _LARGE_BODY) == _LARGE_BODY
    assert is_closed == ends_input
    assert not connections.ends.counts()


# Guards against requests behind an upgrade that was declined that get neither
# an answer nor a cause, since they are not whole or not valid.
@pytest.mark.parametrize(
    ('behind', 'statuses', 'causes'),
    [
        (_GET[:-3], [b'200'], {}),
        (_SIZED_HEAD % 9, [b'200'], {EndCause.request_incomplete: 1}),
        (_CHUNKED[:-3], [b'200'], {EndCause.request_incomplete: 1}),
        (
            b''.join((_GET, _SIZED_HEAD % 9, b'abc')),
            [b'200', b'200'],
            {EndCause.request_incomplete: 1},
        ),
        (_INVALID, [b'200', b'400'], {}),
    ],
)
async def test_incomplete_request_behind_a_declined_upgrade_has_an_end(
    behind, statuses, causes
):
    server = _Server()
    connections = make_connections()
    async with serving(server.respond, connections) as port:
        answered, is_closed = await _exchange(
            port, (b''.join((_UPGRADE, behind)),), True
        )
    assert answered == statuses
    assert is_closed
    assert connections.ends.counts() == causes
