"""Links authenticate both ends and detect a peer that stops responding."""

import asyncio
import socket
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
import uvloop
from chivelead_protocol import (
    Acknowledged,
    CallCancel,
    CallReply,
    CallRequest,
    EncodingError,
    HybridClock,
    LinkLostError,
    LinkNotOpenError,
    PeerLink,
    PeerServer,
    ProtocolError,
    ReplyTimeoutError,
    StatusQuery,
    TakeTokens,
    now_ms,
)
from chivelead_protocol._internal import channel, link_server
from chivelead_protocol._internal.exceptions import AuthenticationError

HOST = '127.0.0.1'


async def start_server(message_handler, secret=b'secret'):
    """Return a server that listens on a free port, and the port."""
    server = PeerServer('far', secret, HybridClock(), message_handler)
    await server.start(HOST, 0)
    return server, server.port


def wait_on(silent_ms):
    """Wait for a reply, however long the peer is silent."""
    return False


async def acknowledge(vm, body):
    """Reply to any message."""
    return Acknowledged()


async def test_link_with_the_same_secret_carries_requests():
    server, port = await start_server(acknowledge)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    assert await link.request(StatusQuery(), 5000) == Acknowledged()
    assert link.peer_vm == 'far'
    await link.close()
    await server.close()


async def test_server_with_another_secret_is_rejected():
    server, port = await start_server(acknowledge, b'other')
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    with pytest.raises(AuthenticationError, match='secret'):
        await link.start()
    await server.close()


async def reply_without_encoding(vm, body):
    """Reply with a message that frames cannot hold."""
    return TakeTokens('\ud800', 1, 1, 1.0, ())


async def reply_with_large_frame(vm, body):
    """Reply with a message that is larger than a frame may be."""
    return CallReply(200, (), bytes(2000), 'done', '', 0, 0, 0, 0, 0)


# Guards against callers that wait for their timeout since a reply could not be
# sent, and against links that a reply closes.
@pytest.mark.parametrize(
    'message_handler', [reply_without_encoding, reply_with_large_frame]
)
async def test_reply_that_cannot_be_sent_fails_its_request_at_once(
    message_handler, monkeypatch
):
    server, port = await start_server(message_handler)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    monkeypatch.setattr(channel, 'MAX_FRAME_BYTES', 1000)
    started_ms = now_ms()
    with pytest.raises(ProtocolError):
        await link.request(StatusQuery(), 5000)
    assert now_ms() - started_ms < 1000
    assert link.is_open
    await link.close()
    await server.close()


# Guards against requests that close a link, or fail with an unexpected error,
# since they cannot be sent.
@pytest.mark.parametrize('name', ['\ud800', 'x' * 2000])
async def test_request_that_cannot_be_sent_fails_alone(name, monkeypatch):
    server, port = await start_server(acknowledge)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    monkeypatch.setattr(channel, 'MAX_FRAME_BYTES', 1000)
    with pytest.raises(EncodingError):
        await link.request(TakeTokens(name, 1, 1, 1.0, ()), 5000)
    assert await link.request(StatusQuery(), 5000) == Acknowledged()
    await link.close()
    await server.close()


# Guards against requests that count as sent, and so are not tried elsewhere,
# though their link was closing when they came.
async def test_request_on_a_closing_link_is_known_not_to_be_sent():
    server, port = await start_server(acknowledge)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    link._channel.close()
    assert link.is_open
    with pytest.raises(LinkNotOpenError):
        await link.request(StatusQuery(), 5000)
    await link.close()
    await server.close()


async def test_unresponsive_peer_closes_the_link_and_fails_requests():
    server, port = await start_server(acknowledge)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    # The server stops reading and replying while the connection stays open.
    server.channels()[0]._transport.pause_reading()
    with pytest.raises(LinkLostError):
        await link.request(StatusQuery(), 60_000)
    assert not link.is_open
    await link.close()
    await server.close()


@pytest.fixture
async def silent_link():
    """Return a link to a peer that does not read, and the peer's channel."""
    server, port = await start_server(acknowledge)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    # The server has authenticated the link by then.
    await link.request(StatusQuery(), 5000)
    channel_of_peer = server.channels()[0]
    channel_of_peer._transport.pause_reading()
    yield link, channel_of_peer
    await link.close()
    await server.close()


# Guards against calls that must run once and fail though their peer, which was
# held up, answers; and against other calls that wait for such a peer.
async def test_silence_fails_only_requests_that_can_be_sent_again(silent_link):
    link, channel_of_peer = silent_link
    once = asyncio.create_task(
        link.request(StatusQuery(), 5000, give_up=wait_on)
    )
    with pytest.raises(LinkLostError):
        await link.request(StatusQuery(), 5000)
    assert link.awaits_replies
    assert not link.is_open
    with pytest.raises(LinkNotOpenError):
        await link.request(StatusQuery(), 5000)
    channel_of_peer._transport.resume_reading()
    assert await once == Acknowledged()
    assert not link.awaits_replies


