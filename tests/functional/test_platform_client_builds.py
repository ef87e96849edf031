"""Tests of a node process that stops, with clients of several builds.

Each client sends requests one after another from before the stop until the
process is gone, on the connections that its library keeps.
"""

import asyncio
import contextlib
import dataclasses
import functools
import secrets
import signal
import socket
import time
from http import client as http_client

import aiohttp
import pytest
from lib.node_process import running_processes

_ROUTES = (
    ('/book/', 'orders', 'unsafe', {'timeout_ms': 9000}),
    ('/list/', 'orders', 'safe', {'timeout_ms': 9000}),
)
_SLOTS = 100
_BEFORE_STOP_S = 0.1
# Of the platform: what is sent later before the end of a process may be lost
# if it has not run.
_LOSS_SLACK_S = 0.2
_TIMEOUT_S = 12
_RESPONSE_BYTES = 30_000
_OK = 200
_UNAVAILABLE = 503
_CUT = 'cut off'
_REFUSED = 'connection refused'
_PATHS = ('/book/0', '/book/300', '/list/0', '/list/900')

_builds = {}


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a client saw of one request."""

    path: str
    request_id: str
    sent_s: float
    answer: int | str


def register_build(name):
    """Register a client by the name of its build."""

    def register(function):
        _builds[name] = function
        return function

    return register


def make_headers(request_id):
    """Return the headers that each request carries."""
    return {
        'Host': 'shop.example',
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '5000',
        'Authorization': 'Token mill-key',
    }


def method_of(path):
    """Return the method of requests to a path."""
    return 'POST' if path.startswith('/book/') else 'GET'


def format_request(path, request_id):
    """Return the bytes of a request."""
    lines = [f'{method_of(path)} {path} HTTP/1.1']
    lines.extend(
        f'{name}: {text}' for name, text in make_headers(request_id).items()
    )
    if method_of(path) == 'POST':
        lines.append('Content-Length: 0')
    return '\r\n'.join((*lines, '', '')).encode()


def read_response(stream):
    """Return the status of the next final response from a file of a socket."""
    status = 100
    while status == 100:
        status_line = stream.readline()
        if not status_line.endswith(b'\r\n'):
            return _CUT
        status, size_bytes = int(status_line.split()[1]), 0
        for line in iter(stream.readline, b'\r\n'):
            if not line:
                return _CUT
            name, _, text = line.decode().partition(':')
            if name.lower() == 'content-length':
                size_bytes = int(text)
    return status if len(stream.read(size_bytes)) == size_bytes else _CUT


class Visitor:
    """Sends requests until the process of a node is gone."""

    def __init__(self, address, path, pause_s):
        """Start without requests."""
        self.address = address
        self.path = path
        self.pause_s = pause_s
        self.outcomes = []

    def run(self, exchange):
        """Send requests in this thread.

        Args:
            exchange: Takes the ID of a request; returns the answer.
        """
        while not self._is_gone():
            request_id = secrets.token_hex(8)
            sent_s = time.monotonic()
            try:
                answer = exchange(request_id)
            except ConnectionRefusedError:
                answer = _REFUSED
            except (OSError, http_client.HTTPException):
                answer = _CUT
            self.record(request_id, sent_s, answer)
            time.sleep(self.pause_s)

    def record(self, request_id, sent_s, answer):
        """Keep what was seen of a request."""
        self.outcomes.append(Outcome(self.path, request_id, sent_s, answer))

    def _is_gone(self):
        return bool(self.outcomes) and self.outcomes[-1].answer == _REFUSED


@register_build('blocking socket')
def use_blocking_socket(visitor):
    """Write each request at once and read after it, whatever has happened."""
    opened = []

    def exchange(request_id):
        if not opened:
            sock = socket.create_connection(visitor.address, _TIMEOUT_S)
            opened.extend((sock, sock.makefile('rb')))
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            opened[0].sendall(format_request(visitor.path, request_id))
        try:
            answer = read_response(opened[1])
        except ConnectionResetError:
            answer = _CUT
        if answer == _CUT:
            opened[0].close()
            opened.clear()
        return answer

    visitor.run(exchange)


@register_build('http.client')
def use_http_client(visitor):
    """Use the client of the standard library."""
    connection = http_client.HTTPConnection(
        *visitor.address, timeout=_TIMEOUT_S
    )

    def exchange(request_id):
        try:
            connection.request(
                method_of(visitor.path),
                visitor.path,
                headers=make_headers(request_id),
            )
            response = connection.getresponse()
            response.read()
        except (OSError, http_client.HTTPException):
            connection.close()
            raise
        return response.status

    visitor.run(exchange)


@register_build('closes its sending half')
def use_half_closed_socket(visitor):
    """Open a connection for each request; read until its end, as pipes do."""

    def exchange(request_id):
        with socket.create_connection(visitor.address, _TIMEOUT_S) as sock:
            sock.sendall(format_request(visitor.path, request_id))
            sock.shutdown(socket.SHUT_WR)
            with sock.makefile('rb') as stream:
                answer = read_response(stream)
                assert answer == _CUT or not stream.read()
        return answer

    visitor.run(exchange)


async def use_aiohttp(visitor):
    """Use the client of aiohttp, with a connection that it keeps."""
    host, port = visitor.address
    answer = None
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1)
    ) as session:
        while answer != _REFUSED:
            request_id, sent_s = secrets.token_hex(8), time.monotonic()
            try:
                async with session.request(
                    method_of(visitor.path),
                    f'http://{host}:{port}{visitor.path}',
                    headers=make_headers(request_id),
                ) as response:
                    await response.read()
                    answer = response.status
            except aiohttp.ClientConnectorError:
                answer = _REFUSED
            except aiohttp.ClientError:
                answer = _CUT
            visitor.record(request_id, sent_s, answer)
            await asyncio.sleep(visitor.pause_s)


async def answer_after_delay(target, request):
    """Answer after the milliseconds that the path names."""
    await asyncio.sleep(int(request.path.rpartition('/')[2]) / 1000)
    return target.make_response(request)


async def stop(fleet):
    """Stop the first node; return the time at which it was gone."""
    await asyncio.sleep(_BEFORE_STOP_S)
    fleet.nodes[0].send_signal(signal.SIGTERM)
    await fleet.nodes[0].wait()
    return time.monotonic()


@pytest.fixture
async def fleet():
    """Run two nodes, one beside each target."""
    async with running_processes(
        'stock', 'orders', routes=_ROUTES, slots=_SLOTS
    ) as running:
        target = running.targets[1]
        target.response_size_bytes = _RESPONSE_BYTES
        target.response_handler = functools.partial(answer_after_delay, target)
        yield running


# Guards against requests that only some clients lose in a stop: those that
# write to a connection that has ended, or that end their own half of it.
@pytest.mark.parametrize('pause_s', [0.02, 0.6])
async def test_clients_of_each_build_are_answered_in_a_stop(fleet, pause_s):
    address = (fleet.nodes[0].ip, fleet.nodes[0].callers_port)
    visitors = {}
    async with asyncio.TaskGroup() as group:
        for path in _PATHS:
            for name, use in _builds.items():
                visitor = Visitor(address, path, pause_s)
                visitors[name, path] = visitor
                group.create_task(asyncio.to_thread(use, visitor))
            visitor = Visitor(address, path, pause_s)
            visitors['aiohttp', path] = visitor
            group.create_task(use_aiohttp(visitor))
        stopping = group.create_task(stop(fleet))
    ran = {
        request.headers['X-Request-Id']
        for request, _ in fleet.targets[1].received_requests
    }
    end_s = stopping.result()
    failures = []
    for (name, path), visitor in visitors.items():
        answers = [outcome.answer for outcome in visitor.outcomes]
        print(name, path, {answer: answers.count(answer) for answer in answers})
        failures.extend(
            f'{name}: {outcome}, {end_s - outcome.sent_s:.3f} s before the end'
            for outcome in visitor.outcomes
            if not is_true(outcome, end_s, outcome.request_id in ran)
        )
    assert not failures, '\n'.join(failures)


def is_true(outcome, end_s, has_run):
    """Return whether an outcome says what has happened to its request."""
    if outcome.answer in {_CUT, _REFUSED}:
        return not has_run and outcome.sent_s >= end_s - _LOSS_SLACK_S
    expected = _OK if has_run else _UNAVAILABLE
    return outcome.answer == expected
