"""Tests of node processes: peers that send bytes without end."""

import asyncio
import contextlib
import types

import pytest
from lib.endless_bytes import (
    BLOCK,
    CHUNK,
    HEADER_LINES,
    UPLOAD_ROUTES,
    EndlessBytes,
    EndlessStoreReplies,
    EndlessTarget,
    call_forever,
    check_others_beside,
    make_request_head,
    make_response_head,
    send_forever,
)
from lib.node_process import METRICS_PORT, ProcessFleet, RawClient

_CLIENT_COUNT = 48
_DURATION_S = 4
_LENGTH = 'Content-Length: 60000000'
_CHUNKED = 'Transfer-Encoding: chunked'
_EMPTY_LINE = b'\r\n'
_UPLOAD = ('POST', '/upload/x')
_BEAT = ('POST', '/api/rpc?call=instances.heartbeat&of=i-1')
_TLS_RECORD = b'\x16\x03\x01\x40\x00'.ljust(16_384, b'\x01')

_CALLER_FORMS = types.MappingProxyType(
    {
        'no-head': EndlessBytes(b'', BLOCK),
        'header-lines': EndlessBytes(make_request_head(*_UPLOAD), HEADER_LINES),
        'body': EndlessBytes(
            make_request_head(*_UPLOAD, _LENGTH) + _EMPTY_LINE, BLOCK
        ),
        'chunks': EndlessBytes(
            make_request_head(*_UPLOAD, _CHUNKED) + _EMPTY_LINE, CHUNK
        ),
        'chunk-extension': EndlessBytes(
            make_request_head(*_UPLOAD, _CHUNKED, end=b'\r\n1;'), BLOCK
        ),
        'trailers': EndlessBytes(
            make_request_head(*_UPLOAD, _CHUNKED, end=b'\r\n0\r\n'),
            HEADER_LINES,
        ),
        'requests': EndlessBytes(
            b'', (make_request_head('GET', '/read/x') + _EMPTY_LINE) * 100
        ),
        'bytes-after-a-request': EndlessBytes(
            make_request_head('GET', '/read/x') + _EMPTY_LINE, BLOCK
        ),
        'tls': EndlessBytes(b'', _TLS_RECORD),
    }
)
_PORT_FORMS = types.MappingProxyType(
    {
        'announcements-no-head': (
            'announcements_port',
            _CALLER_FORMS['no-head'],
        ),
        'announcements-header-lines': (
            'announcements_port',
            EndlessBytes(make_request_head(*_BEAT), HEADER_LINES),
        ),
        'announcements-body': (
            'announcements_port',
            EndlessBytes(
                make_request_head(*_BEAT, _LENGTH) + _EMPTY_LINE, BLOCK
            ),
        ),
        'probes-no-head': ('probes_port', _CALLER_FORMS['no-head']),
        'probes-requests': (
            'probes_port',
            EndlessBytes(
                b'',
                (make_request_head('GET', '/api/ready') + _EMPTY_LINE) * 100,
            ),
        ),
        'peers-no-head': ('peer_port', _CALLER_FORMS['no-head']),
        'peers-header-lines': (
            'peer_port',
            EndlessBytes(make_request_head('GET', '/'), HEADER_LINES),
        ),
        'metrics-no-head': ('metrics_port', _CALLER_FORMS['no-head']),
    }
)


def _after_head(block, *fields, more=b''):
    def make_bytes(request_id):
        head = make_response_head(*fields, request_id=request_id)
        return EndlessBytes(head + _EMPTY_LINE + more, block)

    return make_bytes


def _make_stray_response():
    return make_response_head(
        'Content-Length: 5', request_id='other', end=b'\r\nhello'
    )


_TARGET_FORMS = types.MappingProxyType(
    {
        'no-head': lambda _: EndlessBytes(b'', BLOCK),
        'header-lines': lambda request_id: EndlessBytes(
            make_response_head(request_id=request_id), HEADER_LINES
        ),
        'body': _after_head(BLOCK, _LENGTH),
        'body-without-length': _after_head(BLOCK),
        'chunks': _after_head(CHUNK, _CHUNKED),
        'chunk-extension': _after_head(BLOCK, _CHUNKED, more=b'1;'),
        'trailers': _after_head(HEADER_LINES, _CHUNKED, more=b'0\r\n'),
        'bytes-after-a-response': _after_head(
            BLOCK, 'Content-Length: 5', more=b'hello'
        ),
        'responses-after-a-response': _after_head(
            _make_stray_response() * 200, 'Content-Length: 5', more=b'hello'
        ),
        'responses-to-others': lambda _: EndlessBytes(
            b'', _make_stray_response() * 200
        ),
        'informational': lambda _: EndlessBytes(
            b'',
            make_response_head(status='103 Early Hints')
            + HEADER_LINES
            + _EMPTY_LINE,
        ),
        'switched-protocol': lambda _: EndlessBytes(
            make_response_head(
                'Upgrade: x', 'Connection: upgrade', status='101 Switching'
            )
            + _EMPTY_LINE,
            BLOCK,
        ),
    }
)
_HEALTH_FORMS = types.MappingProxyType(
    {
        'no-head': _TARGET_FORMS['no-head'],
        'header-lines': _TARGET_FORMS['header-lines'],
        'body-without-length': _TARGET_FORMS['body-without-length'],
        'informational': _TARGET_FORMS['informational'],
    }
)
_STORE_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'


