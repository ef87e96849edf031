"""The operators' newest edit, decoded into a traffic plan."""

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
    WeightedService,
    TrafficPlan,
    key_digest,
)
from chivelead_protocol import ConfigurationError

from chivelead_platform._internal.values import FieldReader

PLAN_KEY = 'op/config'

_IDEMPOTENT_KINDS = frozenset(('safe',))
_KINDS = frozenset(('safe', 'unsafe', 'upload'))
_TIMEOUT_DEFAULT_MS = 600_000.0
_OBJECTIVE_DEFAULT_MS = 1000.0


def parse_plan(text: bytes) -> TrafficPlan:
    """Return the plan in the text of an edit.

    Raises:
        ConfigurationError: The text cannot be read, or an entry is wrong.
    """
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError('read edit', str(error)) from error
    edit = FieldReader('edit', raw)
    entries = _Entries(edit.entries('resources'))
    organisations = tuple(map(_organisation, entries.of_kind('tenants')))
    return TrafficPlan(
        version=edit.count('version'),
        routes_by_host=_by_host(map(_route, entries.of_kind('routes'))),
        services={
            service.name: service
            for service in map(_service, entries.of_kind('services'))
        },
        organisations={
            organisation.name: organisation for organisation, _ in organisations
        },
        organisations_by_digest={
            key_digest(key): organisation.name
            for organisation, keys in organisations
            for key in keys
        },
        limits=_limits(entries.of_kind('limits')),
    )


class _Entries:
    """The entries of an edit, by what they are."""

    def __init__(self, raw: list[Any]) -> None:
        self._by_kind: dict[str, list[tuple[str, FieldReader]]] = (
            collections.defaultdict(list)
        )
        for position, entry in enumerate(raw):
            reader = FieldReader(f'edit.resources[{position}]', entry)
            # The field holds no address, but the word for what this is.
            kind = reader.text('type_url')
            name = reader.table('metadata').text('name', '')
            self._by_kind[kind].append((name, reader.table('spec')))

    def of_kind(self, kind: str) -> list[tuple[str, FieldReader]]:
        return self._by_kind[kind]


def _by_host(
    routes: Iterable[PlanRoute],
) -> dict[str, tuple[PlanRoute, ...]]:
    hosts: dict[str, list[PlanRoute]] = collections.defaultdict(list)
    for route in routes:
        hosts[route.host].append(route)
    return {
        host: tuple(sorted(group, key=_prefix_length, reverse=True))
        for host, group in hosts.items()
    }


def _prefix_length(route: PlanRoute) -> int:
    return len(route.prefix)


def _route(entry: tuple[str, FieldReader]) -> PlanRoute:
    name, spec = entry
    kind = spec.text('type')
    if kind not in _KINDS:
        raise ConfigurationError(
            f'route {name}',
            f'unknown kind {kind!r:.40}',
            'one of {0}'.format(', '.join(sorted(_KINDS))),
        )
    return PlanRoute(
        name=name,
        host=spec.text('host').lower(),
        prefix=spec.text('prefix'),
        weighted_services=_parts(name, spec),
        idempotent=kind in _IDEMPOTENT_KINDS,
        timeout_ms=spec.number('timeout_ms', 0) or _TIMEOUT_DEFAULT_MS,
        objective_ms=(
            spec.number('target_latency_ms', 0) or _OBJECTIVE_DEFAULT_MS
        ),
        importance=_importance(spec.count('priority', 0)),
        max_attempts=max(1, spec.count('max_attempts', 1)),
        open=spec.flag('allow_anonymous'),
    )


def _parts(name: str, spec: FieldReader) -> tuple[WeightedService, ...]:
    if spec.has('service'):
        return (WeightedService(spec.text('service'), 1),)
    split = [
        FieldReader(f'route {name}.traffic_split', part)
        for part in spec.entries('traffic_split')
    ]
    parts = tuple(
        WeightedService(part.text('service'), part.number('weight'))
        for part in split
    )
    if not any(part.weight for part in parts):
        raise ConfigurationError(
            f'route {name}',
            'it leads to no service',
            'give service, or traffic_split with a weight above zero',
        )
    return parts


def _importance(priority: int) -> int:
    # The platform ranks the other way round: its 0 is the highest.
    return max(0, MAX_IMPORTANCE - priority)


def _service(entry: tuple[str, FieldReader]) -> PlanService:
    name, spec = entry
    return PlanService(
        name=name,
        health_path=spec.text('health_path', '/health'),
        max_connections=spec.count('max_connections', 0),
    )


def _organisation(
    entry: tuple[str, FieldReader],
) -> tuple[PlanOrganisation, tuple[str, ...]]:
    name, spec = entry
    importance = None
    if spec.has('priority'):
        importance = _importance(spec.count('priority'))
    organisation = PlanOrganisation(
        name=name,
        importance=importance,
        rate_per_s=spec.number('requests_per_s', 0),
        burst_requests=spec.number('burst', 0),
    )
    return organisation, spec.texts('api_keys')


def _limits(entries: list[tuple[str, FieldReader]]) -> CallerLimits:
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
