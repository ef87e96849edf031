"""Parser of the settings file that the platform gives to each process."""

import dataclasses
import os
import pathlib
import tomllib
from collections.abc import Mapping

from chivelead_protocol import ConfigurationError

from chivelead_platform._internal.values import FieldReader

SETTINGS_VARIABLE = 'CHIVELEAD_CONFIG'

# Defaults for fields that a settings file leaves out, as in the existing
# deployments.
_DEFAULT_ANNOUNCEMENT_PERIOD_MS = 1500
_DEFAULT_MEMORY_LIMIT_MB = 300
_DEFAULT_PLAN_MS = 2500
_DEFAULT_RETRY_RATIO = 0.2


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse an address of the form ``HOST:PORT``.

        Raises:
            ConfigurationError: The text has another form.
        """
        host, _, port = text.rpartition(':')
        if not host or not port.isdigit():
            raise ConfigurationError(
                f'parse address {text!r:.60}',
                'expected HOST:PORT',
            )
        return cls(host, int(port))


_DEFAULT_VALUE_LIMIT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """The key-value store.

    Attributes:
        address: Address on which it listens.
        lease_min_ms: The shortest lease that it grants.
        value_limit_bytes: The largest value that it holds.
    """

    address: Address
    lease_min_ms: int
    value_limit_bytes: int = _DEFAULT_VALUE_LIMIT_BYTES


@dataclasses.dataclass(frozen=True)
class FleetBounds:
    """Bounds that the deployment sets for all nodes of the fleet.

    Attributes:
        grace_ms: Time from SIGTERM to SIGKILL.
        retry_ratio: Retries allowed to a service in a window, as a fraction of
            its requests.
        retry_window_ms: Time window in which retries are counted.
        retry_slack: Number of retries per window allowed beyond the ratio, for
            all nodes together.
        plan_ms: Time in which a new traffic plan must take effect everywhere.
    """

    grace_ms: float
    retry_ratio: float
    retry_window_ms: float
    retry_slack: float
    plan_ms: float


@dataclasses.dataclass(frozen=True)
class ProcessSettings:
    """Settings of a process: its VM, its target and the fleet.

    Attributes:
        vm: Name of this VM's place in the fleet.
        host: IP address of the VM.
        own_service: Service whose target runs on this VM.
        target_address: Address on which that target listens.
        callers_address: Address on which the node accepts requests of callers
            and of the target.
        probes_address: Address on which the node answers the platform's
            readiness probes.
        announcements_address: Address on which the node accepts announcements
            of the target.
        peer_port: Port for links between nodes.
        regions: Region of each failure domain.
        first_start: Whether the whole fleet is started for the first time.
        announcement_period_ms: Interval between announcements of a target.
    """

    vm: str
    host: str
    failure_domain: str
    region: str
    own_service: str
    target_address: Address
    callers_address: Address
    probes_address: Address
    announcements_address: Address
    peer_port: int
    regions: Mapping[str, str]
    first_start: bool
    announcement_period_ms: float
    memory_limit_mb: float
    store: StoreSettings
    bounds: FleetBounds


def load_process_settings() -> ProcessSettings:
    """Read the settings file named by the environment variable.

    Raises:
        ConfigurationError: The variable is not set, or the file cannot be
            read or is not valid.
    """
    name = os.environ.get(SETTINGS_VARIABLE, '')
    if not name:
        raise ConfigurationError(
            'read settings',
            f'{SETTINGS_VARIABLE} is not set',
            'set it to the path of the settings file',
        )
    try:
        text = pathlib.Path(name).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(
            f'read settings {name}',
            str(error),
        ) from error
    return parse_process_settings(text)


def parse_process_settings(text: str) -> ProcessSettings:
    """Parse the text of a settings file, in TOML.

    Raises:
        ConfigurationError: The text is not valid TOML, or a field is missing
            or invalid; the message names the field.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError('read settings', str(error)) from error
    settings = FieldReader('settings', raw)
    own = settings.table('self')
    network = settings.table('network')
    listen = network.table('listen')
    platform = settings.table('platform')
    internal_ports = network.entries('internal_ports')
    if not internal_ports or not isinstance(internal_ports[0], int):
        raise ConfigurationError(
            'settings.network.internal_ports',
            'expected two port numbers',
        )
    return ProcessSettings(
        vm=own.string('node'),
        host=own.string('ip'),
        failure_domain=own.string('zone'),
        region=own.string('region', ''),
        own_service=own.string('service'),
        target_address=Address.parse(own.string('app_addr')),
        # The platform names this address from the point of view of the
        # target: requests leave the target for it.
        callers_address=Address.parse(listen.string('outbound')),
        probes_address=Address.parse(listen.string('readiness')),
        announcements_address=Address.parse(listen.string('admin')),
        peer_port=internal_ports[0],
        regions=_parse_regions(raw),
        first_start=own.boolean('bootstrap'),
        announcement_period_ms=platform.number(
            'heartbeat_ms',
            _DEFAULT_ANNOUNCEMENT_PERIOD_MS,
        ),
        memory_limit_mb=own.table('limits').number(
            'memory_mb',
            _DEFAULT_MEMORY_LIMIT_MB,
        ),
        store=_parse_store_settings(platform.table('platform')),
        bounds=_parse_bounds(settings.table('terms').table('bounds')),
    )


def _parse_regions(raw: object) -> Mapping[str, str]:
    zones = FieldReader('settings', raw).table('network').table('zones')
    return {name: zones.string(name) for name in zones.names()}


def _parse_store_settings(store: FieldReader) -> StoreSettings:
    return StoreSettings(
        address=Address.parse(store.string('address')),
        lease_min_ms=store.count('ttl_min_ms', 1000),
        value_limit_bytes=store.count(
            'value_bytes', _DEFAULT_VALUE_LIMIT_BYTES
        ),
    )


def _parse_bounds(bounds: FieldReader) -> FleetBounds:
    ms_per_s = 1000
    return FleetBounds(
        grace_ms=bounds.number('grace_s', 6) * ms_per_s,
        retry_ratio=bounds.number('retry_budget_ratio', _DEFAULT_RETRY_RATIO),
        retry_window_ms=bounds.number('retry_window_s', 10) * ms_per_s,
        retry_slack=bounds.number('budget_slack', 0),
        plan_ms=bounds.number('config_ms', _DEFAULT_PLAN_MS),
    )
