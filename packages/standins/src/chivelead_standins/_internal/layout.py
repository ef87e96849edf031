"""Fleet layouts in INI format: the processes and documents of a test fleet."""

import configparser
import dataclasses
import pathlib
import secrets
import socket
from collections.abc import Iterator, Mapping

from chivelead_config import key_digest
from chivelead_protocol import ConfigurationError

from chivelead_standins._internal.target_server import TargetProfile

_FIRST_PORT = 15000
_LAST_PORT = 32000
_PEER_SEED_COUNT = 3
_FLEET_SECRET = 'stand-in-secret'  # noqa: S105


@dataclasses.dataclass(frozen=True)
class NodePlan:
    """Location and ports of one node and its target.

    Attributes:
        caller_port: Port of the node for callers.
        local_port: Port of the node for its target: for announcements and
            downstream calls.
        peer_port: Port of the node for other nodes.
        target_port: Port of the target.
    """

    vm: str
    failure_domain: str
    region: str
    service: str
    caller_port: int
    local_port: int
    peer_port: int
    target_port: int


@dataclasses.dataclass(frozen=True)
class OrganisationPlan:
    """API key and rate limit of one organisation."""

    name: str
    key: str
    rate_per_s: float
    burst_requests: int


@dataclasses.dataclass(frozen=True)
class Layout:
    """Plan of a test fleet.

    Attributes:
        target_profiles: Behaviour of the targets, by service.
        document_texts: Configuration documents by name.
    """

    nodes: tuple[NodePlan, ...]
    organisations: tuple[OrganisationPlan, ...]
    target_profiles: Mapping[str, TargetProfile]
    document_texts: Mapping[str, str]
    store_port: int

    @property
    def store_url(self) -> str:
        """Return the base URL of the store."""
        return f'http://127.0.0.1:{self.store_port}'

    def organisation(self, name: str) -> OrganisationPlan:
        """Return the organisation with a name."""
        return next(plan for plan in self.organisations if plan.name == name)

    def entry_urls(self, failure_domain: str = '') -> tuple[str, ...]:
        """Return the base URLs of the nodes, of one failure domain if given."""
        return tuple(
            f'http://127.0.0.1:{node.caller_port}'
            for node in self.nodes
            if failure_domain in {'', node.failure_domain}
        )


def free_ports(first: int = _FIRST_PORT) -> Iterator[int]:
    """Yield free loopback ports in ascending order from a random start.

    The ports are below the ephemeral range, so that the system does not
    assign them to outgoing connections.
    """
    start = first + secrets.randbelow(_LAST_PORT - first)
    span = _LAST_PORT - first
    for offset in range(span):
        port = first + (start - first + offset) % span
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        yield port


