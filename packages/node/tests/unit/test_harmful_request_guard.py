"""Tests of what a node keeps of the requests that may have ended its target."""

import asyncio
import types
import weakref

import pytest
from chivelead_node._internal.proxy.harmful_requests import (
    HarmfulRequestGuard,
)
from chivelead_node._internal.proxy.registration import TargetIdentity
from chivelead_node._internal.request_guard import fingerprint
from chivelead_policy import TargetEndLedger
from chivelead_protocol import CallRequest, TargetState
from lib.fake_platform import HOST


class _Registration:
    def __init__(self, port):
        self.identity = TargetIdentity('i-1', 1000)
        self.state = TargetState.ready
        self.unresponsive = False
        self.departures = {}
        self.latest_announcement = types.SimpleNamespace(
            host=HOST, port=port, version='v1'
        )
        self._listener = None

    def listen(self, listener):
        self._listener = listener

    def restart(self):
        self.identity = TargetIdentity('i-1', 2000)
        self._listener()


class _Exchange:
    def __init__(self):
        self.ends = []

    def make_end_id(self, target_id, started_ms):
        return f'{target_id}/{started_ms}'

    def add_own_end(self, end):
        self.ends.append(end)
        return True


class _Ignoring:
    def count(self, name):
        """Do nothing."""

    def record_node_event(self, event, **fields):
        """Do nothing."""


def _make_request(number, body=b''):
    return CallRequest(
        request_id=f'r-{number}',
        attempt_id=f'a-{number}',
        service='stock',
        route='/upload/',
        method='POST',
        path='/upload/x',
        headers=(),
        body=body,
        organisation='mill',
        importance=5,
        idempotent=False,
        timeout_ms=5000,
        retry_allowance=0,
        queue_limit_ms=0,
    )


@pytest.fixture
async def registration():
    """Return the registration of a target that accepts connections."""
    server = await asyncio.start_server(lambda *_: None, HOST)
    yield _Registration(server.sockets[0].getsockname()[1])
    server.close()


@pytest.fixture
def exchange():
    """Return an exchange that tells nobody."""
    return _Exchange()


@pytest.fixture
def guard(registration, exchange):
    """Return a guard without requests."""
    return HarmfulRequestGuard(
        TargetEndLedger(), exchange, registration, _Ignoring(), _Ignoring()
    )


async def _break_off(guard):
    """Let two requests end, one of them broken off; return references."""
    requests = [_make_request(number, bytes(100_000)) for number in range(2)]
    for request in requests:
        guard.started(request)
    await guard.is_final_failure(requests[0])
    for request in requests:
        guard.ended(request)
    return [weakref.ref(request) for request in requests]


# Guards against bodies that stay in memory, and in no count, until the target
# starts again.
async def test_request_that_was_broken_off_is_not_kept(guard):
    kept = await _break_off(guard)
    assert [reference() for reference in kept] == [None, None]


# Guards against an end of the target that no request is suspected of.
async def test_requests_that_have_ended_are_suspected_after_a_restart(
    guard, registration, exchange
):
    requests = [_make_request(number, bytes([number])) for number in range(3)]
    guard.started(requests[0])
    guard.ended(requests[0])
    guard.started(requests[1])
    guard.started(requests[2])
    await guard.is_final_failure(requests[1])
    guard.ended(requests[1])
    registration.restart()
    assert set(exchange.ends[0].fingerprints) == {
        fingerprint(requests[1]),
        fingerprint(requests[2]),
    }
