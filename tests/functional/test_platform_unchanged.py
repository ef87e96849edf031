"""Tests of nodes on the fake platform: bytes pass in both directions."""

import gzip
import zlib

import pytest
from lib.fake_platform import HOST
from lib.platform_fleet import running_fleet
from lib.raw_exchange import RawCaller, RawTarget, encode_raw_request

# Header fields that nodes set, or that concern one connection only.
_SET_BY_NODES = frozenset(
    (
        b'x-deadline-ms',
        b'x-tenant',
        b'x-caller-service',
        b'x-expect-instance',
        b'authorization',
        b'content-length',
        b'transfer-encoding',
        b'connection',
        b'expect',
        b'trailer',
        b'upgrade',
    )
)


@pytest.fixture
async def fleet():
    """Run two nodes; requests under /read/ stay on the first VM."""
    async with running_fleet(
        'stock', 'orders', target_type=RawTarget
    ) as running:
        yield running


async def connect(fleet):
    """Open a connection to the first node."""
    port = fleet.settings[0].callers_address.port
    return await RawCaller.connect(HOST, port)


async def assert_forwarded_unchanged(fleet, start, fields, body, **options):
    """Send a request to both targets; compare what they receive."""
    for index, prefix in enumerate((b'/read/', b'/book/')):
        method, _, path = start.partition(b' ')
        start_line = b'%s %s%s' % (method, prefix, path)
        raw = encode_raw_request(start_line, fields, body, **options)
        client = await connect(fleet)
        response = await client.exchange(raw)
        client.close()
        assert response.status == 200
        request = fleet.targets[index].requests[-1]
        sent_fields = [
            (name.lower(), field.strip())
            for name, _, field in (
                line.partition(b':')
                for line in raw.partition(b'\r\n\r\n')[0].split(b'\r\n')[1:]
            )
            if name.lower() not in _SET_BY_NODES
        ]
        assert request.start_line == b'%s HTTP/1.1' % start_line
        assert [
            (name.lower(), field)
            for name, field in request.without(_SET_BY_NODES)
        ] == sent_fields
        yield request


# Guards against bodies that are decoded on the way to a target.
@pytest.mark.parametrize(
    ('coding', 'body'),
    [
        (b'gzip', gzip.compress(b'x' * 5000)),
        (b'deflate', zlib.compress(b'x' * 5000)),
        (b'br', b'\x1b\x87\x13\x00\xa4'),
        (b'zstd', b'\x28\xb5\x2f\xfd'),
        (b'gzip', b'only called gzip'),
        (b'gzip, br', b'twice'),
    ],
)
async def test_body_with_content_coding_is_forwarded_unchanged(
    fleet, coding, body
):
    fields = b'Content-Encoding: %s\r\n' % coding
    async for request in assert_forwarded_unchanged(
        fleet, b'POST x', fields, body
    ):
        assert request.body == body


# Guards against header fields in another encoding than UTF-8 that end requests
# with a 500, or leave callers waiting.
@pytest.mark.parametrize(
    'field',
    [
        b'X-Name: caf\xe9\r\n',
        b'X-Name: caf\xc3\xa9\r\n',
        b'X-Name: \xff\xfe\x80 \xed\xa0\x80\r\n',
        b'Cookie: a="\xf0\x9f\x98\x80"; b=\xf0\r\n',
    ],
)
async def test_header_in_any_encoding_is_forwarded_unchanged(fleet, field):
    async for _ in assert_forwarded_unchanged(fleet, b'GET x', field, b''):
        for target in fleet.targets:
            target.response_head = b'Content-Length: 0\r\n%s' % field
    for start in (b'GET /read/x', b'GET /book/x'):
        client = await connect(fleet)
        response = await client.exchange(encode_raw_request(start))
        client.close()
        assert response.status == 200
        name, _, sent = field.strip().partition(b': ')
        assert response.find(name) == sent


# Guards against keys in another encoding than UTF-8 that get a 500.
async def test_key_in_any_encoding_is_refused_if_it_is_unknown(fleet):
    client = await connect(fleet)
    raw = encode_raw_request(b'GET /read/x').replace(b'mill-key', b'caf\xe9')
    assert (await client.exchange(raw)).status == 401
    client.close()
