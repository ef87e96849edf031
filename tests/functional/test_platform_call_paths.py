"""Tests of nodes that stop on the path of calls that targets make."""

import asyncio
import os

import pytest
from lib.node_process import ProcessFleet
from lib.stop_load import StopLoad

_CALLERS = 2
_PARENTS = (2, 3)
_CALLED = (4, 5, 6)
_CLIENTS = 30
_STOPS = int(os.environ.get('CHIVELEAD_STOPS', '2'))


class PathLoad(StopLoad):
    """Clients, the targets that answer them, and the targets that these call.

    Each has nodes of its own.
    """

    def __init__(self, seed):
        """Create the fleet without starting it."""
        super().__init__(0, seed)
        self.fleet = ProcessFleet(
            *('desk' for _ in range(_CALLERS)),
            *('orders' for _ in _PARENTS),
            *('stock' for _ in _CALLED),
        )

    def choose_path(self):
        """Return a path of a request that makes calls while it is at work."""
        pause_ms = self.random.choice((20, 100, 300))
        return f'/book/{pause_ms}p{self.random.randrange(1, 7)}/10'


# Guards against requests that fail because a node one step further on stops,
# beside a target which their own target calls, or both of these nodes.
@pytest.mark.parametrize('part_type', ['safe', 'unsafe'])
async def test_stop_on_the_path_of_a_call_fails_no_parent(part_type):
    load = PathLoad(seed=1)
    routes = (
        ('/book/', 'orders', 'unsafe', {'timeout_ms': 9000}),
        ('/part/', 'stock', part_type, {'allow_anonymous': True}),
    )
    async with load.running(routes):
        async with load.clients(_CLIENTS, load.choose_path):
            await asyncio.sleep(1)
            while len(load.stops) < _STOPS:
                await asyncio.gather(
                    load.stop(load.random.choice(_CALLED)),
                    load.stop(load.random.choice(_PARENTS)),
                )
    print(load.summary())
    failures = load.describe_failures()
    assert not failures, '\n'.join(failures)
