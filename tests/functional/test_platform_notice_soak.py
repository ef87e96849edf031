"""Random restarts of nodes and random statements of targets, checked by rule.

Two seeds run with the other tests.  For more, name a range of seeds:
``CHIVELEAD_SOAK_SEEDS=100-149``.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import os
import random

import aiohttp
import pytest
from lib.platform_fleet import restart_node, running_fleet

_DURATION_S = 25.0
_REQUEST_PERIOD_S = 0.03
_ANNOUNCEMENT_PERIOD_S = 0.7
_MAX_PAUSE_S = 0.6
_MIN_LEAVING_S = 6.0
_STORE_OUTAGE_S = 0.8
_RATES_PER_S = (2, 5, 10)
# A target that names a rate gets at most one and a half times as many requests
# in a window, and five more, from nodes that knew it for half a second.  This
# holds three seconds after it first named the rate.
_WINDOW_S = 4.0
_RATE_FACTOR = 1.5
_RATE_SLACK = 5
_KNOWN_FOR_S = 0.5
_SETTLED_S = 3.0
# A node that has passed on that a target leaves may use it for so long.
_DRAIN_S = 2.5


def soak_seeds():
    """Return the seeds to run."""
    first, _, last = os.environ.get('CHIVELEAD_SOAK_SEEDS', '1-2').partition(
        '-'
    )
    return range(int(first), int(last or first) + 1)


def now_s():
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()


@dataclasses.dataclass
class Statement:
    """What a target says in its responses from some time on.

    Attributes:
        rate_per_s: Rate that it names; None for none.
        stamp: Header value that marks the responses.
        passed_on_s: For each node, the time of the first response that it has
            passed on, unless it has restarted since.
    """

    rate_per_s: float | None
    is_leaving: bool
    from_s: float
    stamp: str
    passed_on_s: dict[int, float] = dataclasses.field(default_factory=dict)

    def headers(self):
        """Return the headers of the responses."""
        headers = {'X-Server-Stamp': self.stamp}
        if self.rate_per_s is not None:
            headers['Server-Limit'] = str(self.rate_per_s)
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        return headers


class ScriptedTarget:
    """Changes what a fake target says, and checks what it gets."""

    def __init__(self, fleet, index):
        """Replace the response handler of a target."""
        self.faults = []
        self._fleet = fleet
        self._index = index
        self._target = fleet.targets[index]
        self._target.response_handler = self._respond
        self._counted = collections.deque()
        self._old_announcements = []
        self._has_deregistered = False
        self._stamp_numbers = itertools.count()
        self.say(None)

    def say(self, rate_per_s, *, is_leaving=False):
        """Replace the statement of the target."""
        self.statement = Statement(
            rate_per_s,
            is_leaving=is_leaving,
            from_s=now_s(),
            stamp=f'{self._index}.{next(self._stamp_numbers)}',
        )
        self._counted.clear()

    def forget_node(self, index):
        """Note that a node restarts."""
        self.statement.passed_on_s.pop(index, None)

    def note_response(self, index, stamp):
        """Note a response that a node has passed on."""
        if stamp == self.statement.stamp:
            self.statement.passed_on_s.setdefault(index, now_s())

    def start_again(self, *, keeps_id):
        """Start the target anew."""
        self._target.started_ms += 10_000
        if not keeps_id:
            self._target.target_id = f'{self._target.target_id}x'
        self._target.healthy = True
        self._has_deregistered = False
        self._old_announcements.clear()
        self.say(None)

    async def leave(self, *, tells_node, is_healthy):
        """Say in all responses that the target leaves."""
        self.say(self.statement.rate_per_s, is_leaving=True)
        self._target.healthy = is_healthy
        if tells_node:
            self._has_deregistered = True
            await self._call('instances.deregister')

    async def announce(self):
        """Announce the target as ready, unless it has deregistered."""
        if self._has_deregistered:
            return
        announcement = self._target.make_announcement()
        self._old_announcements.append(announcement)
        await self._call('instances.heartbeat', announcement)

    async def announce_late(self):
        """Deliver an earlier announcement again."""
        if self._old_announcements:
            await self._call('instances.heartbeat', self._old_announcements[-1])

    async def _call(self, operation, body=None):
        with contextlib.suppress(aiohttp.ClientError):
            await self._fleet.call_control_api(
                self._index, operation, self._target.target_id, body
            )

    async def _respond(self, request):
        sender, sent_s = request.path.rpartition('/')[2].split('-')
        self._check(int(sender), float(sent_s))
        await asyncio.sleep(0.01)
        return self._target.make_response(request, **self.statement.headers())

    def _check(self, sender, sent_s):
        passed_on_s = self.statement.passed_on_s.get(sender)
        if passed_on_s is None:
            return
        if self.statement.is_leaving and sent_s > passed_on_s + _DRAIN_S:
            self.faults.append(
                f'{self._index} left, {sender} sent a request'
                f' {sent_s - passed_on_s:.2f} s after it knew'
            )
        if self.statement.rate_per_s is not None:
            self._check_rate(passed_on_s)

    def _check_rate(self, passed_on_s):
        time_s = now_s()
        if time_s < max(
            passed_on_s + _KNOWN_FOR_S, self.statement.from_s + _SETTLED_S
        ):
            return
        self._counted.append(time_s)
        while self._counted[0] < time_s - _WINDOW_S:
            self._counted.popleft()
        allowed = _RATE_FACTOR * self.statement.rate_per_s * _WINDOW_S
        if len(self._counted) > allowed + _RATE_SLACK:
            self.faults.append(
                f'{self._index} got {len(self._counted)} requests in'
                f' {_WINDOW_S} s at {self.statement.rate_per_s}/s'
            )


class NoticeSoak:
    """A fleet under load whose nodes restart and whose targets say things.

    Args:
        fleet: Fleet; all targets but the last one are scripted.
        seed: Seed of all choices.
    """

    def __init__(self, fleet, seed):
        """Take over the targets."""
        self.served = 0
        self._fleet = fleet
        self._random = random.Random(seed)
        self._targets = [
            ScriptedTarget(fleet, index)
            for index, _ in enumerate(fleet.targets[:-1])
        ]

    async def run(self):
        """Run to the end; return the faults."""
        tasks = [
            asyncio.create_task(self._send_forever(index))
            for index, _ in enumerate(self._fleet.nodes)
        ]
        tasks.append(asyncio.create_task(self._announce_forever()))
        end_s = now_s() + _DURATION_S
        actions = (
            self._restart,
            self._restart,
            self._restart,
            self._speak,
            self._leave,
            self._leave,
            self._announce_late,
            self._stop_store,
        )
        while now_s() < end_s:
            await self._random.choice(actions)()
            await asyncio.sleep(self._random.random() * _MAX_PAUSE_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return [fault for target in self._targets for fault in target.faults]

    async def _restart(self):
        # Mostly nodes beside targets that say things.
        choices = (*range(len(self._fleet.nodes)), *range(len(self._targets)))
        index = self._random.choice(choices)
        for target in self._targets:
            target.forget_node(index)
        await restart_node(self._fleet, index)

    async def _speak(self):
        target = self._random.choice(self._targets)
        if not target.statement.is_leaving:
            target.say(self._random.choice((None, *_RATES_PER_S)))

    async def _leave(self):
        target = self._random.choice(self._targets)
        if not target.statement.is_leaving:
            await target.leave(
                tells_node=self._random.choice((True, False)),
                is_healthy=self._random.choice((True, False)),
            )
        elif now_s() > target.statement.from_s + _MIN_LEAVING_S:
            target.start_again(keeps_id=self._random.choice((True, False)))

    async def _announce_late(self):
        await self._random.choice(self._targets).announce_late()

    async def _stop_store(self):
        self._fleet.store.error_status = 503
        await asyncio.sleep(_STORE_OUTAGE_S)
        self._fleet.store.error_status = 0

    async def _send_forever(self, index):
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send(index))
                await asyncio.sleep(_REQUEST_PERIOD_S)

    async def _send(self, index):
        node = self._fleet.nodes[index]
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            status, headers, _ = await self._fleet.send_request(
                index, f'/read/{index}-{now_s():.3f}'
            )
            self.served += status == 200
            if self._fleet.nodes[index] is node:
                self._note_response(index, headers)

    def _note_response(self, index, headers):
        for target in self._targets:
            target.note_response(index, headers.get('X-Server-Stamp', ''))

    async def _announce_forever(self):
        while True:
            for target in self._targets:
                await target.announce()
            with contextlib.suppress(aiohttp.ClientError):
                await self._fleet.announce(len(self._fleet.targets) - 1)
            await asyncio.sleep(_ANNOUNCEMENT_PERIOD_S)


# Guards against statements of targets that end with a restart of the node that
# holds them: rates that are exceeded, and targets that left and are used again.
@pytest.mark.parametrize('seed', soak_seeds())
async def test_statements_of_targets_hold_through_restarts(seed):
    async with running_fleet('stock', 'stock', 'stock', 'orders') as fleet:
        soak = NoticeSoak(fleet, seed)
        assert not await soak.run()
        assert soak.served
