"""Entries of contacts in the store.

Another writer may have left anything under these keys, so each field is checked
for its type and its range.
"""

import dataclasses
import ipaddress
import time
from typing import Any

import orjson
from chivelead_protocol import ConfigurationError, Member, TargetState

from chivelead_node._internal.proxy.identifiers import is_identifier

_MAX_PORT = 65_535
# Incarnations are Unix times; a later one would outrank the node itself.
_MAX_CLOCK_ERROR_MS = 86_400_000
_MS_PER_S = 1000
_NAME_FIELDS = ('vm', 'boot_id', 'failure_domain', 'region')


def format_contact(member: Member) -> str:
    """Return the entry of a contact: how to reach it, nothing of its target."""
    fields = dataclasses.asdict(_without_target(member))
    return orjson.dumps(fields).decode()


def parse_contact(text: str) -> Member:
    """Parse the entry of a contact.

    Raises:
        ConfigurationError: The text is not JSON, or a field is missing, of
            another type or out of range; the message names the field.
    """
    try:
        fields = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise _contact_error(str(error)) from error
    if not isinstance(fields, dict):
        raise _contact_error('not a JSON object')
    for name in _NAME_FIELDS:
        if not is_identifier(fields.get(name)):
            raise _contact_error(f'{name} is no name')
    _check_address(fields)
    _check_incarnation(fields.get('incarnation'))
    return _without_target(
        Member(
            **{name: fields[name] for name in _NAME_FIELDS},
            incarnation=fields['incarnation'],
            version=0,
            alive=True,
            relay=fields.get('relay') is not False,
            host=fields['host'],
            peer_port=fields['peer_port'],
            service='',
            target_state='',
            target_slots=0,
            target_connections=0,
            shares=(),
        )
    )


def _without_target(member: Member) -> Member:
    """Return an entry that is older than any that the node itself reports."""
    return dataclasses.replace(
        member,
        version=0,
        service='',
        target_state=str(TargetState.gone),
        target_slots=0,
        target_connections=0,
        shares=(),
    )


def _check_address(fields: dict[str, Any]) -> None:
    host, port = fields.get('host'), fields.get('peer_port')
    if not isinstance(host, str):
        raise _contact_error('host is no text')
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise _contact_error(f'host is no IP address: {host!r:.60}') from error
    # The types are compared, as a bool is an int too.
    if port.__class__ is not int or not 1 <= port <= _MAX_PORT:
        raise _contact_error(f'peer_port is out of range: {port!r:.60}')


def _check_incarnation(incarnation: Any) -> None:
    latest_ms = time.time() * _MS_PER_S + _MAX_CLOCK_ERROR_MS
    if incarnation.__class__ is not int or not 0 <= incarnation <= latest_ms:
        raise _contact_error(f'incarnation is no time: {incarnation!r:.60}')


def _contact_error(cause: str) -> ConfigurationError:
    return ConfigurationError('read contact', cause)
