"""The traffic plan: what operators have put in force, as frozen data.

Adapters of platforms build a plan from the operators' edits; the request path
reads nothing else.
"""

import dataclasses
from collections.abc import Mapping

MAX_IMPORTANCE = 9

# 64 MiB, as the operators set it at first.
_DEFAULT_BODY_LIMIT_BYTES = 67_108_864


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """One of the services that a route leads to.

    Attributes:
        weight: Share of the requests in proportion to the other parts.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class PlanRoute:
    """Where requests of one host and path prefix go, and how.

    Attributes:
        prefix: Begins the paths of the route; starts and ends with a slash.
        parts: One service, or several with weights.
        idempotent: Whether a request may run more than once.
        timeout_ms: Longest time that a caller waits for the final answer.
        objective_ms: Time within which an answer is of full use.
        importance: 0 is shed first, 9 last.
        max_attempts: Most targets that one request may be sent to.
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
    """What holds for all targets of a service."""

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True)
class PlanOrganisation:
    """An organisation, its rate over the whole fleet, and its rank.

    Attributes:
        importance: Goes before the importance of a route; None to leave it.
        rate_per_s: Requests a second in the long run; zero for no limit.
        burst_requests: Requests at once beyond the rate.
    """

    name: str
    importance: int | None
    rate_per_s: float
    burst_requests: float


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send, and how long it may take."""

    header_limit_bytes: int = 16_384
    body_limit_bytes: int = _DEFAULT_BODY_LIMIT_BYTES
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


@dataclasses.dataclass(frozen=True)
class TrafficPlan:
    """One version of everything that operators decide.

    Attributes:
        version: Grows with each accepted edit; zero before the first.
        routes_by_host: Routes of a host, the longest prefix first.
        organisations_by_digest: Digest of a live key to its organisation.
        has_organisations: Whether callers need keys at all.
    """

    version: int
    routes_by_host: Mapping[str, tuple[PlanRoute, ...]]
    services: Mapping[str, PlanService]
    organisations: Mapping[str, PlanOrganisation]
    organisations_by_digest: Mapping[str, str]
    limits: CallerLimits

    @property
    def has_organisations(self) -> bool:
        """Tell whether requests have to carry keys."""
        return bool(self.organisations)

    def find_route(self, host: str, path: str) -> PlanRoute | None:
        """Return the route of a host with the longest prefix of a path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


EMPTY_PLAN = TrafficPlan(0, {}, {}, {}, {}, CallerLimits())