# Guards against requests that fail although they cannot be sent elsewhere, or
# that wait on once they can.
async def test_request_waits_for_a_silent_peer_until_it_is_given_up(
    silent_link,
):
    link, _ = silent_link
    silences_ms = []

    def give_up(silent_ms):
        silences_ms.append(silent_ms)
        return len(silences_ms) == 3

    with pytest.raises(LinkLostError):
        await link.request(StatusQuery(), 5000, give_up=give_up)
    assert silences_ms == sorted(silences_ms)
    assert silences_ms[0] > 1000
    assert link._channel is None


# Guards against requests that are given up early since their link was idle, and
# so silent between pings.
async def test_silence_before_a_request_does_not_count(
    silent_link, monkeypatch
):
    # As in a process that is held up.
    monkeypatch.setattr(link_server, 'RECEIVE_TIMEOUT_MS', 60_000)
    link, _ = silent_link
    await asyncio.sleep(1.5)
    silences_ms = []

    def give_up(silent_ms):
        silences_ms.append(silent_ms)
        return True

    with pytest.raises(LinkLostError):
        await link.request(StatusQuery(), 5000, give_up=give_up)
    assert 1000 < silences_ms[0] < 1500


# Guards against requests that are given up although their peer responds again.
async def test_request_is_not_given_up_once_its_peer_responds(silent_link):
    link, channel_of_peer = silent_link
    silences_ms = []

    def give_up(silent_ms):
        silences_ms.append(silent_ms)
        channel_of_peer._transport.resume_reading()
        return False

    reply = await link.request(StatusQuery(), 5000, give_up=give_up)
    assert reply == Acknowledged()
    assert len(silences_ms) == 1


# Guards against connections to dead peers that stay open once nothing waits
# for their replies, and against requests that outlast their timeout there.
async def test_silent_link_closes_with_its_last_request(silent_link):
    link, _ = silent_link
    text = 'x' * 60_000
    many = [
        link.request(TakeTokens(text, 1, 1, 1.0, ()), 2000, give_up=wait_on)
        for _ in range(200)
    ]
    started_ms = now_ms()
    replies = await asyncio.gather(*many, return_exceptions=True)
    assert {type(reply) for reply in replies} == {ReplyTimeoutError}
    assert now_ms() - started_ms < 2500
    assert link._channel is None


# Guards against calls that are cut off after a pause of the own process, since
# the silence of the link during the pause counts as that of its peer.
async def test_pause_of_the_own_process_does_not_end_a_link():
    started = threading.Event()
    ports = []

    async def acknowledge_later(vm, body):
        await asyncio.sleep(2)
        return Acknowledged()

    async def serve():
        server, port = await start_server(acknowledge_later)
        ports.append(port)
        started.set()
        await asyncio.sleep(4)
        await server.close()

    serving = asyncio.create_task(asyncio.to_thread(asyncio.run, serve()))
    await asyncio.to_thread(started.wait)
    link = PeerLink('near', HOST, ports[0], b'secret', HybridClock())
    await link.start()
    pending = asyncio.create_task(link.request(StatusQuery(), 5000))
    await asyncio.sleep(0.1)
    pause_process(1.2)
    assert await pending == Acknowledged()
    await link.close()
    await serving


def pause_process(seconds):
    """Block the event loop."""
    time.sleep(seconds)


# Guards against replies that a node which stops cuts off: its part in the call
# had ended, but the peer had not read all of the reply.
async def test_reply_to_a_call_is_due_until_the_peer_has_all_of_it():
    reply = CallReply(200, (), b'x' * 20_000_000, 'done', '', 0, 0, 0, 0, 0)

    async def reply_to_call(vm, body):
        return reply

    server, port = await start_server(reply_to_call)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    assert not server.count_due_replies()
    link._channel._transport.pause_reading()
    requesting = asyncio.create_task(link.request(StatusQuery(), 5000))
    await asyncio.sleep(0.5)
    assert server.count_due_replies() == 1
    link._channel._transport.resume_reading()
    assert await requesting == reply
    async with asyncio.timeout(1):
        while server.count_due_replies():
            await asyncio.sleep(0.01)
    await link.close()
    await server.close()


# Guards against work for callers that have left during a pause of the process.
async def test_pause_of_a_server_keeps_cancellations():
    cancelled = []

    async def handle(vm, body):
        if isinstance(body, CallCancel):
            cancelled.append(body.attempt_id)
        else:
            await asyncio.sleep(0.2)
        return Acknowledged()

    server, port = await start_server(handle)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    at_work = asyncio.create_task(link.request(make_call('at work'), 5000))
    await asyncio.sleep(0.1)
    await link.send(CallCancel('left'))
    pause_process(2.6)
    assert await at_work == Acknowledged()
    assert cancelled == ['left']
    await link.close()
    await server.close()


