"""Validate a set of documents and index it for the request path."""

import collections
import dataclasses
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from chivelead_protocol import ConfigurationError

from chivelead_config._internal import documents
from chivelead_config._internal.fields import (
    Problem,
    load_section,
    parse_ini,
)

_NAME_PATTERN = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')
_DIGEST_PATTERN = re.compile('[0-9a-f]{64}')
_Loader = Callable[['_DocumentSections', str], Any]
_MAX_DOCUMENT_BYTES = 262_144


@dataclasses.dataclass(frozen=True)
class RateBucket:
    """A rate limit, with the name under which all nodes enforce it."""

    name: str
    rate_per_s: float
    burst_requests: int


@dataclasses.dataclass(frozen=True)
class DocumentSet:
    """All documents in force at one version, validated and indexed.

    Attributes:
        version: Position of this set in the order of accepted edits.
        edit_ids: Document name to the ID of its last edit.
        texts: Document name to its INI text.
        organisations_by_digest: Digest of a valid key to its organisation.
        buckets: All rate limits by name.
    """

    version: int
    edit_ids: Mapping[str, str]
    texts: Mapping[str, str]
    fleet: documents.Fleet
    services: Mapping[str, documents.Service]
    organisations: Mapping[str, documents.Organisation]
    organisations_by_digest: Mapping[str, str]
    buckets: Mapping[str, RateBucket]

    def bucket_names_for(
        self, organisation: str, service: str
    ) -> tuple[str, ...]:
        """Return the names of the limits on a request that enters the fleet."""
        names = (organisation, f'{organisation}@{service}')
        return tuple(name for name in names if name in self.buckets)


EMPTY_DOCUMENT_SET = DocumentSet(0, {}, {}, documents.Fleet(), {}, {}, {}, {})


@dataclasses.dataclass
class _DocumentSections:
    """The parsed sections of one document."""

    source: str
    parsed: Mapping[str, Mapping[str, str]]
    problems: list[Problem]

    def load_required(self, name: str, section_class: type) -> Any:
        """Load a section that the document must have."""
        if name not in self.parsed:
            self.problems.append(Problem(self.source, name, '', 'missing'))
            return None
        return load_section(
            section_class,
            self.parsed[name],
            (self.source, name),
            self.problems,
        )

    def load_named(
        self, section_type: str, section_class: type
    ) -> tuple[tuple[str, Any], ...]:
        """Load all sections of the form ``[section_type NAME]``."""
        loaded = []
        for title, raw in self.parsed.items():
            title_type, _, name = title.partition(' ')
            if title_type == section_type and name:
                section = load_section(
                    section_class,
                    raw,
                    (self.source, title),
                    self.problems,
                )
                loaded.append((name.strip(), section))
        return tuple(loaded)

    def reject_unknown(
        self, required_section: str, named_types: tuple[str, ...]
    ) -> None:
        """Report sections that this kind of document may not have."""
        for title in self.parsed:
            title_type, _, name = title.partition(' ')
            if title != required_section and not (
                title_type in named_types and name
            ):
                allowed_forms = [
                    f'[{required_section}]',
                    *(f'[{section_type} NAME]' for section_type in named_types),
                ]
                message = 'unknown section; one of {0}'.format(
                    ', '.join(allowed_forms),
                )
                self.problems.append(
                    Problem(self.source, title, '', message),
                )


def check_documents(texts: Mapping[str, str]) -> tuple[Problem, ...]:
    """Return all problems of a set of documents."""
    problems: list[Problem] = []
    _load_all(texts, problems)
    return tuple(problems)


def build_document_set(
    version: int,
    edit_ids: Mapping[str, str],
    texts: Mapping[str, str],
) -> DocumentSet:
    """Validate and index a set of documents.

    Raises:
        ConfigurationError: A document or the set as a whole is not valid.
    """
    problems: list[Problem] = []
    loaded = _load_all(texts, problems)
    if problems:
        raise ConfigurationError(
            f'check documents of version {version}',
            '; '.join(str(problem) for problem in problems),
        )
    organisations = _documents_with_prefix(
        loaded, documents.ORGANISATION_PREFIX
    )
    services = _documents_with_prefix(loaded, documents.SERVICE_PREFIX)
    return DocumentSet(
        version=version,
        edit_ids=dict(edit_ids),
        texts=dict(texts),
        fleet=loaded.get(documents.FLEET_DOCUMENT_NAME, documents.Fleet()),
        services=services,
        organisations=organisations,
        organisations_by_digest={
            key.digest_sha256: name
            for name, organisation in organisations.items()
            for _, key in organisation.keys
            if not key.withdrawn
        },
        buckets={
            bucket.name: bucket
            for bucket in _all_buckets(organisations, services)
        },
    )


def _load_all(
    texts: Mapping[str, str],
    problems: list[Problem],
) -> dict[str, Any]:
    loaded = {}
    for name, text in sorted(texts.items()):
        problem_count = len(problems)
        document = _load_one(name, text, problems)
        if len(problems) == problem_count:
            loaded[name] = document
    if not problems:
        _check_references(loaded, problems)
    return loaded


