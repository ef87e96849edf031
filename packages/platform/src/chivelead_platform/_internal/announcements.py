"""Requests to the control addresses of a node, from platform and target.

The platform probes the readiness of the node.  The target on the node's VM
announces its state periodically and before it leaves.
"""

import ipaddress
import re
import types

import orjson
from chivelead_config import NodeRequestKind, TargetAnnouncement
from chivelead_protocol import ConfigurationError, TargetState

from chivelead_platform._internal.values import FieldReader

_READY_PATH = '/api/ready'
_CALL_PATH = '/api/rpc'
_PORT = re.compile('[0-9]{1,5}')
_MAX_PORT = 65_535
# No target handles more requests at once.
_MAX_SLOTS = 1_000_000
_MAX_VERSION_LENGTH = 100
_STATES = types.MappingProxyType(
    {'ready': TargetState.ready, 'draining': TargetState.draining},
)


def classify_request(method: str, path: str, operation: str) -> NodeRequestKind:
    """Return the kind of a request to a control address of the node.

    Args:
        method: HTTP method.
        path: Path of the URL, without the query.
        operation: Value of the ``call`` query parameter, which names the
            operation of a request to ``/api/rpc``.
    """
    if (method, path) == ('GET', _READY_PATH):
        return NodeRequestKind.readiness
    if (method, path) != ('POST', _CALL_PATH):
        return NodeRequestKind.unknown
    return {
        'instances.heartbeat': NodeRequestKind.announcement,
        'instances.deregister': NodeRequestKind.departure,
    }.get(operation, NodeRequestKind.unknown)


def parse_announcement(target_id: str, text: bytes) -> TargetAnnouncement:
    """Parse the body of an announcement.

    Raises:
        ConfigurationError: The body is not valid JSON, or a field is missing
            or invalid; the message names the field.
    """
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError('read announcement', str(error)) from error
    reader = FieldReader('announcement', raw)
    info_fields = reader.table('info')
    status = reader.table('status')
    state = _STATES.get(status.string('state'))
    if state is None or not target_id:
        raise ConfigurationError(
            'read announcement', 'invalid target identity or state'
        )
    host, port = _parse_address(reader.string('address'))
    return TargetAnnouncement(
        target_id=target_id,
        started_ms=reader.count('born', 0),
        sequence=status.count('seq'),
        service=info_fields.string('service'),
        host=host,
        port=port,
        slots=_parse_slots(info_fields),
        state=state,
        warmup_left_ms=status.number('warmup_left_ms', 0),
        version=_parse_version(info_fields),
    )


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port_text = address.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise ConfigurationError(
            'read announcement', f'invalid address {address!r:.60}'
        ) from error
    port = int(port_text) if _PORT.fullmatch(port_text) else 0
    if not 1 <= port <= _MAX_PORT:
        raise ConfigurationError(
            'read announcement', f'invalid port {port_text!r:.20}'
        )
    return host, port


def _parse_version(info_fields: FieldReader) -> str:
    """Return the version, or an empty string if it is missing or invalid."""
    try:
        version = info_fields.string('version', '')
    except ConfigurationError:
        return ''
    return version[:_MAX_VERSION_LENGTH]


def _parse_slots(info_fields: FieldReader) -> int:
    slots = info_fields.count('slots')
    if slots > _MAX_SLOTS:
        raise ConfigurationError(
            'read announcement', f'more than {_MAX_SLOTS} slots'
        )
    return max(1, slots)
