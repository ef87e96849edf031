"""Tests of node processes that are held up beside targets at work.

A busy machine can hold a process up for a second or more; it is not dead.
"""

import asyncio
import collections
import os
import signal

import pytest
from lib.stop_load import StopLoad

_PAUSES_S = tuple(
    float(pause) for pause in os.environ.get('CHIVELEAD_PAUSES_S', '').split()
)
_REQUESTS = 60
_OK = 200


async def hold_up(process, pause_s):
    """Stop a process for a while."""
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(pause_s)
    process.send_signal(signal.SIGCONT)


async def send_beside_pause(route, pause_s, held_up_node, target_count=1):
    """Send requests and hold a node up; return the load and the requests."""
    load = StopLoad(target_count, seed=1)
    async with load.running():
        sending = [
            asyncio.create_task(load.send(0, f'/{route}/{work_ms}/10'))
            for work_ms in range(400, 400 + _REQUESTS * 20, 20)
        ]
        await asyncio.sleep(0.3)
        await hold_up(load.fleet.nodes[held_up_node], pause_s)
        calls = [call for call, _ in await asyncio.gather(*sending)]
    print(
        f'{route}, node {held_up_node} held up for {pause_s} s:',
        dict(collections.Counter(call.status for call in calls)),
    )
    return load, calls


# Guards against requests that must run once and get 502 while their target is
# at work or has answered, because the node beside it was held up.
@pytest.mark.parametrize('pause_s', _PAUSES_S or [1.5])
async def test_request_outlasts_a_pause_beside_its_target(pause_s):
    load, calls = await send_beside_pause('book', pause_s, held_up_node=2)
    failures = load.describe_failures()
    assert not failures, '\n'.join(failures)
    assert {call.status for call in calls} == {_OK}


# Guards against requests that are cut off with the link on which they came,
# because the node of their caller was held up.
@pytest.mark.parametrize('pause_s', _PAUSES_S or [2.8])
async def test_request_outlasts_a_pause_at_its_caller(pause_s):
    load, calls = await send_beside_pause('book', pause_s, held_up_node=0)
    failures = load.describe_failures()
    assert not failures, '\n'.join(failures)
    assert {call.status for call in calls} == {_OK}


# Guards against requests that can be sent again and get 502, since the node
# beside one of two targets was held up.
@pytest.mark.parametrize('pause_s', _PAUSES_S or [1.5])
async def test_safe_request_outlasts_a_pause_beside_its_target(pause_s):
    load, calls = await send_beside_pause(
        'read', pause_s, held_up_node=2, target_count=2
    )
    failures = load.describe_failures()
    assert not failures, '\n'.join(failures)
    assert {call.status for call in calls} == {_OK}
