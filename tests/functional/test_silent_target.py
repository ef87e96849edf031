"""Calls to a target whose open connections go silent while new ones work."""

import asyncio

import pytest
from chivelead_node._internal.targets import Announcement, LocalTarget
from chivelead_protocol import TargetState
from chivelead_standins._internal.fault_proxy import FaultProxy
from lib.fake_platform import HOST, FakeTarget, free_ports
from lib.platform_fleet import announce_late, running_fleet, wait_until

HEADERS = (('Host', 'shop.example'), ('X-Request-Id', 'mine'))
TIMEOUT_S = 0.6


class SilentTarget:
    """A target behind a proxy that silences connections."""

    def __init__(self):
        """Choose the ports."""
        self.target = FakeTarget('stock')
        self._port = free_ports(1)[0]
        self.proxy = FaultProxy(self._port, self.target.port)
        self.client = LocalTarget(1_000_000)

    async def start(self):
        """Start the target and announce it."""
        await self.target.start()
        await self.proxy.start()
        await self.client.apply_announcement(
            Announcement('stock', HOST, self._port, 4, 4, TargetState.ready, 0)
        )

    async def close(self):
        """Close the connections and stop the target."""
        await self.client.close()
        await self.proxy.close()
        await self.target.close()

    async def call(self, timeout_s=TIMEOUT_S):
        """Return the status of the response to a request."""
        async with asyncio.timeout(timeout_s):
            response = await self.client.call(
                'GET', '/x', HEADERS, b'', lambda *_: True
            )
        return response.status

    async def open_connections(self, count):
        """Make calls at the same time, which leave idle connections."""
        self.target.response_delay_s = 0.1
        await asyncio.gather(*(self.call() for _ in range(count)))
        self.target.response_delay_s = 0


@pytest.fixture
async def silent():
    """Start a target."""
    silent_target = SilentTarget()
    await silent_target.start()
    yield silent_target
    await silent_target.close()


# Guards against one lost request for each silent connection.
async def test_one_silent_connection_condemns_the_others(silent):
    await silent.open_connections(5)
    silent.proxy.stall_open_connections()
    with pytest.raises(TimeoutError):
        await silent.call()
    assert [await silent.call() for _ in range(3)] == [200, 200, 200]


# Guards against new connections for each request that takes long at a target
# whose other connections are well, and for clients that leave early.
@pytest.mark.parametrize('timeout_s', [0.1, TIMEOUT_S])
async def test_connections_that_were_heard_meanwhile_stay(silent, timeout_s):
    await silent.open_connections(2)
    pool = silent.client._pool
    silent.target.response_delay_s = 5
    slow = asyncio.create_task(silent.call(timeout_s))
    await asyncio.sleep(0.05)
    silent.target.response_delay_s = 0
    heard = pool._idle[-1]
    assert await silent.call() == 200
    with pytest.raises(TimeoutError):
        await slow
    assert list(pool._idle) == [heard]


# Guards against requests that are lost on silent connections, one after the
# other, while a target that counted as unresponsive answers its probes again.
async def test_target_that_answers_again_gets_new_connections():
    async with running_fleet('stock') as fleet:
        target = fleet.targets[0]
        proxy_port = free_ports(1)[0]
        proxy = FaultProxy(proxy_port, target.port)
        await proxy.start()
        announcement = target.make_announcement()
        announcement['address'] = f'{HOST}:{proxy_port}'
        await announce_late(fleet, 0, announcement)
        target.response_delay_s = 0.2
        await asyncio.gather(
            *(fleet.send_request(0, '/read/x') for _ in range(4))
        )
        target.response_delay_s = 0
        proxy.stall_open_connections()
        lost = [
            asyncio.create_task(fleet.send_request(0, '/read/x'))
            for _ in range(2)
        ]
        registration = fleet.components(0).registration
        await wait_until(lambda: registration.unresponsive)
        await wait_until(lambda: not registration.unresponsive)
        for _ in range(3):
            async with asyncio.timeout(0.5):
                assert (await fleet.send_request(0, '/read/x'))[0] == 200
        await asyncio.gather(*lost)
        await proxy.close()
