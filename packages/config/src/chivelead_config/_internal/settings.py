"""Settings of a node process, read from an INI file at startup."""

import dataclasses
import pathlib
from typing import Any

from chivelead_protocol import ConfigurationError

from chivelead_config._internal.fields import (
    Problem,
    load_section,
    optional,
    parse_ini,
    required,
)

_MAX_PORT = 65535
_MEBIBYTE = 1024 * 1024
_HOUR_S = 3600


@dataclasses.dataclass(frozen=True)
class NodeSection:
    """Identity, location and addresses of the node."""

    vm: str = required('Name of the VM; stays the same over restarts.')
    failure_domain: str = required('Failure domain of the VM.')
    region: str = required('Region of the failure domain.')
    host: str = required('IP address on which callers and peers reach it.')
    caller_port: int = required(
        'HTTP port for callers from outside.',
        low=1,
        high=_MAX_PORT,
    )
    local_port: int = required(
        'HTTP port on loopback for the target of this VM.',
        low=1,
        high=_MAX_PORT,
    )
    peer_port: int = required(
        'Port for links from other nodes.',
        low=1,
        high=_MAX_PORT,
    )
    fleet_secret: str = required('Secret that all nodes of the fleet share.')
    local_host: str = optional(
        '127.0.0.1',
        'IP address on which the target reaches its node.',
    )


@dataclasses.dataclass(frozen=True)
class StoreSection:
    """Connection of the node to the store of the platform."""

    url: str = required('Base URL of the store, with an IP address.')
    timeout_ms: int = optional(
        1000,
        'Timeout of a call to the store.',
        low=10,
        high=60000,
    )
    share_lease_s: int = optional(
        2 * _HOUR_S,
        'Lease of rate shares; the shares of a lost VM become free after it.',
        low=10,
        high=24 * _HOUR_S,
    )
    relay_lease_s: int = optional(
        15,
        'Lease of the relay keys by which a new node finds its first peers.',
        low=2,
        high=600,
    )


@dataclasses.dataclass(frozen=True)
class PeersSection:
    """Initial peers, contacted before the store is used."""

    seeds: str = optional(
        '-',
        'Initial peers as host:port, separated by spaces; - for none.',
    )


@dataclasses.dataclass(frozen=True)
class LimitsSection:
    """Limits that protect the node itself."""

    body_limit_bytes: int = optional(
        4 * _MEBIBYTE,
        'Largest body of a request or a response.',
        low=1024,
        high=5 * _MEBIBYTE,
    )
    shutdown_timeout_ms: int = optional(
        30000,
        'Longest wait for requests in flight at a graceful shutdown.',
        low=0,
        high=600000,
    )
    caller_idle_ms: int = optional(
        15000,
        'Idle caller connections are closed after this time.',
        low=100,
        high=600000,
    )
    memory_limit_mb: int = optional(
        256,
        'Memory of the process; a part of it is for connections and bodies.',
        low=64,
        high=65536,
    )


@dataclasses.dataclass(frozen=True)
class PolicySection:
    """Names of the registered policies that the node uses."""

    admission: str = optional('adaptive', 'Admission policy at the target.')
    queue: str = optional('importance-fair', 'Order of the admission queue.')
    routing: str = optional(
        'nearest-two', 'Routing policy, which chooses the target.'
    )
    retries: str = optional('allowance', 'Retry policy.')
    rates: str = optional('shares', 'Enforcement of the rate limits.')


@dataclasses.dataclass(frozen=True)
class MetricsSection:
    """Destination of statsd metrics."""

    statsd_host: str = optional('-', 'IP address of statsd; - for none.')
    statsd_port: int = optional(8125, 'Port of statsd.', low=1, high=_MAX_PORT)


@dataclasses.dataclass(frozen=True)
class LogSection:
    """Settings of the log."""

    log_calls: bool = optional(False, 'Whether each call is logged.')
    events_kept: int = optional(
        4000,
        'Recent events kept in memory for the timeline.',
        low=0,
        high=100000,
    )


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of a node."""

    node: NodeSection
    store: StoreSection
    peers: PeersSection = PeersSection()
    limits: LimitsSection = LimitsSection()
    policy: PolicySection = PolicySection()
    metrics: MetricsSection = MetricsSection()
    log: LogSection = LogSection()


SECTIONS: dict[str, type] = {
    'node': NodeSection,
    'store': StoreSection,
    'peers': PeersSection,
    'limits': LimitsSection,
    'policy': PolicySection,
    'metrics': MetricsSection,
    'log': LogSection,
}


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    Raises:
        ConfigurationError: The file cannot be read or is not valid; the
            message names the file, section, field and expected value.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(
            f'read settings {path}',
            str(error),
            'give the path of an INI file with --settings',
        ) from error
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> Settings:
    """Validate the text of a settings file.

    Raises:
        ConfigurationError: The text is not valid.
    """
    problems: list[Problem] = []
    parser = parse_ini(text, source, problems)
    sections: dict[str, Any] = {}
    if parser is not None:
        for name in parser.sections():
            if name not in SECTIONS:
                message = 'unknown section; one of {0}'.format(
                    ', '.join(SECTIONS),
                )
                problems.append(Problem(source, name, '', message))
        for name, section_class in SECTIONS.items():
            raw = dict(parser[name]) if parser.has_section(name) else {}
            sections[name] = load_section(
                section_class, raw, (source, name), problems
            )
    if problems:
        raise ConfigurationError(
            'check settings',
            '; '.join(str(problem) for problem in problems),
        )
    return Settings(**sections)
