"""Exchange of heartbeats between nodes.

Besides showing that its sender is alive, a heartbeat carries request counts,
load, overload and the version of the traffic plan.
"""

import asyncio
import logging
import random

from chivelead_coordination import FleetQuota, Membership, Network
from chivelead_policy import Admission
from chivelead_protocol import ChiveleadError, Heartbeat, Member, now_ms

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.plan_feed import PlanFeed
from chivelead_node._internal.target_estimates import TargetEstimates

logger = logging.getLogger(__name__)

# Request counts lag by up to one period. Traffic within a region is cheap;
# traffic between regions is billed by the byte.
_OWN_REGION_PERIOD_S = 0.5
_OTHER_REGION_PERIOD_S = 1.5
_EXCHANGE_TIMEOUT_MS = 1000.0
# Each period is extended by a random delay of up to this fraction.
_MAX_JITTER = 0.2


class HeartbeatExchange:
    """Exchange heartbeats with all other nodes periodically.

    Of two nodes, the one whose VM name sorts first sends its heartbeat as a
    request; the other replies with its own.

    Args:
        membership: Nodes of the fleet.
        network: Links to other nodes.
        quota: Request counts to send and to update.
        plan_feed: Traffic plan in force.
        admission: Load of the target on this VM.
        estimates: Estimates of the targets; receives the load of other targets.
        overload: Overload reports and call graph to send and to update.
        events: Event log.
    """

    def __init__(  # noqa: WPS211
        self,
        membership: Membership,
        network: Network,
        quota: FleetQuota,
        plan_feed: PlanFeed,
        admission: Admission,
        estimates: TargetEstimates,
        overload: FleetOverload,
        events: EventLog,
    ) -> None:
        """Create an exchange without peers."""
        self._membership = membership
        self._network = network
        self._quota = quota
        self._plan_feed = plan_feed
        self._admission = admission
        self._estimates = estimates
        self._overload = overload
        self._events = events
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}
        self._notify_tasks: set[asyncio.Task[None]] = set()
        self._last_heard_ms: dict[str, float] = {}

    async def start(self) -> None:
        """Start exchanging heartbeats with all known and future peers."""
        self._membership.listen(self._update_peer)
        for member in self._membership.alive_members():
            self._update_peer(member)

    async def close(self) -> None:
        """Stop all exchanges."""
        for task in (*self._peer_tasks.values(), *self._notify_tasks):
            task.cancel()

    def last_heard_ms(self, vm: str) -> float:
        """Return when the last heartbeat of a node arrived.

        Returns:
            Time of the event loop in milliseconds; negative infinity if none
            has arrived.
        """
        return self._last_heard_ms.get(vm, float('-inf'))

    def handle_heartbeat(self, vm: str, heartbeat: Heartbeat) -> Heartbeat:
        """Apply the heartbeat of a peer and return that of this node."""
        self._apply_heartbeat(vm, heartbeat)
        return self._build_heartbeat()

    async def notify_region(self) -> None:
        """Exchange heartbeats with all peers in the region of this node now.

        Most calls to this node come from its region.  Traffic to other regions
        is billed by the byte, so their nodes learn of a change from the next
        periodic heartbeat.
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
        """Schedule an immediate exchange with the region of this node."""
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
                self._build_heartbeat(),
                _EXCHANGE_TIMEOUT_MS,
            )
        except ChiveleadError as error:
            logger.debug('heartbeat to %s failed: %s', vm, error)
            return
        if isinstance(reply, Heartbeat):
            self._apply_heartbeat(vm, reply)

    def _build_heartbeat(self) -> Heartbeat:
        admission_load = self._admission.current_load()
        call_fan_outs = self._overload.call_graph_learner.fan_outs()
        return Heartbeat(
            member=self._membership.own,
            plan_version=self._plan_feed.current.version,
            counts=self._quota.report(),
            call_routes=tuple(
                (fan_out.route, fan_out.called_route)
                for fan_out in call_fan_outs
            ),
            call_factors=tuple(
                fan_out.calls_per_request for fan_out in call_fan_outs
            ),
            shed_part=self._overload.update_own_shed_fraction(
                admission_load.load
            ),
            load=admission_load.load,
        )

    def _apply_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        if self.last_heard_ms(vm) == float('-inf'):
            self._events.record_node_event('peer-heard', peer=vm)
        self._last_heard_ms[vm] = now_ms()
        known_member = self._membership.find(vm)
        if known_member is not None and not known_member.alive:
            self._events.record_node_event('peer-back', peer=vm)
        self._membership.merge_self_reported(heartbeat.member)
        self._quota.apply_report(vm, heartbeat.counts)
        self._estimates.record_load(vm, heartbeat.load)
        self._overload.apply_heartbeat(vm, heartbeat)
        self._plan_feed.pull_if_newer(vm, heartbeat.plan_version)
