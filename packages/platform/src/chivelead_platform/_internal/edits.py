"""Parse an edit, the operators' configuration text, into a traffic plan.

An edit is a JSON document with a version and a list of typed resources: routes,
services, tenants (organisations) and limits.
"""

import collections
from collections.abc import Iterable
from typing import Any

import orjson
from chivelead_config import (
    MAX_IMPORTANCE,
    CallerLimits,
    PlanOrganisation,
    PlanRoute,
    PlanService,
    TrafficPlan,
    WeightedService,
    key_digest,
)
from chivelead_protocol import ConfigurationError

from chivelead_platform._internal.values import FieldReader

PLAN_KEY = 'op/config'

_IDEMPOTENT_ROUTE_TYPES = frozenset(('safe',))
_ROUTE_TYPES = frozenset(('safe', 'unsafe', 'upload'))
_DEFAULT_TIMEOUT_MS = 600_000.0
_DEFAULT_OBJECTIVE_MS = 1000.0


def parse_plan(text: bytes) -> TrafficPlan:
    """Parse the text of an edit.

    Raises:
        ConfigurationError: The text is not valid JSON, or a resource is not
            valid.
    """
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError('read edit', str(error)) from error
    edit = FieldReader('edit', raw)
    resources = _ResourcesByType(edit.entries('resources'))
    organisations = tuple(
        map(_parse_organisation, resources.of_type('tenants'))
    )
    return TrafficPlan(
        version=edit.count('version'),
        routes_by_host=_group_by_host(
            map(_parse_route, resources.of_type('routes'))
        ),
        services={
            service.name: service
            for service in map(_parse_service, resources.of_type('services'))
        },
        organisations={
            organisation.name: organisation for organisation, _ in organisations
        },
        organisations_by_digest={
            key_digest(key): organisation.name
            for organisation, keys in organisations
            for key in keys
        },
        limits=_parse_limits(resources.of_type('limits')),
    )


class _ResourcesByType:
    """The resources of an edit, grouped by their type."""

    def __init__(self, raw: list[Any]) -> None:
        self._by_type: dict[str, list[tuple[str, FieldReader]]] = (
            collections.defaultdict(list)
        )
        for position, entry in enumerate(raw):
            reader = FieldReader(f'edit.resources[{position}]', entry)
            # Despite its name, the field holds a plain type name, not a URL.
            resource_type = reader.string('type_url')
            name = reader.table('metadata').string('name', '')
            self._by_type[resource_type].append((name, reader.table('spec')))

    def of_type(self, resource_type: str) -> list[tuple[str, FieldReader]]:
        return self._by_type[resource_type]


def _group_by_host(
    routes: Iterable[PlanRoute],
) -> dict[str, tuple[PlanRoute, ...]]:
    routes_by_host: dict[str, list[PlanRoute]] = collections.defaultdict(list)
    for route in routes:
        routes_by_host[route.host].append(route)
    return {
        host: tuple(sorted(group, key=_prefix_length, reverse=True))
        for host, group in routes_by_host.items()
    }


def _prefix_length(route: PlanRoute) -> int:
    return len(route.prefix)


def _parse_route(entry: tuple[str, FieldReader]) -> PlanRoute:
    name, spec = entry
    route_type = spec.string('type')
    if route_type not in _ROUTE_TYPES:
        raise ConfigurationError(
            f'route {name}',
            f'unknown type {route_type!r:.40}',
            'one of {0}'.format(', '.join(sorted(_ROUTE_TYPES))),
        )
    return PlanRoute(
        name=name,
        host=spec.string('host').lower(),
        prefix=spec.string('prefix'),
        weighted_services=_parse_weighted_services(name, spec),
        idempotent=route_type in _IDEMPOTENT_ROUTE_TYPES,
        timeout_ms=spec.number('timeout_ms', 0) or _DEFAULT_TIMEOUT_MS,
        objective_ms=(
            spec.number('target_latency_ms', 0) or _DEFAULT_OBJECTIVE_MS
        ),
        importance=_importance_from_priority(spec.count('priority', 0)),
        max_attempts=max(1, spec.count('max_attempts', 1)),
        open=spec.boolean('allow_anonymous'),
    )


def _parse_weighted_services(
    name: str, spec: FieldReader
) -> tuple[WeightedService, ...]:
    if spec.has('service'):
        return (WeightedService(spec.string('service'), 1),)
    readers = [
        FieldReader(f'route {name}.traffic_split', entry)
        for entry in spec.entries('traffic_split')
    ]
    weighted_services = tuple(
        WeightedService(reader.string('service'), reader.number('weight'))
        for reader in readers
    )
    if not any(weighted.weight for weighted in weighted_services):
        raise ConfigurationError(
            f'route {name}',
            'no service to send requests to',
            'set service, or traffic_split with a weight above zero',
        )
    return weighted_services


def _importance_from_priority(priority: int) -> int:
    # On the platform the highest priority is 0; here the highest importance
    # is MAX_IMPORTANCE.
    return max(0, MAX_IMPORTANCE - priority)


def _parse_service(entry: tuple[str, FieldReader]) -> PlanService:
    name, spec = entry
    return PlanService(
        name=name,
        health_path=spec.string('health_path', '/health'),
        max_connections=spec.count('max_connections', 0),
    )


def _parse_organisation(
    entry: tuple[str, FieldReader],
) -> tuple[PlanOrganisation, tuple[str, ...]]:
    name, spec = entry
    importance = None
    if spec.has('priority'):
        importance = _importance_from_priority(spec.count('priority'))
    organisation = PlanOrganisation(
        name=name,
        importance=importance,
        rate_per_s=spec.number('requests_per_s', 0),
        burst_requests=spec.number('burst', 0),
    )
    return organisation, spec.strings('api_keys')


def _parse_limits(entries: list[tuple[str, FieldReader]]) -> CallerLimits:
    if not entries:
        return CallerLimits()
    _, spec = entries[0]
    default = CallerLimits()
    return CallerLimits(
        header_limit_bytes=spec.count(
            'max_header_bytes',
            default.header_limit_bytes,
        ),
        body_limit_bytes=spec.count('max_body_bytes', default.body_limit_bytes),
        header_timeout_ms=spec.number(
            'header_timeout_ms',
            default.header_timeout_ms,
        ),
        idle_timeout_ms=spec.number(
            'idle_timeout_ms',
            default.idle_timeout_ms,
        ),
    )
