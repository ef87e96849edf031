"""Overload of services as one node knows it, and what it does about it."""

import collections
import random
from collections.abc import Mapping

from chivelead_config import EMPTY_PLAN, PlanRoute, TrafficPlan
from chivelead_coordination import Membership
from chivelead_policy import (
    CallFanOut,
    CallGraph,
    CallGraphLearner,
    EntryShedder,
    ShedController,
)
from chivelead_protocol import Heartbeat, loop_ms

_SEED_BITS = 32
# A report that is older than this no longer counts.
_PART_AGE_MS = 4000.0
# Parts of a service change with each pulse; between them nothing is added up
# again for this long.
_TABLE_AGE_MS = 200.0


class FleetOverload:
    """Join the reports of all nodes and shed at this entry.

    Args:
        membership: Services of the nodes.
    """

    def __init__(self, membership: Membership) -> None:
        """Start with nothing heard."""
        self.gate = ShedController()
        self.learner = CallGraphLearner()
        self._graph = CallGraph()
        self._shedder = EntryShedder(random.getrandbits(_SEED_BITS))
        self._membership = membership
        self._plan = EMPTY_PLAN
        self._parts: dict[str, tuple[float, float]] = {}
        self._table: Mapping[str, float] = {}
        self._table_ms = 0.0
        self._services: dict[str, str] = {}

    def apply(self, plan: TrafficPlan) -> None:
        """Take in a plan, for the services of routes."""
        self._plan = plan
        self._services = {
            route.name: route.parts[0].service
            for routes in plan.routes_by_host.values()
            for route in routes
        }

    def own_part(self, load: float) -> float:
        """Return the part of the own service's demand to keep away."""
        vm = self._membership.own.vm
        part = self.gate.update(load)
        self._parts[vm] = (loop_ms(), part)
        self._graph.update_node(vm, self.learner.fan_outs())
        return part

    def hear(self, vm: str, pulse: Heartbeat) -> None:
        """Take in the report of a peer."""
        self._parts[vm] = (loop_ms(), pulse.shed_part)
        rows = zip(pulse.call_routes, pulse.call_factors, strict=False)
        self._graph.update_node(
            vm,
            [CallFanOut(*pair, factor) for pair, factor in rows],
        )

    def forget(self, vm: str) -> None:
        """Drop a peer that is gone."""
        self._parts.pop(vm, None)
        self._graph.remove_node(vm)

    def sheds(self, route: PlanRoute, service: str, importance: int) -> str:
        """Return the overloaded service that a request leads to, or ''."""
        reach = collections.defaultdict(float, {service: 1.0})
        for called, calls in self._graph.downstream_calls(route.name).items():
            below = self._services.get(called)
            if below is not None:
                reach[below] += calls
        return self._shedder.find_overloaded_service(
            importance, reach, self._shed_parts()
        )

    def _shed_parts(self) -> Mapping[str, float]:
        if loop_ms() - self._table_ms > _TABLE_AGE_MS:
            self._table = self._add_up()
            self._table_ms = loop_ms()
        return self._table

    def _add_up(self) -> Mapping[str, float]:
        """Return the mean part of each service, by slots."""
        sums: dict[str, float] = collections.defaultdict(float)
        slots: dict[str, int] = collections.defaultdict(int)
        horizon_ms = loop_ms() - _PART_AGE_MS
        for member in self._membership.alive_members():
            heard_ms, part = self._parts.get(member.vm, (0.0, 0.0))
            if heard_ms < horizon_ms or not member.target_slots:
                continue
            sums[member.service] += part * member.target_slots
            slots[member.service] += member.target_slots
        return {
            service: sums[service] / count for service, count in slots.items()
        }
