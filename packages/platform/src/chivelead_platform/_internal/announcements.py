"""What targets say of themselves to the node beside them."""

import types

import orjson
from chivelead_config import NodeRequestKind, TargetAnnouncement
from chivelead_protocol import ConfigurationError, TargetState

from chivelead_platform._internal.values import FieldReader

_READY_PATH = '/api/ready'
_CALL_PATH = '/api/rpc'
_STATES = types.MappingProxyType(
    {'ready': TargetState.ready, 'draining': TargetState.draining},
)


def classify(method: str, path: str, call: str) -> NodeRequestKind:
    """Tell what a request on a node's own addresses asks for."""
    if (method, path) == ('GET', _READY_PATH):
        return NodeRequestKind.readiness
    if (method, path) != ('POST', _CALL_PATH):
        return NodeRequestKind.unknown
    return {
        'instances.heartbeat': NodeRequestKind.announcement,
        'instances.deregister': NodeRequestKind.departure,
    }.get(call, NodeRequestKind.unknown)


def parse_news(target_id: str, text: bytes) -> TargetAnnouncement:
    """Return the announcement in a body.

    Raises:
        ConfigurationError: A field is missing or wrong; says which.
    """
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError('read announcement', str(error)) from error
    news = FieldReader('announcement', raw)
    facts = news.table('info')
    status = news.table('status')
    state = _STATES.get(status.text('state'))
    host, _, port = news.text('address').rpartition(':')
    if state is None or not host or not port.isdigit() or not target_id:
        raise ConfigurationError(
            'read announcement',
            'the identity, state or address is not valid',
        )
    return TargetAnnouncement(
        target_id=target_id,
        started_ms=news.count('born', 0),
        sequence=status.count('seq'),
        service=facts.text('service'),
        host=host,
        port=int(port),
        slots=max(1, facts.count('slots')),
        state=state,
        warmup_left_ms=status.number('warmup_left_ms', 0),
    )
