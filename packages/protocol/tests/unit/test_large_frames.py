"""Large frames are the same on the wire, and need memory before they come."""

import asyncio
import contextlib
import dataclasses
import itertools

import pytest
from chivelead_protocol import (
    Acknowledged,
    CallReply,
    CallRequest,
    HybridClock,
    LinkNotOpenError,
    NoRoomError,
    PeerLink,
    PeerServer,
    Ping,
    ProtocolError,
    TargetNotice,
    decode_frame,
    encode_frame,
)
from chivelead_protocol._internal.frame_rooms import UnlimitedRooms
from chivelead_protocol._internal.frame_splitter import (
    FrameSplitter,
    encode_pieces,
)
from chivelead_protocol._internal.large_frames import (
    LARGE_FRAME_BYTES,
    decode_header,
    decode_large_frame,
    encode_large_frame,
)
from hypothesis import given, strategies
from websockets.frames import Frame, Opcode

HOST = '127.0.0.1'
_LARGE_BODY = bytes(range(256)) * 1200
_REQUEST = CallRequest(
    request_id='7',
    attempt_id='a.1',
    service='stock',
    route='/x',
    method='POST',
    path='/x/1',
    headers=(('A', 'b'), ('C', 'd' * 300)),
    body=_LARGE_BODY,
    organisation='mill',
    importance=3,
    idempotent=False,
    timeout_ms=1500.5,
    retry_allowance=-1,
    queue_limit_ms=0,
    notice=TargetNotice('i-1', 10**15, None, is_leaving=True),
)
_REPLY = CallReply(
    status=200,
    headers=(('A', ''),),
    body=_LARGE_BODY,
    outcome='done',
    reason='',
    retry_allowance=0,
    shed_level=0.5,
    queue_ms=0,
    load=0,
    downstream_shed_level=0,
)


class NoRooms(UnlimitedRooms):
    """Memory that has nothing left for large calls and replies."""

    def take_request(self, size_bytes):
        """Refuse calls that are large."""
        return None if size_bytes > LARGE_FRAME_BYTES else self

    def take_reply(self, size_bytes):
        """Refuse replies that are large."""
        return None if size_bytes > LARGE_FRAME_BYTES else self


class CountedRooms(UnlimitedRooms):
    """Memory that counts what is taken and not given back."""

    def __init__(self):
        """Create a memory from which nothing is taken."""
        self.open_rooms = 0

    def take_request(self, size_bytes):
        """Count a call."""
        return self.hold(size_bytes)

    def take_reply(self, size_bytes):
        """Count a reply."""
        return self.hold(size_bytes)

    def hold(self, size_bytes):
        """Count anything else."""
        self.open_rooms += 1
        return self

    def close(self):
        """Count what is given back."""
        self.open_rooms -= 1


@pytest.mark.parametrize('message', [_REQUEST, _REPLY])
@pytest.mark.parametrize('extra_bytes', [1, 200_000])
def test_large_frame_is_the_same_as_that_of_the_codec(message, extra_bytes):
    body = bytes(LARGE_FRAME_BYTES + extra_bytes)
    message = dataclasses.replace(message, body=body)
    raw = encode_frame(-5, 10**15, message)
    assert b''.join(encode_large_frame(-5, 10**15, message)) == raw
    assert decode_large_frame(bytearray(raw)) == decode_frame(raw)
    assert decode_header(raw[:64])[0] == -5


# Guards against a frame that is large only because of its headers.
def test_large_frame_without_a_large_body_is_decoded():
    message = dataclasses.replace(
        _REQUEST, body=b'', headers=(('A', 'x' * 70_000),)
    )
    raw = encode_frame(1, 1, message)
    assert decode_large_frame(bytearray(raw)).message == message


