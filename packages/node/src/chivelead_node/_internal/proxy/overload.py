"""Fleet-wide overload state and load shedding.

Each node reports which fraction of the demand for its service has to be shed.
If a request leads to an overloaded service, directly or through further calls,
its ingress node, which receives it from the caller, may shed it. The least
important requests are shed first.
"""

import collections
import random
from collections.abc import Mapping

from chivelead_config import EMPTY_PLAN, PlanRoute, TrafficPlan
from chivelead_coordination import Membership
from chivelead_policy import (
    CallFanOut,
    CallGraph,
    CallGraphLearner,
    IngressShedder,
    ShedController,
)
from chivelead_protocol import Heartbeat, loop_ms

_SEED_BITS = 32
# Older reports are ignored.
_REPORT_MAX_AGE_MS = 4000.0
# Reports only change with heartbeats, so their averages are cached for this
# long instead of being computed for each request.
_CACHE_MAX_AGE_MS = 200.0


class FleetOverload:
    """Combine the reports of all nodes and decide which requests to shed.

    Args:
        membership: Nodes, with their services and slots.
    """

    def __init__(self, membership: Membership) -> None:
        """Create a state without reports."""
        self.shed_controller = ShedController()
        self.call_graph_learner = CallGraphLearner()
        self._call_graph = CallGraph()
        self._shedder = IngressShedder(random.getrandbits(_SEED_BITS))
        self._membership = membership
        self._plan = EMPTY_PLAN
        # By VM: when the last report arrived, and the fraction to shed.
        self._shed_reports: dict[str, tuple[float, float]] = {}
        self._shed_fractions: Mapping[str, float] = {}
        self._shed_fractions_updated_ms = 0.0
        self._service_by_route: dict[str, str] = {}

    def apply(self, plan: TrafficPlan) -> None:
        """Apply a traffic plan, which maps routes to services."""
        self._plan = plan
        self._service_by_route = {
            route.name: route.weighted_services[0].service
            for routes in plan.routes_by_host.values()
            for route in routes
        }

    def update_own_shed_fraction(self, load: float) -> float:
        """Update and return the fraction of demand to shed for this target.

        Args:
            load: Load of the target, as a multiple of its concurrency limit.
        """
        vm = self._membership.own.vm
        fraction = self.shed_controller.update(load)
        self._shed_reports[vm] = (loop_ms(), fraction)
        self._call_graph.update_node(vm, self.call_graph_learner.fan_outs())
        return fraction

    def apply_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        """Apply the overload report in the heartbeat of a peer."""
        self._shed_reports[vm] = (loop_ms(), heartbeat.shed_part)
        fan_outs = zip(
            heartbeat.call_routes, heartbeat.call_factors, strict=False
        )
        self._call_graph.update_node(
            vm,
            [CallFanOut(*routes, factor) for routes, factor in fan_outs],
        )

    def forget_peer(self, vm: str) -> None:
        """Remove the reports of a peer that is gone."""
        self._shed_reports.pop(vm, None)
        self._call_graph.remove_node(vm)

    def find_overloaded_service(
        self, route: PlanRoute, service: str, importance: int
    ) -> str:
        """Return the overloaded service because of which to shed a request.

        Returns:
            Name of the service; an empty string if the request is not shed.
        """
        calls_by_service = collections.defaultdict(float, {service: 1.0})
        for called_route, calls in self._call_graph.downstream_calls(
            route.name
        ).items():
            called_service = self._service_by_route.get(called_route)
            if called_service is not None:
                calls_by_service[called_service] += calls
        return self._shedder.find_overloaded_service(
            importance, calls_by_service, self._get_shed_fractions()
        )

    def _get_shed_fractions(self) -> Mapping[str, float]:
        if loop_ms() - self._shed_fractions_updated_ms > _CACHE_MAX_AGE_MS:
            self._shed_fractions = self._average_shed_fractions()
            self._shed_fractions_updated_ms = loop_ms()
        return self._shed_fractions

    def _average_shed_fractions(self) -> Mapping[str, float]:
        """Return the mean shed fraction of each service, weighted by slots."""
        weighted_sums: dict[str, float] = collections.defaultdict(float)
        slots_by_service: dict[str, int] = collections.defaultdict(int)
        cutoff_ms = loop_ms() - _REPORT_MAX_AGE_MS
        for member in self._membership.alive_members():
            reported_ms, fraction = self._shed_reports.get(
                member.vm, (0.0, 0.0)
            )
            if reported_ms < cutoff_ms or not member.target_slots:
                continue
            weighted_sums[member.service] += fraction * member.target_slots
            slots_by_service[member.service] += member.target_slots
        return {
            service: weighted_sums[service] / slots
            for service, slots in slots_by_service.items()
        }
