"""Tests of nodes on the fake platform: bytes pass in both directions."""

import asyncio
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


async def assert_forwarded_unchanged(
    fleet, start, fields, body, *, has_body=True, **options
):
    """Send a request to both targets; compare what they receive."""
    for index, prefix in enumerate((b'/read/', b'/book/')):
        method, _, path = start.partition(b' ')
        start_line = b'%s %s%s' % (method, prefix, path)
        raw = encode_raw_request(start_line, fields, body, **options)
        client = await connect(fleet)
        response = await client.exchange(raw, has_body=has_body)
        client.close()
        assert response.status == 200
        request = fleet.targets[index].requests[-1]
        sent_fields = [
            (name, field.strip())
            for name, _, field in (
                line.partition(b':')
                for line in raw.partition(b'\r\n\r\n')[0].split(b'\r\n')[1:]
            )
            if name.lower() not in _SET_BY_NODES
        ]
        assert request.start_line == b'%s HTTP/1.1' % start_line
        assert request.without(_SET_BY_NODES) == sent_fields
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


# Guards against clients that wait in vain for leave to send a body.
async def test_client_that_expects_leave_to_send_a_body_gets_it_at_once(fleet):
    fields = b'Expect: 100-continue\r\nContent-Length: 4\r\n'
    client = await connect(fleet)
    for _ in range(2):
        raw = encode_raw_request(b'POST /book/x', fields)
        interim = await client.exchange(raw, timeout_s=0.5)
        assert interim.start_line == b'HTTP/1.1 100 Continue'
        assert (await client.exchange(b'body')).status == 200
        request = fleet.targets[1].requests.pop()
        assert (request.body, request.find(b'expect')) == (b'body', None)
    client.close()


# Guards against a second response on a connection of a client that sends its
# body without waiting, or that does not know interim responses.
@pytest.mark.parametrize('version', [b'HTTP/1.1', b'HTTP/1.0'])
async def test_client_that_does_not_wait_gets_one_response(fleet, version):
    raw = encode_raw_request(
        b'POST /book/x', b'Expect: 100-continue\r\n', b'body', version=version
    )
    client = await connect(fleet)
    assert (await client.exchange(raw)).status == 200
    assert fleet.targets[1].requests.pop().body == b'body'
    client.close()


# Guards against uploads that are refused only after their body was sent, and
# against a body that is taken for the next request.
@pytest.mark.parametrize(
    ('start', 'key', 'size', 'status'),
    [
        (b'POST /book/x', b'mill-key', 1_000_001, 413),
        (b'POST /book/x', b'no-key', 4, 401),
        (b'POST /nowhere/x', b'mill-key', 4, 404),
    ],
)
async def test_refused_upload_gets_its_response_before_its_body(
    fleet, start, key, size, status
):
    fields = b'Expect: 100-continue\r\nContent-Length: %d\r\n' % size
    raw = encode_raw_request(start, fields).replace(b'mill-key', key)
    client = await connect(fleet)
    response = await client.exchange(raw, timeout_s=0.5)
    assert response.status == status
    assert response.find(b'connection') == b'close'
    client.close()


_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_TRAILERS = b'X-Late: 1\r\nX-Tenant: other\r\n'


# Guards against a trailer that becomes a header field of the next request on
# its connection.
@pytest.mark.parametrize('is_sent_at_once', [False, True])
@pytest.mark.parametrize('segment_bytes', [1, 7, 10_000])
async def test_trailers_of_a_request_stay_out_of_the_next(
    fleet, segment_bytes, is_sent_at_once
):
    body = b'3\r\nabc\r\n0\r\n%s\r\n' % _TRAILERS
    raw = encode_raw_request(b'POST /book/x', _CHUNKED, body, length=False)
    next_request = encode_raw_request(b'GET /book/y')
    client = await connect(fleet)
    if is_sent_at_once:
        raw += next_request
    for start in range(0, len(raw), segment_bytes):
        await client.send(raw[start : start + segment_bytes])
        await asyncio.sleep(0)
    assert (await client.read_response()).status == 200
    if not is_sent_at_once:
        await client.send(next_request)
    assert (await client.read_response()).status == 200
    client.close()
    first, following = fleet.targets[1].requests
    assert first.body == b'abc'
    assert following.start_line == b'GET /book/y HTTP/1.1'
    assert following.find(b'x-late') is None
    tenants = [field for name, field in following.fields if name == b'X-Tenant']
    assert tenants == [b'mill']