def _make_store_head(field, body=b''):
    return b''.join((_STORE_HEAD, field, b'\r\n\r\n', body))


_VALUE_START = b'{"key": "op/config", "revision": 9, "value": "'
_STORE_FORMS = types.MappingProxyType(
    {
        'no-head': EndlessBytes(b'', BLOCK),
        'header-lines': EndlessBytes(_STORE_HEAD, HEADER_LINES),
        'body': EndlessBytes(
            _make_store_head(b'Content-Length: 900000000'), BLOCK
        ),
        'body-without-length': EndlessBytes(_STORE_HEAD + _EMPTY_LINE, BLOCK),
        'chunks': EndlessBytes(
            _make_store_head(b'Transfer-Encoding: chunked'), CHUNK
        ),
        'one-value': EndlessBytes(
            _STORE_HEAD + _EMPTY_LINE + _VALUE_START, b'eHh4' * 16_384
        ),
        'informational': EndlessBytes(
            b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 500
        ),
        'bytes-after-a-response': EndlessBytes(
            _make_store_head(b'Content-Length: 2', b'{}'), BLOCK
        ),
        'responses': EndlessBytes(
            b'', _make_store_head(b'Content-Length: 2', b'{}') * 500
        ),
        'pages': None,
    }
)


@contextlib.asynccontextmanager
async def _running_fleet(make_target=None):
    fleet = ProcessFleet('stock', 'orders', make_target=make_target)
    try:
        await fleet.start(routes=UPLOAD_ROUTES, body_limit_bytes=67_108_864)
        yield fleet
    finally:
        await fleet.close()


def _call_sick_target(fleet):
    node = fleet.nodes[0]
    return [
        call_forever(node.ip, node.callers_port, '/read/x')
        for _ in range(_CLIENT_COUNT)
    ]


async def _send_slowly(host, port, start):
    """Send one byte a second until the server closes the connection."""
    client = await RawClient.connect(host, port)
    try:
        await client.send(start)
        while True:
            await client.send(b'1')
            await asyncio.sleep(1)
    finally:
        client.close()


# Guards against a node that runs out of memory by what a client sends.
@pytest.mark.parametrize('form', _CALLER_FORMS)
async def test_client_that_sends_without_end_costs_little_memory(form):
    async with _running_fleet() as fleet:
        node = fleet.nodes[0]
        await check_others_beside(
            fleet,
            [
                send_forever(node.ip, node.callers_port, _CALLER_FORMS[form])
                for _ in range(_CLIENT_COUNT)
            ],
            _DURATION_S,
        )


# Guards against the same at the other ports of a node.
@pytest.mark.parametrize('form', _PORT_FORMS)
async def test_sender_without_end_at_another_port_costs_little_memory(form):
    port_name, endless = _PORT_FORMS[form]
    async with _running_fleet() as fleet:
        node = fleet.nodes[0]
        port = getattr(node, port_name, METRICS_PORT)
        await check_others_beside(
            fleet,
            [
                send_forever(node.ip, port, endless)
                for _ in range(_CLIENT_COUNT)
            ],
            _DURATION_S,
        )


# Guards against a node that runs out of memory by what a target answers.
@pytest.mark.parametrize('form', _TARGET_FORMS)
async def test_target_that_answers_without_end_costs_little_memory(form):
    def make_target(service, _):
        if service == 'orders':
            return None
        return EndlessTarget(service, _TARGET_FORMS[form])

    async with _running_fleet(make_target) as fleet:
        await check_others_beside(fleet, _call_sick_target(fleet), _DURATION_S)


# Guards against the same by the answers to health probes.
@pytest.mark.parametrize('form', _HEALTH_FORMS)
async def test_probe_that_is_answered_without_end_costs_little_memory(form):
    def make_target(service, _):
        if service == 'orders':
            return None
        return EndlessTarget(service, _HEALTH_FORMS[form], answers_health=False)

    async with _running_fleet(make_target) as fleet:
        await check_others_beside(fleet, _call_sick_target(fleet), _DURATION_S)


# Guards against nodes that run out of memory by what the store answers.
@pytest.mark.parametrize('form', _STORE_FORMS)
async def test_store_that_answers_without_end_costs_little_memory(form):
    async with _running_fleet() as fleet:
        replies = EndlessStoreReplies(_STORE_FORMS[form])
        fleet.store.override_replies(replies.reply)
        fleet.store.end_watches()
        await check_others_beside(fleet, [], _DURATION_S)


# Guards against connections of slow senders that are kept for ever.
@pytest.mark.parametrize(
    'start',
    [
        b'',
        make_request_head(*_UPLOAD, end=b'X-Slow: '),
        make_request_head(*_UPLOAD, _CHUNKED) + _EMPTY_LINE,
    ],
    ids=['first-line', 'header', 'chunk-size'],
)
async def test_clients_that_send_a_byte_a_second_cost_little_memory(start):
    async with _running_fleet() as fleet:
        node = fleet.nodes[0]
        await check_others_beside(
            fleet,
            [
                _send_slowly(node.ip, node.callers_port, start)
                for _ in range(400)
            ],
            _DURATION_S,
        )
