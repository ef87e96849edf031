"""Signs of life between nodes, with counts, load and versions."""

import asyncio
import logging
import random

from chivelead_coordination import FleetQuota, Membership, Network
from chivelead_policy import Admission
from chivelead_protocol import ChiveleadError, Member, Heartbeat, now_ms

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.pressure import PressureTable
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.plan_feed import PlanFeed

logger = logging.getLogger(__name__)

# Counts may lag by one period: within a region links are cheap, beyond it
# each byte is billed.
_PERIOD_S = 0.5
_FAR_PERIOD_S = 1.5
_TIMEOUT_MS = 1000.0
_SPREAD = 0.2


class PulseExchange:
    """Exchange pulses with every other node, one task a peer.

    Of two nodes, the one whose name sorts first asks, and the reply carries
    the other's pulse.

    Args:
        membership: The nodes.
        network: Links to them.
        quota: Counts to tell and to learn.
        feed: The plan in force.
        admission: Load of the own target.
        pressure: Learns the load of others.
        overload: What is known of overload and of the call graph.
        events: Log of events.
    """

    def __init__(  # noqa: WPS211
        self,
        membership: Membership,
        network: Network,
        quota: FleetQuota,
        feed: PlanFeed,
        admission: Admission,
        pressure: PressureTable,
        overload: FleetOverload,
        events: EventLog,
    ) -> None:
        """Start without peers."""
        self._membership = membership
        self._network = network
        self._quota = quota
        self._feed = feed
        self._admission = admission
        self._pressure = pressure
        self._overload = overload
        self._events = events
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._urgent: set[asyncio.Task[None]] = set()
        self._heard: dict[str, float] = {}

    async def start(self) -> None:
        """Begin with the peers that are known."""
        self._membership.listen(self._note_member)
        for member in self._membership.alive_members():
            self._note_member(member)

    async def close(self) -> None:
        """Stop."""
        for task in (*self._tasks.values(), *self._urgent):
            task.cancel()

    def heard_ms(self, vm: str) -> float:
        """Return when a node was last heard, by the loop's clock."""
        return self._heard.get(vm, float('-inf'))

    def answer(self, vm: str, pulse: Heartbeat) -> Heartbeat:
        """Take in the pulse of a peer and return the own one."""
        self._learn(vm, pulse)
        return self._own_pulse()

    async def tell_near(self) -> None:
        """Send a pulse to the peers of the own region now.

        They send most of the calls that come here.  Farther peers, where each
        byte is billed, hear of a change by the next pulse that is due.
        """
        own = self._membership.own
        await asyncio.gather(
            *(
                self._exchange(member.vm)
                for member in self._membership.alive_members()
                if member.vm != own.vm and member.region == own.region
            ),
        )

    def tell_soon(self) -> None:
        """Send a pulse to the peers nearby without waiting for it."""
        task = asyncio.create_task(self.tell_near())
        self._urgent.add(task)
        task.add_done_callback(self._urgent.discard)

    def _note_member(self, member: Member) -> None:
        own = self._membership.own
        if member.vm == own.vm:
            return
        task = self._tasks.get(member.vm)
        if member.alive:
            self._quota.add_peer(member.vm)
        if not member.alive:
            self._quota.remove_peer(member.vm)
            self._overload.forget(member.vm)
            if task is not None:
                self._tasks.pop(member.vm).cancel()
        elif task is None and own.vm < member.vm:
            self._tasks[member.vm] = asyncio.create_task(
                self._exchange_forever(member),
            )

    async def _exchange_forever(self, member: Member) -> None:
        is_near = member.region == self._membership.own.region
        period_s = _PERIOD_S if is_near else _FAR_PERIOD_S
        while True:
            await self._exchange(member.vm)
            spread_s = period_s * _SPREAD * random.random()  # noqa: S311
            await asyncio.sleep(period_s + spread_s)

    async def _exchange(self, vm: str) -> None:
        try:
            reply = await self._network.request(
                vm,
                self._own_pulse(),
                _TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('pulse to %s: %s', vm, error)
            return
        if isinstance(reply, Heartbeat):
            self._learn(vm, reply)

    def _own_pulse(self) -> Heartbeat:
        pressure = self._admission.current_load()
        factors = self._overload.learner.fan_outs()
        return Heartbeat(
            member=self._membership.own,
            plan_version=self._feed.current.version,
            counts=self._quota.report(),
            call_routes=tuple((row.route, row.called_route) for row in factors),
            call_factors=tuple(row.calls_per_request for row in factors),
            shed_part=self._overload.own_part(pressure.load),
            load=pressure.load,
        )

    def _learn(self, vm: str, pulse: Heartbeat) -> None:
        if self.heard_ms(vm) == float('-inf'):
            self._events.record_node_event('peer-heard', peer=vm)
        self._heard[vm] = now_ms()
        known = self._membership.find(vm)
        if known is not None and not known.alive:
            self._events.record_node_event('peer-back', peer=vm)
        self._membership.merge_self_reported(pulse.member)
        self._quota.apply_report(vm, pulse.counts)
        self._pressure.record_load(vm, pulse.load)
        self._overload.hear(vm, pulse)
        self._feed.hear_version(vm, pulse.plan_version)