# Guards against connections that end, or requests that are lost, behind chunked
# bodies without trailers.
@pytest.mark.parametrize('segment_bytes', [1, 7, 64, 10_000])
async def test_requests_behind_a_chunked_one_are_answered(fleet, segment_bytes):
    bodies = [b'abc', b'\r\n0\r\n\r\n', b'0\r\n\r\n' * 30, b'']
    raw = b''
    for body in bodies:
        chunk = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
        raw += encode_raw_request(
            b'POST /book/x', _CHUNKED, b'%s0\r\n\r\n' % chunk, length=False
        )
    raw += encode_raw_request(b'GET /book/y')
    client = await connect(fleet)
    for start in range(0, len(raw), segment_bytes):
        await client.send(raw[start : start + segment_bytes])
        await asyncio.sleep(0)
    for _ in (*bodies, b''):
        assert (await client.read_response()).status == 200
    client.close()
    requests = fleet.targets[1].requests
    assert [request.body for request in requests] == [*bodies, b'']


# Guards against a trailer that becomes a header field of the next response of
# a target, such as its request ID.
@pytest.mark.parametrize('trailer', [b'X-Late: 1', b'X-Request-Id: other'])
async def test_trailers_of_a_response_stay_out_of_the_next(fleet, trailer):
    target = fleet.targets[1]
    target.response_head = _CHUNKED
    target.response_body = b'2\r\nok\r\n0\r\n%s\r\n\r\n' % trailer
    client = await connect(fleet)
    for _ in range(2):
        response = await client.exchange(encode_raw_request(b'GET /book/x'))
        assert (response.status, response.body) == (200, b'ok')
        assert response.find(b'x-late') is None
    client.close()


# Guards against calls that wait for their deadline since the target did not get
# their ID.
async def test_connection_option_does_not_remove_what_targets_need(fleet):
    fields = b'Connection: X-Hop, X-Request-Id, Host\r\nX-Hop: 1\r\n'
    client = await connect(fleet)
    raw = encode_raw_request(b'GET /book/x', fields)
    response = await client.exchange(raw, timeout_s=1)
    client.close()
    assert response.status == 200
    request = fleet.targets[1].requests.pop()
    assert request.find(b'x-hop') is None
    assert request.find(b'host') == b'shop.example'


# Guards against requests and responses that fail since they have many small
# header fields.
async def test_many_header_fields_are_forwarded_unchanged(fleet):
    fields = b''.join(b'X-%d: %d\r\n' % (index, index) for index in range(900))
    for target in fleet.targets:
        target.response_head = b'Content-Length: 0\r\n%s' % fields
    async for request in assert_forwarded_unchanged(
        fleet, b'GET x', fields, b''
    ):
        assert request.find(b'x-899') == b'899'
    client = await connect(fleet)
    response = await client.exchange(encode_raw_request(b'GET /book/x'))
    client.close()
    assert response.find(b'x-899') == b'899'


# Guards against callers that cannot tell that their headers are too large.
@pytest.mark.parametrize(
    'fields', [b'X-Long: %s\r\n' % (b'x' * 17_000), b'A: 1\r\n' * 1100]
)
async def test_headers_over_the_limits_get_their_own_status(fleet, fields):
    client = await connect(fleet)
    response = await client.exchange(encode_raw_request(b'GET /book/x', fields))
    client.close()
    assert response.status == 431
    assert not fleet.targets[1].requests


# Guards against heads that fill the memory with fields that are each within the
# limits.
async def test_head_without_end_is_refused(fleet):
    client = await connect(fleet)
    field = b'X-Long: %s\r\n' % (b'x' * 16_000)
    await client.send(b'GET /book/x HTTP/1.1\r\n%s' % (field * 20))
    assert (await client.read_response(timeout_s=1)).status == 431
    async with asyncio.timeout(1):
        assert not await client.reader.read()
    client.close()


