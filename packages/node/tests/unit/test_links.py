"""The pool of links keeps a link that carries requests."""

import asyncio
import dataclasses

import pytest
from chivelead_coordination import Membership
from chivelead_node._internal.links import LinkPool
from chivelead_node._internal.silent_waits import never_give_up
from chivelead_protocol import (
    Acknowledged,
    CallCancel,
    CallRequest,
    HybridClock,
    LinkLostError,
    LinkNotOpenError,
    PeerServer,
    StatusQuery,
)
from chivelead_protocol._internal import link_server
from lib.fakes import make_member

_HOST = '127.0.0.1'
_SECRET = b'secret'
# Longer than the pool takes to open a link again after a failure.
_REQUEST_S = 2
_LARGE_BODY_BYTES = 200_000


def make_upload():
    """Return a call that is sent over a link of its own."""
    return CallRequest(
        request_id='r',
        attempt_id='a',
        service='orders',
        route='book',
        method='POST',
        path='/',
        headers=(),
        body=bytes(_LARGE_BODY_BYTES),
        organisation='',
        importance=0,
        idempotent=False,
        timeout_ms=1000.0,
        retry_allowance=0,
        queue_limit_ms=0.0,
        notice=None,
    )


@pytest.fixture
async def peer():
    """Run a peer that answers status queries after a while."""

    async def acknowledge(vm, body):
        await asyncio.sleep(_REQUEST_S)
        return Acknowledged()

    server = PeerServer('vm-far', _SECRET, HybridClock(), acknowledge)
    await server.start(_HOST, 0)
    yield server
    await server.close()


@pytest.fixture
async def pool(peer):
    """Run the pool of a node that knows the peer."""
    membership = Membership(make_member('vm-own'))
    membership.merge([make_member('vm-far', host=_HOST, peer_port=peer.port)])
    links = LinkPool(membership, _SECRET, HybridClock())
    await links.start()
    yield links
    await links.close()


# Guards against requests that are cut off since another link to the same peer,
# for an upload, could not be opened: the link that carried them was replaced.
async def test_failed_link_of_an_upload_leaves_other_requests_alone(pool, peer):
    pending = asyncio.create_task(pool.request('vm-far', StatusQuery(), 9000))
    await asyncio.sleep(0.1)
    peer._server.close()
    with pytest.raises(LinkNotOpenError):
        await pool.request('vm-far', make_upload(), 1000)
    await peer.start(_HOST, pool._membership.find('vm-far').peer_port)
    assert await pending == Acknowledged()
    assert not pool.is_failing('vm-far')


@pytest.fixture
async def deaf_peer(peer, pool, monkeypatch):
    """Return what a peer has received; it has stopped reading its first link.

    Its own silence does not end the link, as in a process that is held up.
    """
    monkeypatch.setattr(link_server, 'RECEIVE_TIMEOUT_MS', 60_000)
    received = []

    async def handle(vm, body):
        received.append(body)
        if isinstance(body, CallRequest):
            await asyncio.sleep(60)
        return Acknowledged()

    peer._message_handler = handle
    await pool.request('vm-far', StatusQuery(), 1000)
    return received


def make_read(attempt_id):
    """Return a call that may be sent again."""
    return dataclasses.replace(
        make_upload(), attempt_id=attempt_id, body=b'', idempotent=True
    )


async def wait_until(condition):
    """Poll until a condition is true."""
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.02)


# Guards against work for callers that have left while their requests waited for
# a node that was held up.
async def test_held_up_node_learns_that_a_caller_has_left(
    pool, peer, deaf_peer
):
    waiting = [
        asyncio.create_task(
            pool.request('vm-far', make_read(name), 20_000, never_give_up)
        )
        for name in ('left', 'kept')
    ]
    await wait_until(lambda: len(deaf_peer) == 3)
    channel = peer.channels()[0]
    channel._transport.pause_reading()
    await wait_until(lambda: pool.is_failing('vm-far'))
    waiting[0].cancel()
    await asyncio.wait(waiting, timeout=0.1)
    channel._transport.resume_reading()
    await wait_until(lambda: CallCancel('left') in deaf_peer)
    assert CallCancel('kept') not in deaf_peer
    waiting[1].cancel()


# Guards against nodes that get no requests since an earlier link has failed.
async def test_late_failure_of_an_earlier_link_leaves_the_next_alone(
    pool, peer, deaf_peer
):
    reading = asyncio.create_task(
        pool.request(
            'vm-far', make_read('a'), 20_000, lambda silent_ms: silent_ms > 2400
        )
    )
    await wait_until(lambda: len(deaf_peer) == 2)
    peer.channels()[0]._transport.pause_reading()
    await wait_until(lambda: pool.is_failing('vm-far'))
    await wait_until(lambda: not pool.is_failing('vm-far'))
    with pytest.raises(LinkLostError):
        await reading
    assert not pool.is_failing('vm-far')