def _load_one(name: str, text: str, problems: list[Problem]) -> Any:
    loader = _find_loader(name)
    if loader is None:
        message = (
            'expected a document named fleet, service/NAME or organisation/NAME'
        )
        problems.append(Problem(name, '', '', message))
        return None
    if len(text.encode()) > _MAX_DOCUMENT_BYTES:
        message = f'expected at most {_MAX_DOCUMENT_BYTES} bytes'
        problems.append(Problem(name, '', '', message))
        return None
    parser = parse_ini(text, name, problems)
    if parser is None:
        return None
    parsed = {title: dict(parser[title]) for title in parser.sections()}
    return loader(
        _DocumentSections(name, parsed, problems), name.partition('/')[2]
    )


def _find_loader(name: str) -> _Loader | None:
    if name == documents.FLEET_DOCUMENT_NAME:
        return _load_fleet
    prefix, slash, short_name = name.partition('/')
    if not _NAME_PATTERN.fullmatch(short_name):
        return None
    return {
        documents.SERVICE_PREFIX: _load_service,
        documents.ORGANISATION_PREFIX: _load_organisation,
    }.get(prefix + slash)


def _load_fleet(sections: _DocumentSections, _: str) -> documents.Fleet | None:
    sections.reject_unknown('fleet', ('failure_domain',))
    fleet = sections.load_required('fleet', documents.FleetSection)
    domains = sections.load_named('failure_domain', documents.FailureDomain)
    return documents.Fleet(fleet, domains) if fleet else None


def _load_service(sections: _DocumentSections, name: str) -> Any:
    sections.reject_unknown('service', ('route', 'organisation'))
    section = sections.load_required('service', documents.ServiceSection)
    routes = sections.load_named('route', documents.Route)
    limits = sections.load_named('organisation', documents.RateLimit)
    _check_name(sections, 'service', section, name)
    if not routes:
        sections.problems.append(
            Problem(
                sections.source, 'route NAME', '', 'expected at least one route'
            ),
        )
    for route_name, route in routes:
        if route and not route.path.startswith('/'):
            sections.problems.append(
                Problem(
                    sections.source,
                    f'route {route_name}',
                    'path',
                    f'expected a path that starts with /, got {route.path!r}',
                ),
            )
    return documents.Service(section, routes, limits)


def _load_organisation(sections: _DocumentSections, name: str) -> Any:
    sections.reject_unknown('organisation', ('key',))
    section = sections.load_required(
        'organisation', documents.OrganisationSection
    )
    keys = sections.load_named('key', documents.Key)
    _check_name(sections, 'organisation', section, name)
    for key_name, key in keys:
        if key and not _DIGEST_PATTERN.fullmatch(key.digest_sha256):
            sections.problems.append(
                Problem(
                    sections.source,
                    f'key {key_name}',
                    'digest_sha256',
                    'expected 64 hexadecimal digits',
                ),
            )
    return documents.Organisation(section, keys)


def _check_name(
    sections: _DocumentSections,
    title: str,
    section: Any,
    name: str,
) -> None:
    if section is not None and section.name != name:
        message = f'expected {name!r} as in the name of the document'
        sections.problems.append(
            Problem(sections.source, title, 'name', message),
        )


def _check_references(loaded: dict[str, Any], problems: list[Problem]) -> None:
    organisations = _documents_with_prefix(
        loaded, documents.ORGANISATION_PREFIX
    )
    for name, service in _documents_with_prefix(
        loaded, documents.SERVICE_PREFIX
    ).items():
        source = f'{documents.SERVICE_PREFIX}{name}'
        for organisation, _ in service.limits:
            if organisation not in organisations:
                problems.append(
                    Problem(
                        source,
                        f'organisation {organisation}',
                        '',
                        f'no document organisation/{organisation}',
                    ),
                )
        for method_and_path in _duplicates(
            (route.method, route.path) for _, route in service.routes
        ):
            problems.append(
                Problem(
                    source,
                    'route',
                    'path',
                    f'duplicate route for {method_and_path}',
                ),
            )
    digests = (
        key.digest_sha256
        for organisation in organisations.values()
        for _, key in organisation.keys
    )
    for digest in _duplicates(digests):
        problems.append(
            Problem(
                'organisation',
                'key',
                'digest_sha256',
                f'{digest} is used by two keys',
            ),
        )


def _duplicates(candidates: Iterable[Any]) -> list[Any]:
    counts = collections.Counter(candidates)
    return [candidate for candidate, count in counts.items() if count > 1]


def _documents_with_prefix(
    loaded: Mapping[str, Any], prefix: str
) -> dict[str, Any]:
    return {
        name.removeprefix(prefix): document
        for name, document in loaded.items()
        if name.startswith(prefix)
    }


def _all_buckets(
    organisations: Mapping[str, documents.Organisation],
    services: Mapping[str, documents.Service],
) -> Iterable[RateBucket]:
    for name, organisation in organisations.items():
        section = organisation.section
        yield RateBucket(name, section.rate_per_s, section.burst_requests)
    for service_name, service in services.items():
        for organisation_name, limit in service.limits:
            yield RateBucket(
                f'{organisation_name}@{service_name}',
                limit.rate_per_s,
                limit.burst_requests,
            )