# Guards against header fields of targets that are lost on the way to callers.
@pytest.mark.parametrize(
    ('method', 'status', 'fields', 'body'),
    [
        (b'GET', b'200 OK', (b'Date: Thu, 01 Jan 2026 00:00:00 GMT',), b'ok'),
        (b'GET', b'404 Not Found', (b'Server: app', b'X-A:', b'X-A: 2'), b'no'),
        (b'GET', b'200 OK', (b'Set-Cookie: b', b'Set-Cookie: a'), b''),
        (b'HEAD', b'200 OK', (b'Content-Length: 77', b'ETag: "x"'), b''),
        (b'GET', b'304 Not Modified', (b'Content-Length: 77',), b''),
        (b'DELETE', b'204 No Content', (b'X-A: 1',), b''),
    ],
)
async def test_response_is_forwarded_unchanged(
    fleet, method, status, fields, body
):
    has_body = method == b'GET' and not status.startswith(b'304')
    sent = list(fields)
    if has_body:
        sent.append(b'Content-Length: %d' % len(body))
    for target, prefix in zip(fleet.targets, (b'read', b'book'), strict=True):
        target.status_line = b'HTTP/1.1 %s' % status
        target.response_head = b''.join(b'%s\r\n' % line for line in sent)
        target.response_body = body
        client = await connect(fleet)
        raw = encode_raw_request(b'%s /%s/x' % (method, prefix))
        response = await client.exchange(raw, has_body=has_body)
        client.close()
        assert response.start_line == b'HTTP/1.1 %s' % status
        received = response.without({b'x-request-id', b'x-server-stamp'})
        assert received == [
            (name, field.strip())
            for name, _, field in (line.partition(b':') for line in sent)
        ]
        assert response.body == body


# Guards against header fields of targets that concern one connection only.
async def test_connection_options_of_a_response_are_not_forwarded(fleet):
    fleet.targets[
        1
    ].response_head = b'Content-Length: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\n'
    client = await connect(fleet)
    response = await client.exchange(encode_raw_request(b'GET /book/x'))
    client.close()
    assert response.find(b'x-hop') is None


# Guards against requests whose target or header fields are changed on the way.
@pytest.mark.parametrize(
    ('start', 'fields', 'options'),
    [
        (b'GET x?', b'', {}),
        (b'GET /a/../b//c;d=e', b'', {}),
        (b'GET %2f%2F%zz%?q=%00&q=&&=#f', b'', {}),
        (rb'GET [x]|"{}^`\<>?/?', b'', {}),
        (b"GET x:y@z,!$&'()*+", b'', {}),
        (b'HEAD x', b'', {}),
        (b'OPTIONS x', b'', {}),
        (b'PROPFIND x', b'Depth: 1\r\n', {}),
        (b'DELETE x', b'', {}),
        (b'GET x', b'', {'version': b'HTTP/1.0'}),
        (
            b'GET x',
            b'B: 2\r\nA: 1\r\nb: 3\r\nB:\r\nCookie: a\r\nCookie: b\r\n',
            {},
        ),
        (b'GET x', b'etag: 1\r\nX-request-ID2: 2\r\nuSER-aGENT: 3\r\n', {}),
        (b'GET x', b'X-Space:  a  b \t\r\nX-Quoted: "a, b"\r\n', {}),
        (b'GET x', b'Range: bytes=0-1\r\nAccept-Encoding: br;q=0.1\r\n', {}),
    ],
)
async def test_request_is_forwarded_unchanged(fleet, start, fields, options):
    if start.startswith(b'HEAD'):
        options = {**options, 'has_body': False}
    async for request in assert_forwarded_unchanged(
        fleet, start, fields, b'', **options
    ):
        assert not request.body


# Guards against bodies that are changed on the way, whatever they are sent as.
@pytest.mark.parametrize('is_chunked', [True, False])
@pytest.mark.parametrize('method', [b'POST', b'PUT', b'GET', b'DELETE'])
async def test_body_is_forwarded_unchanged(fleet, method, is_chunked):
    body = bytes(range(256)) * 40
    fields = _CHUNKED if is_chunked else b''
    raw = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body) if is_chunked else body
    async for request in assert_forwarded_unchanged(
        fleet, b'%s x' % method, fields, raw, length=not is_chunked
    ):
        assert request.body == body
        assert request.find(b'content-length') == b'10240'


# Guards against deadlines that are no numbers and get a 500.
@pytest.mark.parametrize('deadline', [b'nan', b'soon', b'', b'inf'])
async def test_deadline_that_is_no_time_counts_as_none(fleet, deadline):
    raw = encode_raw_request(b'GET /book/x').replace(b'2000', deadline)
    client = await connect(fleet)
    assert (await client.exchange(raw)).status == 200
    client.close()