def load_layout(path: pathlib.Path) -> Layout:
    """Read a layout file and assign ports and API keys.

    Raises:
        ConfigurationError: The file cannot be read, or a field is missing or
            not valid.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
        return plan_layout(parser)
    except (OSError, configparser.Error, ValueError, KeyError) as error:
        raise ConfigurationError(
            f'read layout {path}',
            str(error),
            'see examples/layouts for valid layouts',
        ) from error


def plan_layout(parser: configparser.ConfigParser) -> Layout:
    """Return the plan of a fleet from a parsed layout file."""
    ports = free_ports()
    domains = {
        name: section['region']
        for name, section in _named_sections(parser, 'failure_domain')
    }
    organisations = tuple(
        OrganisationPlan(
            name=name,
            key=f'key-secret-{name}',
            rate_per_s=float(section['rate_per_s']),
            burst_requests=int(section['burst_requests']),
        )
        for name, section in _named_sections(parser, 'organisation')
    )
    nodes = []
    target_profiles = {}
    domain_names = sorted(domains)
    node_count = 0
    for service, section in _named_sections(parser, 'service'):
        target_profiles[service] = _parse_profile(service, section)
        for number in range(int(section['instances'])):
            domain = domain_names[node_count % len(domain_names)]
            node_count += 1
            nodes.append(
                NodePlan(
                    vm=f'{service}-{number + 1}',
                    failure_domain=domain,
                    region=domains[domain],
                    service=service,
                    caller_port=next(ports),
                    local_port=next(ports),
                    peer_port=next(ports),
                    target_port=next(ports),
                ),
            )
    return Layout(
        nodes=tuple(nodes),
        organisations=organisations,
        target_profiles=target_profiles,
        document_texts=_build_documents(parser, domains, organisations),
        store_port=next(ports),
    )


def node_settings(
    node: NodePlan,
    layout: Layout,
    extra_settings: Mapping[str, Mapping[str, str]],
) -> str:
    """Return the settings file of a node.

    Args:
        node: The node.
        layout: Layout of its fleet.
        extra_settings: Fields to add or replace, by section.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser['node'] = {
        'vm': node.vm,
        'failure_domain': node.failure_domain,
        'region': node.region,
        'host': '127.0.0.1',
        'caller_port': str(node.caller_port),
        'local_port': str(node.local_port),
        'peer_port': str(node.peer_port),
        'fleet_secret': _FLEET_SECRET,
    }
    parser['store'] = {'url': layout.store_url}
    seeds = [
        f'127.0.0.1:{peer.peer_port}'
        for peer in layout.nodes[:_PEER_SEED_COUNT]
    ]
    parser['peers'] = {'seeds': ' '.join(seeds)}
    for name, fields in extra_settings.items():
        if not parser.has_section(name):
            parser.add_section(name)
        parser[name].update(fields)
    lines = []
    for name in parser.sections():
        lines.append(f'[{name}]')
        lines.extend(f'{key} = {text}' for key, text in parser[name].items())
    return '\n'.join(lines)


def _named_sections(
    parser: configparser.ConfigParser,
    kind: str,
) -> Iterator[tuple[str, configparser.SectionProxy]]:
    """Yield the names and sections whose titles are ``kind``, space, name."""
    for title in parser.sections():
        prefix, _, name = title.partition(' ')
        if prefix == kind and name:
            yield name, parser[title]


def _parse_profile(
    service: str,
    section: configparser.SectionProxy,
) -> TargetProfile:
    slots = int(section['slots'])
    return TargetProfile(
        service=service,
        slots=slots,
        claimed_slots=section.getint('claimed_slots', slots),
        connections=int(section['connections']),
        waiting_most=section.getint('waiting_most', slots),
        service_ms=float(section['service_ms']),
        cold_ms=section.getfloat('cold_ms', 0),
        downstream=tuple(section.get('downstream', '').split()),
        answer_bytes=section.getint('answer_bytes', 1000),
    )


def _build_documents(
    parser: configparser.ConfigParser,
    domains: Mapping[str, str],
    organisations: tuple[OrganisationPlan, ...],
) -> dict[str, str]:
    fleet = ['[fleet]']
    if parser.has_section('fleet'):
        fleet.extend(f'{key} = {text}' for key, text in parser['fleet'].items())
    for domain, region in domains.items():
        fleet.extend((f'[failure_domain {domain}]', f'region = {region}'))
    document_texts = {'fleet': '\n'.join(fleet)}
    for plan in organisations:
        document_texts[f'organisation/{plan.name}'] = '\n'.join(
            (
                '[organisation]',
                f'name = {plan.name}',
                f'rate_per_s = {plan.rate_per_s}',
                f'burst_requests = {plan.burst_requests}',
                '[key first]',
                f'digest_sha256 = {key_digest(plan.key)}',
            ),
        )
    for service, section in _named_sections(parser, 'service'):
        allowance = section.get('retry_allowance', '3')
        lines = ['[service]', f'name = {service}']
        lines.append(f'retry_allowance = {allowance}')
        for title, route in _named_sections(parser, f'route:{service}'):
            lines.append(f'[route {title}]')
            lines.extend(f'{key} = {text}' for key, text in route.items())
        document_texts[f'service/{service}'] = '\n'.join(lines)
    return document_texts
