"""Traffic plan: the configuration that operators have put in force.

The platform adapter of a node builds the plan from the operators' edits.  The
code that routes requests uses no other operator configuration.
"""

import dataclasses
from collections.abc import Mapping

MAX_IMPORTANCE = 9

# 64 MiB, as in the operators' initial configuration.
_DEFAULT_BODY_LIMIT_BYTES = 67_108_864


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service that receives a fraction of the requests of a route.

    Attributes:
        weight: Weight of the service, relative to the others of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class PlanRoute:
    """Routing of the requests to one host and path prefix.

    Attributes:
        prefix: Prefix of matching paths; starts and ends with a slash.
        weighted_services: One service, or several with weights.
        idempotent: Whether a request may run more than once.
        timeout_ms: Longest time that a caller waits for the response.
        objective_ms: Response time up to which a response has its full value.
        importance: 0 is shed first, 9 last.
        max_attempts: Maximum number of targets that a request may be sent to.
        open: Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    importance: int
    max_attempts: int
    open: bool


@dataclasses.dataclass(frozen=True)
class PlanService:
    """Settings of all targets of a service."""

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True)
class PlanOrganisation:
    """An organisation, its importance and its rate limit over the fleet.

    Attributes:
        importance: Overrides the importance of the route, unless None.
        rate_per_s: Long-term request rate; zero for no limit.
        burst_requests: Size of a burst beyond the rate.
    """

    name: str
    importance: int | None
    rate_per_s: float
    burst_requests: float


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Size limits and timeouts of caller connections."""

    header_limit_bytes: int = 16_384
    body_limit_bytes: int = _DEFAULT_BODY_LIMIT_BYTES
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


@dataclasses.dataclass(frozen=True)
class TrafficPlan:
    """One version of the configuration that operators have put in force.

    Attributes:
        version: Increases with each accepted edit; zero before the first.
        routes_by_host: Routes by host, longest prefix first.
        organisations_by_digest: Digest of a valid key to its organisation.
        has_organisations: Whether any organisation is configured.
    """

    version: int
    routes_by_host: Mapping[str, tuple[PlanRoute, ...]]
    services: Mapping[str, PlanService]
    organisations: Mapping[str, PlanOrganisation]
    organisations_by_digest: Mapping[str, str]
    limits: CallerLimits

    @property
    def has_organisations(self) -> bool:
        """Whether callers need keys."""
        return bool(self.organisations)

    def find_route(self, host: str, path: str) -> PlanRoute | None:
        """Return the route of the host with the longest matching prefix."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


EMPTY_PLAN = TrafficPlan(0, {}, {}, {}, {}, CallerLimits())
