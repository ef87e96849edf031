"""Tests of node processes: large bodies at once stay within the memory."""

import asyncio
import collections
import contextlib
import secrets

import pytest
from lib.node_process import RawClient, running_processes

_ROUTES = (
    ('/upload/', 'stock', 'upload', {'timeout_ms': 8000}),
    ('/book/', 'orders', 'unsafe', {'timeout_ms': 5000}),
    ('/read/', 'stock', 'safe', {'timeout_ms': 5000}),
)
_BODY_BYTES = 67_108_864
_BLOCK = secrets.token_bytes(65_536)
_CHUNKED = 'Transfer-Encoding: chunked'
_MEMORY_BOUND_MB = 256
_UPLOAD_TIME_S = 4


@pytest.fixture
async def fleet():
    """Run two nodes, one beside each target, with bodies up to 64 MiB."""
    async with running_processes(
        'stock', 'orders', routes=_ROUTES, body_limit_bytes=_BODY_BYTES
    ) as running:
        for target in running.targets:
            target.keeps_bodies = False
        yield running


class UploadClient(RawClient):
    """A client that sends one large body and reads the response meanwhile."""

    async def send_head(self, length_field):
        """Send the head of an upload."""
        await self.send(
            'POST /upload/x HTTP/1.1\r\nHost: shop.example\r\n'
            f'X-Request-Id: {secrets.token_hex(8)}\r\nX-Deadline-Ms: 8000\r\n'
            f'Authorization: Token mill-key\r\n{length_field}\r\n\r\n'.encode()
        )

    async def upload(self, size, *, in_chunks):
        """Return the status; None if the connection ends without one."""
        sending = asyncio.create_task(self._send_upload(size, in_chunks))
        try:
            return (await self.read_response(timeout_s=15))[0]
        except (EOFError, OSError):
            return None
        finally:
            await self._stop(sending)

    async def _stop(self, sending):
        sending.cancel()
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await sending
        self.close()

    async def _send_upload(self, size, in_chunks):
        await self.send_head(
            _CHUNKED if in_chunks else f'Content-Length: {size}'
        )
        for _ in range(size // len(_BLOCK)):
            head, tail = (b'10000\r\n', b'\r\n') if in_chunks else (b'', b'')
            await self.send(head + _BLOCK + tail)
        if in_chunks:
            await self.send(b'0\r\n\r\n')


async def upload(node, in_chunks, size=_BODY_BYTES):
    """Upload a body to a node over a new connection; return the status."""
    client = await UploadClient.connect(node.ip, node.callers_port)
    return await client.upload(size, in_chunks=in_chunks)


async def upload_repeatedly(node, in_chunks, statuses):
    """Upload one body after another for some seconds."""
    end_s = asyncio.get_running_loop().time() + _UPLOAD_TIME_S
    while asyncio.get_running_loop().time() < end_s:
        statuses.append(await upload(node, in_chunks))
        await asyncio.sleep(0.2)


async def watch_memory(nodes, peaks_mb):
    """Note the peak of each node's memory."""
    while True:
        for node in nodes:
            if node.is_running():
                peaks_mb[node.vm] = max(peaks_mb[node.vm], node.memory_mb())
        await asyncio.sleep(0.005)


async def book_repeatedly(fleet, statuses):
    """Send small requests on a kept connection."""
    client = await fleet.connect(0)
    while True:
        await client.send_request('POST', '/book/x', b'one transporter')
        statuses.append((await client.read_response())[0])


# Guards against uploads that are each within the limit on a body but exhaust
# the memory of a node together, and against small requests that suffer.
async def test_large_uploads_at_once_stay_within_the_memory(fleet):
    peaks_mb = dict.fromkeys((node.vm for node in fleet.nodes), 0)
    booking_statuses = []
    background = (
        asyncio.create_task(watch_memory(fleet.nodes, peaks_mb)),
        asyncio.create_task(book_repeatedly(fleet, booking_statuses)),
    )
    statuses = []
    await asyncio.gather(
        *(
            upload_repeatedly(fleet.nodes[index % 2], index % 4 < 2, statuses)
            for index in range(32)
        )
    )
    for task in background:
        task.cancel()
    print(peaks_mb, collections.Counter(statuses), len(booking_statuses))
    assert max(peaks_mb.values()) < _MEMORY_BOUND_MB
    assert set(statuses) <= {200, 503}
    assert 200 in statuses
    assert set(booking_statuses) == {200}
    assert await upload(fleet.nodes[1], in_chunks=False) == 200
    for node in fleet.nodes:
        await wait_until_empty(fleet, node)


async def wait_until_empty(fleet, node):
    """Wait until a node holds no body."""
    async with asyncio.timeout(3):
        while await fleet.level(node, 'body_bytes'):
            await asyncio.sleep(0.1)


async def start_upload(node, length_field, body):
    """Send the start of an upload; return the client."""
    client = await UploadClient.connect(node.ip, node.callers_port)
    await client.send_head(length_field)
    await client.send(body)
    return client


# Guards against bytes that stay counted, or callers without a clear status,
# when a body does not come as announced.
async def test_bodies_that_do_not_come_as_announced_leave_nothing(fleet):
    node = fleet.nodes[0]
    chunk = b'10000\r\n%b\r\n' % _BLOCK
    stopped = [
        await start_upload(node, 'Content-Length: 1000000', _BLOCK),
        await start_upload(node, _CHUNKED, chunk),
    ]
    too_large = await start_upload(
        node, f'Content-Length: {_BODY_BYTES + 1}', _BLOCK
    )
    assert (await too_large.read_response())[0] == 413
    assert await upload(node, True, _BODY_BYTES + len(_BLOCK)) in {413, 503}
    gone = [
        await start_upload(node, 'Content-Length: 1000000', _BLOCK),
        await start_upload(node, _CHUNKED, chunk),
    ]
    async with asyncio.timeout(3):
        while await fleet.level(node, 'body_bytes') < 2_000_000:
            await asyncio.sleep(0.1)
    for client in gone:
        client.close()
    for client in stopped:
        assert (await client.read_response(timeout_s=12))[0] == 408
        client.close()
    await wait_until_empty(fleet, node)


# Guards against answers that exhaust the memory when callers do not read them.
async def test_large_answers_that_nobody_reads_stay_within_the_memory(fleet):
    fleet.targets[0].response_size_bytes = 20_000_000
    peaks_mb = dict.fromkeys((node.vm for node in fleet.nodes), 0)
    watching = asyncio.create_task(watch_memory(fleet.nodes, peaks_mb))
    clients = [
        await fleet.connect(index % 2, receive_buffer_bytes=8192)
        for index in range(32)
    ]
    for client in clients:
        await client.send_request('GET', '/read/x')
    await asyncio.sleep(4)
    booking = await fleet.connect(0)
    await booking.send_request('POST', '/book/x')
    assert (await booking.read_response())[0] == 200
    for client in clients:
        client.close()
    for node in fleet.nodes:
        await wait_until_empty(fleet, node)
    watching.cancel()
    print(peaks_mb)
    assert max(peaks_mb.values()) < _MEMORY_BOUND_MB
