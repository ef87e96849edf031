"""Targets whose health is sound and whose responses are not."""

import asyncio
import contextlib

import pytest
from lib.fake_platform import FakeTarget
from lib.platform_fleet import running_fleet, wait_until

_SLOTS = 40
_SENDER_COUNT = 30
_FAULTY_S = 4
# The first requests come before the suspension.
_MAX_REQUESTS_AFTER_SUSPENSION = 8
# The second pause and the period of the probes, and waits for unsafe requests.
_RECOVERY_S = 6
# A period of the probes and one of the reports.
_SILENCE_RECOVERY_S = 1
_JUNK = b'x' * 65_536


class FaultyTarget(FakeTarget):
    """A target of many slots that may respond with junk."""

    def __init__(self, service):
        """Create a target without a fault."""
        super().__init__(service)
        self.slots = _SLOTS
        self.running = 0
        self.max_running = 0
        self.response_delay_s = 0.02

    def break_down(self):
        """Respond to all requests but health probes with junk."""
        self.response_handler = self._send_junk

    def repair(self):
        """Respond as before."""
        self.response_handler = None

    async def _send_junk(self, request):
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await asyncio.sleep(self.response_delay_s)
            request.transport.write(_JUNK)
            await asyncio.sleep(self.response_delay_s)
        finally:
            self.running -= 1
        request.transport.abort()
        return self.make_response(request)


class Senders:
    """Clients that send one request after the other.

    Args:
        fleet: Fleet of nodes.
        index: Node that receives the requests.
        path: Path of the requests.
        method: Method of the requests.
    """

    def __init__(self, fleet, index, path='/read/x', method='GET'):
        """Create senders that are not running."""
        self.statuses = []
        self._fleet = fleet
        self._index = index
        self._path = path
        self._method = method
        self._tasks = []

    async def __aenter__(self):
        """Start to send."""
        self._tasks = [
            asyncio.create_task(self._send_forever())
            for _ in range(_SENDER_COUNT)
        ]
        return self

    async def __aexit__(self, *_):
        """Stop sending."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_forever(self):
        while True:
            response = await self._fleet.send_request(
                self._index, self._path, self._method
            )
            self.statuses.append(response[0])
            # A refusal comes at once.
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def _announced_forever(fleet):
    async def announce():
        while True:
            for index, _ in enumerate(fleet.targets):
                await fleet.announce(index)
            await asyncio.sleep(1)

    task = asyncio.create_task(announce())
    yield
    task.cancel()


@contextlib.asynccontextmanager
async def _faulty_fleet(*services):
    async with running_fleet(*services, target_type=FaultyTarget) as fleet:
        async with _announced_forever(fleet):
            yield fleet


async def _wait_until_suspended(fleet):
    registration = fleet.components(0).registration
    await wait_until(lambda: registration.unresponsive)


def _is_in_full_use(fleet, *, seen_by):
    member = fleet.components(seen_by).membership.find('vm-0')
    return (member.target_state, member.target_slots) == ('ready', _SLOTS)


# Guards against all slots of a faulty target at work on bytes without end, as
# often as its health probe is answered.
@pytest.mark.parametrize('services', [('stock', 'stock'), ('stock', 'orders')])
async def test_faulty_target_gets_one_request_at_a_time(services):
    async with _faulty_fleet(*services) as fleet:
        target = fleet.targets[0]
        target.break_down()
        async with Senders(fleet, 1):
            await _wait_until_suspended(fleet)
            await wait_until(lambda: not target.running)
            target.received_requests.clear()
            target.max_running = 0
            await asyncio.sleep(_FAULTY_S)
        count = len(target.received_requests)
        assert 1 <= count <= _MAX_REQUESTS_AFTER_SUSPENSION
        assert target.max_running == 1


# Guards against a target that stays at one slot after its repair, also if all
# requests of its service run at most once.
@pytest.mark.parametrize(
    ('services', 'path', 'method'),
    [
        (('stock', 'stock'), '/read/x', 'GET'),
        (('stock', 'orders'), '/read/x', 'GET'),
        (('orders', 'orders'), '/book/x', 'POST'),
        (('orders', 'stock'), '/book/x', 'POST'),
    ],
)
async def test_repaired_target_is_in_full_use_soon(services, path, method):
    async with _faulty_fleet(*services) as fleet:
        target = fleet.targets[0]
        target.break_down()
        async with Senders(fleet, 1, path, method):
            await _wait_until_suspended(fleet)
            await wait_until(
                lambda: fleet.components(0).health_monitor.failed_trial_count
            )
            target.repair()
            await wait_until(
                lambda: _is_in_full_use(fleet, seen_by=1), _RECOVERY_S
            )
        assert not fleet.components(0).registration.on_trial


# Guards against callers that suffer while another target of the service is
# sound.
async def test_callers_are_served_by_the_other_target():
    async with _faulty_fleet('stock', 'stock') as fleet:
        fleet.targets[0].break_down()
        async with Senders(fleet, 1) as senders:
            await _wait_until_suspended(fleet)
            senders.statuses.clear()
            await asyncio.sleep(_FAULTY_S)
        assert senders.statuses.count(200) > _FAULTY_S * _SLOTS
        assert set(senders.statuses) == {200}


# Guards against a trial of a target that was only frozen.
async def test_silent_target_is_in_full_use_at_its_first_sign_of_life():
    async with _faulty_fleet('stock') as fleet:
        target = fleet.targets[0]
        target.healthy = False
        target.response_delay_s = 10
        async with Senders(fleet, 0):
            await _wait_until_suspended(fleet)
        target.response_delay_s = 0
        target.healthy = True
        await wait_until(
            lambda: _is_in_full_use(fleet, seen_by=0), _SILENCE_RECOVERY_S
        )


# Guards against a trial, or a pause, for the sake of an earlier target.
@pytest.mark.parametrize('keeps_id', [False, True])
@pytest.mark.parametrize('is_on_trial', [False, True])
async def test_restarted_target_is_in_full_use_at_once(keeps_id, is_on_trial):
    async with _faulty_fleet('stock') as fleet:
        target = fleet.targets[0]
        components = fleet.components(0)
        target.break_down()
        async with Senders(fleet, 0):
            await wait_until(
                lambda: components.health_monitor.failed_trial_count
            )
        await wait_until(
            lambda: components.registration.on_trial == is_on_trial
        )
        target.repair()
        target.started_ms += 1000
        if not keeps_id:
            target.target_id = 'i-restarted'
        await fleet.announce(0)
        await wait_until(
            lambda: _is_in_full_use(fleet, seen_by=0), _SILENCE_RECOVERY_S
        )
        assert (await fleet.send_request(0, '/read/x'))[0] == 200
