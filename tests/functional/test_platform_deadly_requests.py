"""Tests of nodes on the fake platform: a request under which targets end."""

import asyncio
import contextlib
import json
import math
import secrets

import aiohttp
import pytest
from aiohttp.test_utils import make_mocked_request
from chivelead_node._internal.proxy.harmful_request_api import (
    HarmfulRequestApi,
)
from chivelead_protocol import target_end_messages
from lib.loopback_proxy import cancel_all
from lib.platform_fleet import (
    deregister,
    restart_node,
    running_fleet,
    wait_until,
)

_TARGETS = 4
_REPETITIONS = 16
_RESTART_S = 0.4
_ANNOUNCEMENT_PERIOD_S = 1.5
# Three ends under the same request show that it is harmful; three more are left
# for nodes that have not heard of it yet.
_MAX_ENDS = 6
_DEADLY_PATH = '/read/deadly'
_FINGERPRINT = 'c737ea8352cd3cd2'


class CrashingTargets:
    """Targets that end when they run one request, and start again.

    As on the platform, those that run announce themselves periodically.
    """

    def __init__(self, fleet):
        """Let each target of the fleet end under the request."""
        self.ends = 0
        self._fleet = fleet
        self._running = set(range(len(fleet.targets)))
        self._tasks = set()
        for index, target in enumerate(fleet.targets):
            target.response_handler = self._make_handler(index)

    @classmethod
    @contextlib.asynccontextmanager
    async def announced(cls, fleet):
        """Announce the targets of a fleet for the duration of a test."""
        targets = cls(fleet)
        announcing = asyncio.create_task(targets._announce_forever())
        try:
            yield targets
        finally:
            await cancel_all([announcing])

    async def close(self):
        """Wait until all targets run again."""
        await asyncio.gather(*self._tasks)

    async def _announce_forever(self):
        while True:
            await asyncio.sleep(_ANNOUNCEMENT_PERIOD_S)
            for index in tuple(self._running):
                # The node may be restarting.
                with contextlib.suppress(aiohttp.ClientError):
                    await self._fleet.announce(index)

    def _make_handler(self, index):
        target = self._fleet.targets[index]

        async def handle(request):
            if request.path != _DEADLY_PATH:
                return target.make_response(request)
            self.ends += 1
            self._running.discard(index)
            task = asyncio.create_task(self._end_and_start_again(index))
            self._tasks.add(task)
            # Without a response; the connection breaks off.
            request.transport.abort()
            await asyncio.sleep(1)
            return None

        return handle

    async def _end_and_start_again(self, index):
        target = self._fleet.targets[index]
        await target.close()
        await asyncio.sleep(_RESTART_S)
        target.target_id = f'i-{secrets.token_hex(4)}'
        target.started_ms += 1000
        await target.start()
        self._running.add(index)
        await self._fleet.announce(index)


# Guards against a harmful request that takes down one target after another:
# callers repeat it under new IDs, and no node remembers what it did.
async def test_request_under_which_targets_end_is_soon_sent_no_more():
    services = ('stock' for _ in range(_TARGETS))
    async with (
        running_fleet(*services) as fleet,
        CrashingTargets.announced(fleet) as targets,
    ):
        statuses = []
        for repetition in range(_REPETITIONS):
            sender = repetition % _TARGETS
            status, _, _ = await fleet.send_request(sender, _DEADLY_PATH)
            statuses.append(status)
            await asyncio.sleep(_RESTART_S)
        await targets.close()
        assert set(statuses) <= {502, 503, 504}
        assert targets.ends <= _MAX_ENDS
        for index in range(_TARGETS):
            assert (await fleet.send_request(index, '/read/x'))[0] == 200


def _ledger(fleet, index):
    return fleet.components(index).target_ends._ledger


def _is_harmful_at(fleet, index):
    return bool(_ledger(fleet, index).harmful)


async def _condemn_request(fleet, targets):
    """Send the harmful request until all nodes refuse it."""
    for repetition in range(_REPETITIONS):
        await fleet.send_request(repetition % _TARGETS, _DEADLY_PATH)
        await asyncio.sleep(_RESTART_S)
    await targets.close()
    await wait_until(
        lambda: all(_is_harmful_at(fleet, index) for index in range(_TARGETS))
    )


def _operator_request(method, path):
    return make_mocked_request(method, f'/harmful-requests{path}')


@contextlib.asynccontextmanager
async def _fleet_with_harmful_request():
    services = ('stock' for _ in range(_TARGETS))
    async with (
        running_fleet(*services) as fleet,
        CrashingTargets.announced(fleet) as targets,
    ):
        await _condemn_request(fleet, targets)
        yield fleet, targets


# Guards against the loss of innocent requests that run beside a harmful one.
async def test_requests_beside_a_harmful_one_are_served_in_the_end():
    services = ('stock' for _ in range(_TARGETS))
    async with (
        running_fleet(*services) as fleet,
        CrashingTargets.announced(fleet) as targets,
    ):
        for repetition in range(_REPETITIONS):
            await asyncio.gather(
                fleet.send_request(repetition % _TARGETS, _DEADLY_PATH),
                *(
                    fleet.send_request(index, f'/read/beside-{index}')
                    for index in range(_TARGETS)
                ),
            )
            await asyncio.sleep(_RESTART_S / 2)
        await targets.close()
        for index in range(_TARGETS):
            path = f'/read/beside-{index}'
            assert (await fleet.send_request(0, path))[0] == 200
        assert {
            harmful.fingerprint for harmful in _ledger(fleet, 0).harmful
        } <= {_FINGERPRINT}