@given(strategies.data())
def test_damaged_large_frame_is_a_protocol_error(drawn):
    raw = bytearray(encode_frame(5, 10**15, _REQUEST))
    position = drawn.draw(strategies.integers(0, 100))
    raw[position] = drawn.draw(strategies.integers(0, 255))
    end = drawn.draw(strategies.sampled_from((len(raw), len(raw) // 2, 70)))
    for decode, damaged in (
        (decode_large_frame, raw[:end]),
        (decode_header, bytes(raw[:64])),
    ):
        with contextlib.suppress(ProtocolError):
            decode(damaged)


@given(strategies.lists(strategies.integers(1, 70_000)))
def test_large_frames_are_separated_wherever_the_bytes_are_split(cuts):
    small = Frame(Opcode.BINARY, b'x' * 300).serialize(mask=True)
    parts = (b'head' * 30, _LARGE_BODY[:70_000])
    large = b''.join(map(bytes, encode_pieces(parts, masked=True)))
    raw = small + large + small + large + small
    for_protocol = bytearray()
    frames = []
    rooms = CountedRooms()
    splitter = FrameSplitter(
        1_000_000,
        for_protocol.extend,
        lambda prefix, size_bytes: rooms.hold(size_bytes),
        lambda payload, room: frames.append(bytes(payload)),
    )
    position = 0
    for cut in itertools.chain(cuts, itertools.repeat(50_000)):
        splitter.feed(raw[position : position + cut])
        position += cut
        if position >= len(raw):
            break
    assert bytes(for_protocol) == small * 3
    assert frames == [b''.join(parts), b''.join(parts)]
    assert rooms.open_rooms == 2


@pytest.fixture
async def echo():
    """Return a function that opens a link to a server that echoes bodies."""
    opened = []

    async def handle_message(vm, message):
        if isinstance(message, CallRequest):
            return dataclasses.replace(_REPLY, body=message.body)
        return Acknowledged()

    async def connect(near_rooms=None, far_rooms=None):
        server = PeerServer(
            'far', b'', HybridClock(), handle_message, far_rooms
        )
        await server.start(HOST, 0)
        link = PeerLink(
            'near', HOST, server.port, b'', HybridClock(), near_rooms
        )
        await link.start()
        await link.request(Ping(), 5000)
        opened.extend((link, server))
        return link, server

    yield connect
    for component in opened:
        await component.close()


async def test_large_bodies_cross_a_link_and_their_memory_is_given_back(echo):
    near_rooms, far_rooms = CountedRooms(), CountedRooms()
    link, _ = await echo(near_rooms, far_rooms)
    body = _LARGE_BODY * 20
    request = dataclasses.replace(_REQUEST, body=body)
    for _ in range(2):
        reply = await link.request(request, 5000)
        assert reply.body == body
    small = dataclasses.replace(_REQUEST, body=b'small')
    replies = await asyncio.gather(
        *(link.request(small, 5000) for _ in range(5))
    )
    assert {reply.body for reply in replies} == {b'small'}
    await asyncio.sleep(0.01)
    assert (near_rooms.open_rooms, far_rooms.open_rooms) == (0, 0)


# Guards against a node that reads a call for which it has no memory, and
# against a refusal of which the caller does not know that nothing has run.
async def test_call_without_memory_at_the_peer_is_refused(echo):
    link, _ = await echo(far_rooms=NoRooms())
    reply = await link.request(_REQUEST, 5000)
    assert (reply.reason, reply.outcome) == ('memory', 'not-run')


async def test_reply_without_memory_fails_only_its_own_request(echo):
    link, _ = await echo(near_rooms=NoRooms())
    with pytest.raises(NoRoomError):
        await link.request(_REQUEST, 5000)
    small = dataclasses.replace(_REQUEST, body=b'small')
    assert (await link.request(small, 5000)).body == b'small'


# Guards against an unknown outcome of a call that the peer never had in whole.
async def test_link_lost_before_a_call_is_complete_has_not_sent_it(echo):
    far_rooms = CountedRooms()
    link, server = await echo(far_rooms=far_rooms)
    channel = server.channels()[0]
    channel._transport.pause_reading()
    request = dataclasses.replace(_REQUEST, body=bytes(50_000_000))
    sending = asyncio.create_task(link.request(request, 5000))
    await asyncio.sleep(0.1)
    channel.abort()
    with pytest.raises(LinkNotOpenError):
        await sending
    await asyncio.sleep(0.01)
    assert far_rooms.open_rooms == 0


async def test_caller_that_gives_up_closes_the_link_of_its_large_call(echo):
    far_rooms = CountedRooms()
    link, server = await echo(far_rooms=far_rooms)
    server.channels()[0]._transport.pause_reading()
    request = dataclasses.replace(_REQUEST, body=bytes(50_000_000))
    sending = asyncio.create_task(link.request(request, 5000))
    await asyncio.sleep(0.1)
    sending.cancel()
    await asyncio.gather(sending, return_exceptions=True)
    await asyncio.sleep(0.01)
    assert not link.is_open
