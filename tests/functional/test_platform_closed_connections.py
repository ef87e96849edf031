"""Tests of a node process that ends connections while no stop is under way.

Each case is a connection to one node; the targets are sound.
"""

import asyncio
import dataclasses
import functools
import re

import pytest
from lib.node_process import running_processes
from lib.raw_exchange import RawCaller, encode_raw_request

_ROUTES = (
    ('/read/', 'stock', 'safe', {'timeout_ms': 9000}),
    ('/book/', 'orders', 'unsafe', {'timeout_ms': 9000}),
)
_SLOTS = 100
_PAUSE_S = 0.2
_READ_TIMEOUT_S = 3
_ID_PATTERN = re.compile(rb'X-Request-Id: (\w+)')
_OK = 200
_CUT = 'cut off'
_SILENT = 'no answer'

_quick = functools.partial(encode_raw_request, b'POST /book/0')
_slow = functools.partial(encode_raw_request, b'POST /book/600')
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_UPGRADE = b'Connection: Upgrade\r\nUpgrade: %s\r\n'
_unknown = functools.partial(encode_raw_request, b'POST /none/0')


@dataclasses.dataclass(frozen=True)
class Case:
    """What a client sends on a connection, and the answers it must get.

    Attributes:
        name: Name in the table of results.
        parts: Bytes that are sent one after another, with a pause between.
        answers: Status of each answer, or how it fails to come.
        half_closes: Whether the client then closes its sending half.
        method: Method of the first request; decides if its answer has a body.
    """

    name: str
    parts: tuple[bytes, ...]
    answers: tuple[int | str, ...]
    half_closes: bool = False
    method: bytes = b'POST'


_CASES = (
    Case(
        'body of a refused request',
        (_unknown(body=bytes(150_000)) + _quick(),),
        (404, 200),
    ),
    Case(
        'body that is too large',
        (_quick(body=bytes(12_500_000)) + _quick(),),
        (413, 200),
    ),
    Case(
        'body that comes after the answer',
        (
            _unknown(b'Content-Length: 300000\r\n', bytes(1000), length=False),
            bytes(299_000) + _quick(),
        ),
        (404, 200),
    ),
    Case(
        'body after an interim response',
        (
            _slow(b'Expect: 100-continue\r\nContent-Length: 3\r\n'),
            b''.join((b'abc', _quick())),
        ),
        (100, 200, 200),
    ),
    Case(
        'refusal instead of an interim response',
        (_unknown(b'Expect: 100-continue\r\nContent-Length: 3\r\n'),),
        (404,),
    ),
    Case(
        'refusal of a request for the head only',
        (encode_raw_request(b'HEAD /none/0'), _quick()),
        (404, 200),
        method=b'HEAD',
    ),
    Case(
        'trailers',
        (
            _slow()
            + _slow(
                b'Transfer-Encoding: chunked\r\n',
                b'3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n',
                length=False,
            )
            + _quick(),
        ),
        (200, 200, 200),
    ),
    Case(
        'chunked body and a request behind it',
        (
            _slow(
                b'Transfer-Encoding: chunked\r\n',
                b'3\r\nabc\r\n0\r\n\r\n',
                length=False,
            )
            + _quick(),
        ),
        (200, 200),
    ),
    Case(
        'header that is too large behind a request',
        (_slow() + _quick(b'X-Large: %s\r\n' % bytes(17_000).hex().encode()),),
        (200, 431),
    ),
    Case(
        'no request behind a request',
        (b''.join((_slow(), _slow(), b'\0\r\n\r\n')),),
        (200, 200, 400),
    ),
    Case(
        'request behind the last one',
        (_slow(b'Connection: close\r\n') + _quick(),),
        (200, _CUT),
    ),
    Case(
        'request behind one of HTTP/1.0',
        (_slow(version=b'HTTP/1.0') + _quick(),),
        (200, _CUT),
    ),
    Case(
        'upgrade of a request without a body',
        (
            encode_raw_request(b'GET /read/600', _UPGRADE % b'h2c') + _quick(),
            _quick(),
        ),
        (200, 200, 200),
    ),
    Case(
        'upgrade of a request with a body',
        (
            _slow(_UPGRADE % b'h2c', b'abc') + _quick(b'Content-Length: 3\r\n'),
            b'abc',
        ),
        (200, 200),
    ),
    Case(
        'upgrade to a known protocol',
        (_slow(_UPGRADE % b'websocket', b'abc') + _quick(), _quick()),
        (200, 200, 200),
    ),
    Case(
        'chunk without a size behind a request',
        (
            _slow() + _quick(_CHUNKED, b'3\r\nabc\r\n', length=False),
            b'no size\r\n',
        ),
        (200, 400),
    ),
    Case(
        'chunk without a size',
        (_quick(_CHUNKED, b'3\r\nabc\r\n', length=False), b'no size\r\n'),
        (400, _CUT),
    ),
    Case(
        'chunk without a size after the answer',
        (_unknown(_CHUNKED, b'3\r\nabc\r\n', length=False), b'no size\r\n'),
        (404, _CUT),
    ),
    Case('two requests, half closed', (_slow() + _slow(),), (200, 200), True),
    Case(
        'part of a body, half closed',
        (_slow() + _quick(b'Content-Length: 3\r\n'),),
        (200, _CUT),
        half_closes=True,
    ),
    Case(
        'part of a head, half closed',
        (b''.join((_slow(), b'POST /book/0 HTTP/1.1\r\nHo')),),
        (200,),
        True,
    ),
    Case(
        'more requests than a connection queues',
        (b''.join(encode_raw_request(b'POST /book/5') for _ in range(80)),),
        (200,) * 80,
    ),
)


