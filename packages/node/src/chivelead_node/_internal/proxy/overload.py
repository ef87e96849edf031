"""Overload of services as one node knows it, and what it does about it."""

import collections
import random
from collections.abc import Mapping

from chivelead_config import EMPTY_PLAN, PlanRoute, TrafficPlan
from chivelead_coordination import Membership
from chivelead_policy import (
    CallFactor,
    CallGraph,
    CallGraphLearner,
    EntryShedder,
    GateControl,
)
from chivelead_protocol import Pulse, loop_ms

_SEED_BITS = 32
# A report that is older than this no longer counts.
_REPORT_MAX_AGE_MS = 4000.0
# Parts of a service change with each pulse; between them nothing is added up
# again for this long.
_CACHE_MAX_AGE_MS = 200.0


class FleetOverload:
    """Join the reports of all nodes and shed at this entry.

    Args:
        membership: Services of the nodes.
    """

    def __init__(self, membership: Membership) -> None:
        """Start with nothing heard."""
        self.shed_controller = GateControl()
        self.call_graph_learner = CallGraphLearner()
        self._call_graph = CallGraph()
        self._shedder = EntryShedder(random.getrandbits(_SEED_BITS))
        self._membership = membership
        self._plan = EMPTY_PLAN
        self._reported_fractions: dict[str, tuple[float, float]] = {}
        self._service_fractions: Mapping[str, float] = {}
        self._service_fractions_ms = 0.0
        self._service_by_route: dict[str, str] = {}

    def apply(self, plan: TrafficPlan) -> None:
        """Take in a plan, for the services of routes."""
        self._plan = plan
        self._service_by_route = {
            route.name: route.parts[0].service
            for routes in plan.routes_by_host.values()
            for route in routes
        }

    def update_own_shed_fraction(self, load: float) -> float:
        """Return the part of the own service's demand to keep away."""
        vm = self._membership.own.vm
        fraction = self.shed_controller.tend(load)
        self._reported_fractions[vm] = (loop_ms(), fraction)
        self._call_graph.learn(vm, self.call_graph_learner.factors())
        return fraction

    def apply_pulse(self, vm: str, pulse: Pulse) -> None:
        """Take in the report of a peer."""
        self._reported_fractions[vm] = (loop_ms(), pulse.shed_part)
        rows = zip(pulse.call_routes, pulse.call_factors, strict=False)
        self._call_graph.learn(
            vm,
            [CallFactor(*pair, factor) for pair, factor in rows],
        )

    def forget_peer(self, vm: str) -> None:
        """Drop a peer that is gone."""
        self._reported_fractions.pop(vm, None)
        self._call_graph.forget(vm)

    def find_overloaded_service(
        self, route: PlanRoute, service: str, importance: int
    ) -> str:
        """Return the overloaded service that a request leads to, or ''."""
        calls_by_service = collections.defaultdict(float, {service: 1.0})
        for called, calls in self._call_graph.reach(route.name).items():
            called_service = self._service_by_route.get(called)
            if called_service is not None:
                calls_by_service[called_service] += calls
        return self._shedder.sheds(
            importance, calls_by_service, self._get_service_fractions()
        )

    def _get_service_fractions(self) -> Mapping[str, float]:
        if loop_ms() - self._service_fractions_ms > _CACHE_MAX_AGE_MS:
            self._service_fractions = self._average_by_service()
            self._service_fractions_ms = loop_ms()
        return self._service_fractions

    def _average_by_service(self) -> Mapping[str, float]:
        """Return the mean part of each service, by slots."""
        weighted_sums: dict[str, float] = collections.defaultdict(float)
        slots_by_service: dict[str, int] = collections.defaultdict(int)
        cutoff_ms = loop_ms() - _REPORT_MAX_AGE_MS
        for member in self._membership.alive():
            reported_ms, fraction = self._reported_fractions.get(
                member.vm, (0.0, 0.0)
            )
            if reported_ms < cutoff_ms or not member.target_slots:
                continue
            weighted_sums[member.service] += fraction * member.target_slots
            slots_by_service[member.service] += member.target_slots
        return {
            service: weighted_sums[service] / count
            for service, count in slots_by_service.items()
        }