async def acknowledge_late(vm, body):
    """Reply after a time in which the link has to be pinged."""
    await asyncio.sleep(2)
    return Acknowledged()


# Guards against calls that fail after a pause of the process that waits for
# them: it took its link for dead before it read what had arrived.
@pytest.mark.parametrize('before_s', [0.5, 0.6, 0.75])
async def test_link_outlives_a_pause_of_its_own_process(before_s):
    server, port = await start_server(acknowledge_late)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    waiting = asyncio.create_task(link.request(StatusQuery(), 5000))
    await asyncio.sleep(before_s)
    time.sleep(0.95)
    assert await waiting == Acknowledged()
    await link.close()
    await server.close()


# Guards against the same on a link that was idle before the call: it had not
# been pinged when the process paused.
async def test_link_that_was_idle_outlives_a_pause_of_its_own_process():
    server, port = await start_server(acknowledge_late)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    await asyncio.sleep(0.9)
    waiting = asyncio.create_task(link.request(StatusQuery(), 5000))
    await asyncio.sleep(0.05)
    time.sleep(1.2)
    assert await waiting == Acknowledged()
    await link.close()
    await server.close()


def make_call(request_id):
    """Return a call that must run once."""
    return CallRequest(
        request_id=request_id,
        attempt_id=request_id,
        service='orders',
        route='book',
        method='POST',
        path='/',
        headers=(),
        body=b'',
        organisation='',
        importance=0,
        idempotent=False,
        timeout_ms=5000.0,
        retry_allowance=0,
        queue_limit_ms=0.0,
        notice=None,
    )


# Guards against calls at work that are cut off with their link after a pause of
# the node beside their target, and against calls that run after such a pause
# though their callers may have given them up.
async def test_pause_of_a_server_ends_no_call_at_work_and_starts_none():
    handled = []

    async def handle_call(vm, body):
        handled.append(body.request_id)
        await asyncio.sleep(0.2)
        return CallReply(200, (), b'', 'done', '', 0, 0, 0, 0, 0)

    server, port = await start_server(handle_call)
    link = PeerLink('near', HOST, port, b'secret', HybridClock())
    await link.start()
    at_work = asyncio.create_task(link.request(make_call('at work'), 5000))
    await asyncio.sleep(0.1)
    late = asyncio.create_task(link.request(make_call('late'), 5000))
    await asyncio.sleep(0)
    pause_process(2.6)
    assert (await at_work).status == 200
    assert (await late).outcome == 'not-run'
    assert handled == ['at work']
    await link.close()
    await server.close()


class PausingProtocol(asyncio.Protocol):
    """Pauses this process while its event loop handles input."""

    def data_received(self, data):
        """Block longer than a link with requests in flight may be silent."""
        time.sleep(1.5)


async def request_beside_pauses(port):
    """Send a request at each of some moments before a pause of this process."""
    replies = []
    near, far = socket.socketpair()
    transport, _ = await asyncio.get_running_loop().create_connection(
        PausingProtocol, sock=near
    )
    for moment_ms in range(0, 400, 100):
        link = PeerLink('near', HOST, port, b'secret', HybridClock())
        await link.start()
        await asyncio.sleep(moment_ms / 1000)
        requesting = asyncio.create_task(link.request(StatusQuery(), 5000))
        await asyncio.sleep(0.05)
        far.send(b'pause')
        replies += await asyncio.gather(requesting, return_exceptions=True)
        await link.close()
    transport.close()
    far.close()
    return replies


async def serve_in_thread(started):
    """Serve until the event that is returned with the port is set."""
    ended = asyncio.Event()
    server, port = await start_server(acknowledge_later)
    started.set_result((port, asyncio.get_running_loop(), ended))
    await ended.wait()
    await server.close()


async def acknowledge_later(vm, body):
    """Reply to any message after a while."""
    await asyncio.sleep(0.2)
    return Acknowledged()


# Guards against a process that waits for the processor, then takes its own
# pause for a silence of the peer, whose reply it has not read yet.
def test_pause_of_this_process_does_not_close_the_link():
    started = Future()
    with ThreadPoolExecutor() as pool:
        serving = pool.submit(asyncio.run, serve_in_thread(started))
        port, server_loop, ended = started.result(5)
        try:
            replies = uvloop.run(request_beside_pauses(port))
        finally:
            server_loop.call_soon_threadsafe(ended.set)
        serving.result(5)
    assert len(replies) == 4
    assert all(reply == Acknowledged() for reply in replies)


def test_now_ms_advances_within_one_iteration_of_uvloop():
    async def measure_blocking_sleep():
        before_ms = now_ms()
        time.sleep(0.05)
        return now_ms() - before_ms

    assert uvloop.run(measure_blocking_sleep()) >= 50
