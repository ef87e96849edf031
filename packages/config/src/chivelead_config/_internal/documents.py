"""Dataclasses of the documents that operators edit."""

import dataclasses
import hashlib

from chivelead_config._internal.fields import optional, required

FLEET_DOCUMENT_NAME = 'fleet'
SERVICE_PREFIX = 'service/'
ORGANISATION_PREFIX = 'organisation/'

_MAX_RATE = 1_000_000
_MAX_TIMEOUT_MS = 600_000
_WEEK_S = 604_800


@dataclasses.dataclass(frozen=True)
class ServiceSection:
    """Settings of a service that apply to all its routes."""

    name: str = required('Name of the service, as in the path of a call.')
    retry_allowance: int = optional(
        3,
        'Retries for one root request, over the whole call chain.',
        low=0,
        high=20,
    )
    cut_off: str = optional(
        'serve',
        'What happens when the documents are older than the staleness limit.',
        choices=('serve', 'refuse'),
    )


@dataclasses.dataclass(frozen=True)
class Route:
    """Settings of the requests of a service with one method and path."""

    method: str = required(
        'HTTP method.',
        choices=('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'),
    )
    path: str = required('Path below the service; longer paths match too.')
    importance: int = required(
        '0 is shed first, 9 is shed last.',
        low=0,
        high=9,
    )
    idempotent: bool = required('Whether a request may be repeated.')
    timeout_ms: int = required(
        'Longest time for a response.',
        low=1,
        high=_MAX_TIMEOUT_MS,
    )
    open: bool = optional(False, 'Whether callers need no key.')


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """Rate limit of an organisation, enforced over all VMs together."""

    rate_per_s: float = required(
        'Long-term rate in requests per second.',
        low=0,
        high=_MAX_RATE,
    )
    burst_requests: int = required(
        'Largest burst of requests.',
        low=1,
        high=_MAX_RATE,
    )


@dataclasses.dataclass(frozen=True)
class OrganisationSection:
    """Name of an organisation and its rate limit over all services."""

    name: str = required('Name of the organisation.')
    rate_per_s: float = required(
        'Long-term rate in requests per second, over all services.',
        low=0,
        high=_MAX_RATE,
    )
    burst_requests: int = required(
        'Largest burst of requests, over all services.',
        low=1,
        high=_MAX_RATE,
    )


@dataclasses.dataclass(frozen=True)
class Key:
    """Key of an organisation; only its digest is stored."""

    digest_sha256: str = required('Digest of the key, in hexadecimal.')
    withdrawn: bool = optional(False, 'Whether the key has been withdrawn.')


@dataclasses.dataclass(frozen=True)
class FleetSection:
    """Settings of the whole fleet."""

    objective: str = optional(
        'goodput',
        'What admission favours under overload; no effect yet.',
        choices=('goodput', 'fairness'),
    )
    staleness_limit_s: int = optional(
        _WEEK_S,
        'How long documents stay valid without contact to the platform.',
        low=1,
        high=_WEEK_S,
    )
    idempotency_window_s: int = optional(
        120,
        'How long an Idempotency-Key is remembered.',
        low=1,
        high=86400,
    )
    region_link_kbit_per_s: int = optional(
        30000,
        'Capacity of the link between regions; no effect yet.',
        low=1,
        high=100_000_000,
    )


@dataclasses.dataclass(frozen=True)
class FailureDomain:
    """A failure domain of the fleet."""

    region: str = required('Region of the failure domain.')


@dataclasses.dataclass(frozen=True)
class Service:
    """Document of a service."""

    section: ServiceSection
    routes: tuple[tuple[str, Route], ...]
    limits: tuple[tuple[str, RateLimit], ...]

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the matching route with the longest path."""
        best_match: Route | None = None
        for _, route in self.routes:
            if route.method == method and _matches_prefix(route.path, path):
                if best_match is None or len(route.path) > len(best_match.path):
                    best_match = route
        return best_match


@dataclasses.dataclass(frozen=True)
class Organisation:
    """Document of an organisation."""

    section: OrganisationSection
    keys: tuple[tuple[str, Key], ...]


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Document of the fleet."""

    section: FleetSection = FleetSection()
    failure_domains: tuple[tuple[str, FailureDomain], ...] = ()


def key_digest(key: str) -> str:
    """Return the digest by which documents identify a key."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()


def _matches_prefix(prefix: str, path: str) -> bool:
    if path == prefix or prefix == '/':
        return True
    return path.startswith(prefix if prefix.endswith('/') else f'{prefix}/')
