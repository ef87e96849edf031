"""Fleet-wide overload state and load shedding.

Each node reports which fraction of the demand for its service has to be shed.
If a request leads to an overloaded service, directly or through further calls,
its ingress node, which receives it from the caller, may shed it. The least
important requests are shed first.
"""

import collections
import random
from collections.abc import Mapping

from chivelead_config import PlanRoute, TrafficPlan
from chivelead_policy import (
    CallFanOut,
    CallGraph,
    CallGraphLearner,
    IngressShedder,
    ShedController,
)
from chivelead_protocol import FanOutSum, FleetDigest, loop_ms

_SEED_BITS = 32
# An older digest is ignored.
_DIGEST_MAX_AGE_MS = 4000.0
# The learned fan-outs of all nodes together, as one node of the call graph.
_FLEET = 'fleet'


class FleetOverload:
    """Decide which requests to shed, from the state of the whole fleet."""

    def __init__(self) -> None:
        """Create a state without digests."""
        self.shed_controller = ShedController()
        self.call_graph_learner = CallGraphLearner()
        self._call_graph = CallGraph()
        self._shedder = IngressShedder(random.getrandbits(_SEED_BITS))
        self._shed_fractions: Mapping[str, float] = {}
        self._shed_fractions_updated_ms = 0.0
        self._service_by_route: dict[str, str] = {}

    def apply(self, plan: TrafficPlan) -> None:
        """Apply a traffic plan, which maps routes to services."""
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
        return self.shed_controller.update(load)

    def own_fan_outs(self) -> tuple[FanOutSum, ...]:
        """Return the fan-outs that this node has learned."""
        return tuple(
            FanOutSum(
                fan_out.route,
                fan_out.called_route,
                fan_out.calls_per_request,
                nodes=1,
            )
            for fan_out in self.call_graph_learner.fan_outs()
        )

    def apply_digest(self, digest: FleetDigest) -> None:
        """Replace the overload and the fan-outs of the fleet."""
        self._shed_fractions = {
            shedding.service: shedding.shed_slots / shedding.slots
            for shedding in digest.sheddings
            if shedding.slots
        }
        self._shed_fractions_updated_ms = loop_ms()
        self._call_graph.update_node(
            _FLEET,
            [
                CallFanOut(
                    fan_out.route,
                    fan_out.called_route,
                    fan_out.calls / fan_out.nodes,
                )
                for fan_out in digest.fan_outs
                if fan_out.nodes
            ],
        )

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
        age_ms = loop_ms() - self._shed_fractions_updated_ms
        return self._shed_fractions if age_ms < _DIGEST_MAX_AGE_MS else {}
