"""Processes that send bytes without end, and what nodes hold meanwhile."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import secrets
import time

from lib.fake_platform import HOST, FakeTarget
from lib.node_process import RawClient

BLOCK = b'x' * 65_536
CHUNK = b''.join((b'10000\r\n', BLOCK, b'\r\n'))
TINY_CHUNKS = b'2\r\nxy\r\n' * 9000
HEADER_LINES = b''.join((b'X-Filler: ', b'x' * 8000, b'\r\n')) * 8
UPLOAD_ROUTES = (
    ('/upload/', 'stock', 'upload', {'timeout_ms': 8000}),
    ('/book/', 'orders', 'unsafe', {'timeout_ms': 5000}),
    ('/read/', 'stock', 'safe', {'timeout_ms': 5000}),
)
# A process of a node may have 300 MB.
MEMORY_BOUND_MB = 256
_SAMPLE_PERIOD_S = 0.1


@dataclasses.dataclass(frozen=True)
class EndlessBytes:
    """What is sent: once the start, then one block again and again."""

    start: bytes
    block: bytes


def make_request_head(method, path, *fields, end=b''):
    """Return the head of a request without its last empty line.

    Args:
        method: HTTP method.
        path: Path.
        fields: Further lines.
        end: Bytes that follow.
    """
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        f'X-Request-Id: {secrets.token_hex(8)}',
        'X-Deadline-Ms: 5000',
        'Authorization: Token mill-key',
        *fields,
    )
    return b'\r\n'.join([*(line.encode() for line in lines), end])


def make_response_head(*fields, status='200 OK', request_id='', end=b''):
    """Return the same of a response."""
    lines = (
        f'HTTP/1.1 {status}',
        f'X-Request-Id: {request_id}',
        'X-Server-Stamp: stamp',
        *fields,
    )
    return b'\r\n'.join([*(line.encode() for line in lines), end])


async def send_forever(host, port, endless):
    """Send until the server closes the connection, then on a new one."""
    while True:
        with contextlib.suppress(OSError):
            client = await RawClient.connect(host, port)
            try:
                await client.send(endless.start)
                while True:
                    await client.send(endless.block)
                    # The socket may take everything at once.
                    await asyncio.sleep(0)
            finally:
                client.close()
        await asyncio.sleep(0.001)


async def write_forever(writer, endless):
    """Write until the reader closes the connection."""
    with contextlib.suppress(OSError):
        writer.write(endless.start)
        while not writer.transport.is_closing():
            writer.write(endless.block)
            await writer.drain()
            # The socket may take everything at once.
            await asyncio.sleep(0)


async def _discard(reader):
    is_open = True
    while is_open:
        is_open = bool(await reader.read(len(BLOCK)))


async def call_forever(host, port, path):
    """Send requests, each on a new connection, and discard the responses."""
    request = make_request_head('GET', path, 'Connection: close', end=b'\r\n')
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(request)
                await _discard(reader)
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.001)


class EndlessTarget(FakeTarget):
    """A target that answers with bytes without end.

    Args:
        service: Service of the target.
        make_bytes: Takes the request ID; returns the bytes of the answer.
        answers_health: Whether health probes get a sound answer.
    """

    def __init__(self, service, make_bytes, *, answers_health=True):
        """Create a target that is not listening."""
        super().__init__(service)
        self._make_bytes = make_bytes
        self._answers_health = answers_health
        self._server = None
        self._connections = set()

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def close(self):
        """Stop listening; end all connections."""
        self._server.close()
        for writer in tuple(self._connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._respond(head.decode('latin-1'), writer)
        self._connections.discard(writer)
        writer.close()

    async def _respond(self, head, writer):
        lines = head.split('\r\n')
        if self._answers_health and lines[0].startswith('GET /health'):
            writer.write(
                b'HTTP/1.1 200 OK\r\nX-Instance-Load: 0,0,4\r\n'
                + f'X-Instance-Id: {self.target_id}\r\n'.encode()
                + b'Content-Length: 0\r\n\r\n'
            )
            return
        fields = dict(
            line.lower().split(': ', maxsplit=1) for line in lines[1:-2]
        )
        request_id = fields.get('x-request-id', '')
        await write_forever(writer, self._make_bytes(request_id))


class MemoryPeaks:
    """The largest memory of each node process, as the platform counts it.

    Bytes that the kernel holds for the process are part of it.
    """

    def __init__(self, nodes):
        """Watch nodes that are running."""
        self.unread_peaks_mb = dict.fromkeys((node.vm for node in nodes), 0)
        self.peaks_mb = dict.fromkeys((node.vm for node in nodes), 0)
        self._nodes = nodes
        self._watching = None

    async def __aenter__(self):
        """Start to watch."""
        self._watching = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *_):
        """Stop watching."""
        self._watching.cancel()

    async def _watch(self):
        while True:
            for node in self._nodes:
                unread_mb = node.unread_mb()
                self.unread_peaks_mb[node.vm] = max(
                    self.unread_peaks_mb[node.vm], unread_mb
                )
                self.peaks_mb[node.vm] = max(
                    self.peaks_mb[node.vm], node.memory_mb() + unread_mb
                )
            await asyncio.sleep(_SAMPLE_PERIOD_S)


class BookingClient:
    """Sends bookings on a kept connection and counts what it gets."""

    def __init__(self, fleet, index):
        """Choose the node."""
        self.statuses = []
        self.cut_off_count = 0
        self._fleet = fleet
        self._index = index

    async def run(self, duration_s):
        """Send one booking after the other."""
        end_s = time.monotonic() + duration_s
        client = await self._fleet.connect(self._index)
        while time.monotonic() < end_s:
            await client.send_request('POST', '/book/x')
            try:
                self.statuses.append((await client.read_response())[0])
            except (EOFError, OSError):
                self.cut_off_count += 1
                client = await self._fleet.connect(self._index)
        client.close()


async def check_others_beside(fleet, harmful, duration_s):
    """Send bookings while tasks that a list names harm the first node."""
    bookings = BookingClient(fleet, 0)
    tasks = [asyncio.create_task(task) for task in harmful]
    async with MemoryPeaks(fleet.nodes) as memory:
        await bookings.run(duration_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    print(
        memory.peaks_mb,
        memory.unread_peaks_mb,
        len(bookings.statuses),
        bookings.cut_off_count,
    )
    assert all(node.is_running() for node in fleet.nodes)
    assert max(memory.peaks_mb.values()) < MEMORY_BOUND_MB
    assert bookings.cut_off_count == 0
    assert set(bookings.statuses) == {200}


def make_page(prefix, numbers):
    """Return a page of large entries that says that more follow."""
    return {
        'items': [
            {
                'key': f'{prefix}{next(numbers):09}',
                'value': 'eHh4' * 500,
                'revision': 3,
                'create_revision': 3,
                'lease': 0,
            }
            for _ in range(400)
        ],
        'has_more': True,
        'store_revision': 7,
    }


class EndlessStoreReplies:
    """Replies of a sick store, for ``FakePlatformStore.override_replies``.

    Args:
        endless: Bytes that follow any call, or None for pages without end.
    """

    def __init__(self, endless):
        """Create replies for any number of calls."""
        self._endless = endless
        self._numbers = itertools.count()

    async def reply(self, request):
        """Write the reply to a call to its connection."""
        transport = request.transport
        if self._endless is None:
            page = json.dumps(
                make_page(request.query.get('prefix', 'x/'), self._numbers)
            ).encode()
            transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
                + f'Content-Length: {len(page)}\r\n\r\n'.encode()
                + page
            )
            # The connection is used for one call only.
            await asyncio.sleep(0.2)
            transport.abort()
            return
        transport.write(self._endless.start)
        while not transport.is_closing():
            transport.write(self._endless.block)
            while transport.get_write_buffer_size() > len(BLOCK):
                await asyncio.sleep(0.001)
                if transport.is_closing():
                    return
            await asyncio.sleep(0)