# Guards against a node that forgets at its restart what the others know.
async def test_restarted_node_learns_of_harmful_requests():
    async with _fleet_with_harmful_request() as (fleet, targets):
        ends = targets.ends
        await restart_node(fleet, 0)
        await wait_until(lambda: _is_harmful_at(fleet, 0))
        assert (await fleet.send_request(0, _DEADLY_PATH))[0] == 502
        assert targets.ends == ends


# Guards against an operator who cannot undo a wrong verdict.
async def test_request_that_is_cleared_by_hand_runs_again():
    async with _fleet_with_harmful_request() as (fleet, _):
        for target in fleet.targets:
            target.response_handler = None
        api = HarmfulRequestApi(fleet.components(0).target_ends, None)
        listed = await api.handle_request(_operator_request('GET', ''))
        assert list(json.loads(listed.text)) == [_FINGERPRINT]
        path = f'/{_FINGERPRINT}'
        cleared = await api.handle_request(_operator_request('DELETE', path))
        assert cleared.status == 200
        repeated = await api.handle_request(_operator_request('DELETE', '/x'))
        assert repeated.status == 404
        await wait_until(
            lambda: (
                not any(
                    _is_harmful_at(fleet, index) for index in range(_TARGETS)
                )
            )
        )
        for index in range(_TARGETS):
            await fleet.announce(index)
        assert (await fleet.send_request(1, _DEADLY_PATH))[0] == 200


# Guards against taking reset connections for the end of a target.
async def test_reset_connections_are_no_end():
    async with running_fleet('stock', 'stock') as fleet:

        async def reset(request):
            request.transport.abort()
            await asyncio.sleep(1)

        for target in fleet.targets:
            target.response_handler = reset
        for _ in range(6):
            await fleet.send_request(0, '/read/x')
        assert _ledger(fleet, 0).is_empty
        assert _ledger(fleet, 1).is_empty


# Guards against condemning what a target ran while it shut down as planned.
async def test_planned_stop_is_no_end():
    async with running_fleet('stock', 'stock') as fleet:
        fleet.targets[0].response_delay_s = 5
        fleet.targets[1].response_delay_s = 5
        requests = [
            asyncio.create_task(fleet.send_request(index % 2, '/read/x'))
            for index in range(4)
        ]
        await wait_until(
            lambda: all(target.received_requests for target in fleet.targets)
        )
        for index, target in enumerate(fleet.targets):
            await deregister(fleet, index)
            await target.close()
        await asyncio.gather(*requests)
        assert _ledger(fleet, 0).is_empty
        assert _ledger(fleet, 1).is_empty


# Guards against a promise of "not run" for a request that ended a target, and
# against a second run of a request that may run only once.
async def test_request_that_may_run_once_ends_one_target():
    async with running_fleet('orders', 'orders') as fleet:
        ends = []

        def make_handler(target):
            async def handle(request):
                ends.append(request.headers['X-Request-Id'])
                await target.close()

            return handle

        for target in fleet.targets:
            target.response_handler = make_handler(target)
        status, headers, _ = await fleet.send_request(
            0, '/book/x', method='POST', data=b'deadly'
        )
        assert status in {502, 504}
        assert 'Retry-After' not in headers
        assert len(ends) == 1


_VALID_END = target_end_messages.TargetEndReport(
    'vm-9/i-1/1', 'v1', 0.0, (_FINGERPRINT,)
)


@pytest.mark.parametrize(
    'notice',
    [
        target_end_messages.TargetEndNotice(
            (
                target_end_messages.TargetEndReport(
                    'vm-9/i-2/1', '', 0.0, ('bad', 'X' * 16)
                ),
            ),
            (),
        ),
        target_end_messages.TargetEndNotice(
            (target_end_messages.TargetEndReport('', '', 0.0, ()),), ()
        ),
        target_end_messages.TargetEndNotice(
            (target_end_messages.TargetEndReport('e', '', math.nan, ()),), ()
        ),
        target_end_messages.TargetEndNotice(
            (target_end_messages.TargetEndReport('e', 'v' * 999, 0.0, ()),), ()
        ),
        target_end_messages.TargetEndNotice(
            (), (target_end_messages.AnswerReport('\n', 0.0),)
        ),
        target_end_messages.TargetEndNotice(
            (), (target_end_messages.AnswerReport(_FINGERPRINT, -1.0),)
        ),
    ],
)
# Guards against a malformed notice that is believed, or that loses the rest.
async def test_malformed_parts_of_a_notice_are_dropped(notice):
    async with running_fleet('stock') as fleet:
        mixed = target_end_messages.TargetEndNotice(
            (*notice.ends, _VALID_END), notice.answers
        )
        fleet.components(0).target_ends.handle_notice('vm-9', mixed)
        ledger = _ledger(fleet, 0)
        assert ledger.count_ends(_FINGERPRINT) == 1
        assert not ledger.answers
        assert {
            fingerprint
            for end in ledger.ends
            for fingerprint in end.fingerprints
        } == {_FINGERPRINT}
