"""When a target counts as unresponsive."""

import asyncio

import pytest
from chivelead_node._internal.call_failures import NO_RESPONSE, CallFailure
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.target_health import TargetCallMonitor
from chivelead_protocol import CallRequest

pytestmark = pytest.mark.looptime


def make_call(number):
    """Return a call with IDs made from a number."""
    return CallRequest(
        request_id=f'r{number}',
        attempt_id=f'a{number}',
        service='stock',
        route='read',
        method='GET',
        path='/',
        headers=(),
        body=b'',
        organisation='mill',
        importance=5,
        idempotent=True,
        timeout_ms=1000,
        retry_allowance=0,
        queue_limit_ms=0,
    )


def make_monitor():
    """Return a monitor without calls."""
    return TargetCallMonitor(FleetOverload())


async def test_target_that_loses_some_answers_is_not_unresponsive():
    monitor = make_monitor()
    for number in range(100):
        call = make_call(number)
        monitor.admitted(call)
        await asyncio.sleep(0.01)
        monitor.ended(call, answered=number % 5 == 0)
        assert not monitor.is_unresponsive()


async def test_target_that_only_fails_is_unresponsive_soon():
    monitor = make_monitor()
    for number in range(40):
        call = make_call(number)
        monitor.admitted(call)
        await asyncio.sleep(0.01)
        monitor.ended(call, answered=False)
    assert monitor.is_unresponsive()


async def test_target_that_answers_nothing_is_unresponsive_after_a_second():
    monitor = make_monitor()
    monitor.admitted(make_call(1))
    monitor.admitted(make_call(2))
    await asyncio.sleep(0.9)
    assert not monitor.is_unresponsive()
    await asyncio.sleep(0.2)
    assert monitor.is_unresponsive()


# Guards against a second suspension for calls that were lost before the first.
async def test_calls_from_before_a_suspension_do_not_count():
    monitor = make_monitor()
    for number in range(3):
        monitor.admitted(make_call(number))
    await asyncio.sleep(1.1)
    assert monitor.is_unresponsive()
    monitor.reset()
    await asyncio.sleep(1.1)
    assert not monitor.is_unresponsive()
    for number in range(3):
        monitor.ended(make_call(number), answered=False)
    assert not monitor.is_unresponsive()


async def test_reason_is_that_of_the_last_failure():
    monitor = make_monitor()
    failure = CallFailure('no HTTP', is_response=True)
    for number in range(3):
        monitor.admitted(make_call(number))
        monitor.ended(make_call(number), answered=False, failure=failure)
    assert monitor.last_failure() == failure
    monitor.ended(make_call(4), answered=True)
    assert monitor.last_failure() == NO_RESPONSE
