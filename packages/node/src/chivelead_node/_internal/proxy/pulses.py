"""Exchange of pulses, the heartbeat messages between nodes.

A pulse also carries request counts, load, overload and the plan version.
"""

import asyncio
import logging
import random

from chivelead_coordination import FleetQuota, Membership, Network
from chivelead_policy import Admission
from chivelead_protocol import ChiveleadError, Member, Heartbeat, now_ms

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.target_estimates import TargetEstimates
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.plan_feed import PlanFeed

logger = logging.getLogger(__name__)

# Request counts lag by up to one period. Traffic within a region is cheap;
# traffic between regions is billed by the byte.
_OWN_REGION_PERIOD_S = 0.5
_OTHER_REGION_PERIOD_S = 1.5
_EXCHANGE_TIMEOUT_MS = 1000.0
# Random delay added to each period, at most this fraction of it.
_MAX_JITTER = 0.2


class PulseExchange:
    """Exchange pulses with all other nodes, with one task per peer.

    Of two nodes, the one whose VM name sorts first sends the request; the reply
    is the pulse of the other.

    Args:
        membership: Nodes of the fleet.
        network: Links to other nodes.
        quota: Request counts to send and to update.
        feed: Traffic plan in force.
        admission: Load of the target on this VM.
        pressure: Told the load of other targets.
        overload: Overload reports and call graph.
        events: Event log.
    """

    def __init__(  # noqa: WPS211
        self,
        membership: Membership,
        network: Network,
        quota: FleetQuota,
        feed: PlanFeed,
        admission: Admission,
        pressure: TargetEstimates,
        overload: FleetOverload,
        events: EventLog,
    ) -> None:
        """Create an exchange without peers."""
        self._membership = membership
        self._network = network
        self._quota = quota
        self._feed = feed
        self._admission = admission
        self._pressure = pressure
        self._overload = overload
        self._events = events
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}
        self._notify_tasks: set[asyncio.Task[None]] = set()
        self._last_heard_ms: dict[str, float] = {}

    async def start(self) -> None:
        """Start an exchange task for each known peer."""
        self._membership.listen(self._update_peer)
        for member in self._membership.alive_members():
            self._update_peer(member)

    async def close(self) -> None:
        """Stop all exchanges."""
        for task in (*self._peer_tasks.values(), *self._notify_tasks):
            task.cancel()

    def last_heard_ms(self, vm: str) -> float:
        """Return when the last pulse of a node arrived, in event loop time.

        Returns:
            Milliseconds; negative infinity if none has arrived.
        """
        return self._last_heard_ms.get(vm, float('-inf'))

    def handle_pulse(self, vm: str, pulse: Heartbeat) -> Heartbeat:
        """Apply the pulse of a peer and return the pulse of this node."""
        self._apply_pulse(vm, pulse)
        return self._own_pulse()

    async def notify_region(self) -> None:
        """Exchange pulses with all peers in the region of this node now.

        Most calls to this node come from its region.  Traffic to other regions
        is billed by the byte, so their nodes learn of a change from the next
        periodic pulse.
        """
        own = self._membership.own
        await asyncio.gather(
            *(
                self._exchange(member.vm)
                for member in self._membership.alive_members()
                if member.vm != own.vm and member.region == own.region
            ),
        )

    def notify_region_soon(self) -> None:
        """Schedule an immediate pulse exchange with the own region."""
        task = asyncio.create_task(self.notify_region())
        self._notify_tasks.add(task)
        task.add_done_callback(self._notify_tasks.discard)

    def _update_peer(self, member: Member) -> None:
        own = self._membership.own
        if member.vm == own.vm:
            return
        task = self._peer_tasks.get(member.vm)
        if member.alive:
            self._quota.add_peer(member.vm)
        if not member.alive:
            self._quota.remove_peer(member.vm)
            self._overload.forget_peer(member.vm)
            if task is not None:
                self._peer_tasks.pop(member.vm).cancel()
        elif task is None and own.vm < member.vm:
            self._peer_tasks[member.vm] = asyncio.create_task(
                self._exchange_forever(member),
            )

    async def _exchange_forever(self, member: Member) -> None:
        is_own_region = member.region == self._membership.own.region
        period_s = (
            _OWN_REGION_PERIOD_S if is_own_region else _OTHER_REGION_PERIOD_S
        )
        while True:
            await self._exchange(member.vm)
            jitter_s = period_s * _MAX_JITTER * random.random()  # noqa: S311
            await asyncio.sleep(period_s + jitter_s)

    async def _exchange(self, vm: str) -> None:
        try:
            reply = await self._network.request(
                vm,
                self._own_pulse(),
                _EXCHANGE_TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('pulse to %s: %s', vm, error)
            return
        if isinstance(reply, Heartbeat):
            self._apply_pulse(vm, reply)

    def _own_pulse(self) -> Heartbeat:
        pressure = self._admission.current_load()
        factors = self._overload.call_graph_learner.fan_outs()
        return Heartbeat(
            member=self._membership.own,
            plan_version=self._feed.current.version,
            counts=self._quota.report(),
            call_routes=tuple((row.route, row.called_route) for row in factors),
            call_factors=tuple(row.calls_per_request for row in factors),
            shed_part=self._overload.update_own_shed_fraction(pressure.load),
            load=pressure.load,
        )

    def _apply_pulse(self, vm: str, pulse: Heartbeat) -> None:
        if self.last_heard_ms(vm) == float('-inf'):
            self._events.record_node_event('peer-heard', peer=vm)
        self._last_heard_ms[vm] = now_ms()
        known_member = self._membership.find(vm)
        if known_member is not None and not known_member.alive:
            self._events.record_node_event('peer-back', peer=vm)
        self._membership.merge_self_reported(pulse.member)
        self._quota.apply_report(vm, pulse.counts)
        self._pressure.record_load(vm, pulse.load)
        self._overload.apply_pulse(vm, pulse)
        self._feed.note_peer_version(vm, pulse.plan_version)