async def answer_after_delay(target, request):
    """Answer after the milliseconds that the path names."""
    await asyncio.sleep(int(request.path.rpartition('/')[2]) / 1000)
    return target.make_response(request)


async def play(fleet, case):
    """Play a case; return the answers that the client got."""
    node = fleet.nodes[0]
    caller = await RawCaller.connect(node.ip, node.callers_port)
    sending = asyncio.create_task(send_parts(caller, case))
    answers = []
    try:
        for index, _ in enumerate(case.answers):
            response = await caller.read_response(
                _READ_TIMEOUT_S, has_body=bool(index) or case.method != b'HEAD'
            )
            answers.append(response.status)
    except TimeoutError:
        answers.append(_SILENT)
    except (EOFError, ValueError, OSError):
        answers.append(_CUT)
    finally:
        sending.cancel()
        caller.close()
    return tuple(answers)


async def send_parts(caller, case):
    """Send what the client of a case sends."""
    for part in case.parts:
        await caller.send(part)
        await asyncio.sleep(_PAUSE_S)
    if case.half_closes:
        caller.close_sending_half()


@pytest.fixture
async def fleet():
    """Run two nodes, one beside each target."""
    async with running_processes(
        'stock', 'orders', routes=_ROUTES, slots=_SLOTS
    ) as running:
        for target in running.targets:
            target.response_handler = functools.partial(
                answer_after_delay, target
            )
        yield running


# Guards against requests that are read, or passed on to a sound target, and end
# without an answer of their own.
async def test_each_request_on_a_connection_that_ends_is_answered(fleet):
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(play(fleet, case)) for case in _CASES]
    ran = {
        request.headers['X-Request-Id']
        for target in fleet.targets
        for request, _ in target.received_requests
    }
    failures = []
    for case, task in zip(_CASES, tasks, strict=True):
        answers = task.result()
        sent = _ID_PATTERN.findall(b''.join(case.parts))
        ran_count = sum(request_id.decode() in ran for request_id in sent)
        print(case.name, answers, ran_count)
        if answers != case.answers or ran_count != answers.count(_OK):
            failures.append(f'{case.name}: {answers}, {ran_count} have run')
    assert not failures, '\n'.join(failures)
