"""Clients on bare sockets that behave at random, and note what they saw."""

import asyncio
import contextlib
import dataclasses
import gzip
import hashlib
import random
import secrets
import socket
import zlib

from lib.loopback_proxy import cancel_all
from lib.request_soak_check import Call
from lib.request_soak_targets import (
    NOTES,
    SIZES,
    digest,
    happens,
    make_play,
    read_chunk_size,
)

# A client that has no answer by then closes the connection.
PATIENCE_S = 1.5
CONNECT_TIMEOUT_S = 1.0
_BLOCK_BYTES = 65_536
# As on Ethernet; loopback would take megabytes into its buffers.
_SEGMENT_BYTES = 1448
_SMALL_BUFFER_BYTES = 8192
SAFE_PREFIXES = frozenset(('/read/', '/bales/', '/item/'))
_SMALL_BLOCK_SIZES = (1, 300)
_BLOCK_SIZES = (1, 300, 20_000, 300_000)
_READERS = ('prompt',) * 5 + ('late', 'late', 'slow', 'leaving', 'stopped')


@dataclasses.dataclass(frozen=True)
class Upload:
    """A body that is a block sent again and again."""

    block: bytes
    size: int
    is_chunked: bool = False

    def blocks(self):
        """Yield the body in blocks."""
        for start in range(0, self.size, len(self.block)):
            yield self.block[: self.size - start]

    def digest(self):
        """Return the digest of the body."""
        hasher = hashlib.sha256()
        for block in self.blocks():
            hasher.update(block)
        return hasher.hexdigest()


class Client:
    """Send requests to the node of one entry.

    Args:
        soak: What is soaked: its history, clock and nodes.
        entry: Index of the node.
        rng: Random numbers of this client.
    """

    def __init__(self, soak, entry, rng):
        """Create a client without a connection."""
        self._soak = soak
        self._entry = entry
        self._rng = rng

    async def run_forever(self):
        """Visit the node again and again."""
        while True:
            if self._soak.is_open(self._entry):
                await self.visit(self._rng.choice(_READERS))
            await asyncio.sleep(self._rng.random() * 0.3)

    async def visit(self, reader_kind):
        """Open a connection, send some requests and close it."""
        connection = await self._connect(reader_kind)
        if connection is None:
            return
        try:
            for _ in range(self._rng.choice((1, 1, 2, 4))):
                count = self._rng.choice((1, 1, 1, 2, 4))
                sizes = SIZES if reader_kind == 'prompt' else SIZES[-2:]
                calls = [
                    self._make_call(answer_sizes=sizes) for _ in range(count)
                ]
                if not self._soak.is_open(
                    self._entry
                ) or not await connection.exchange(calls):
                    return
            await self._linger(connection)
        finally:
            connection.close()

    async def upload(self, size, is_chunked):
        """Send one large upload."""
        connection = await self._connect('prompt')
        if connection is None:
            return
        body = Upload(self._rng.randbytes(_BLOCK_BYTES), size, is_chunked)
        try:
            await connection.exchange([self._make_call('/put/', body)])
        finally:
            connection.close()

    async def probe(self, key):
        """Send a request with a key on a connection of its own."""
        connection = await self._connect('prompt')
        if connection is not None:
            call = Call(
                secrets.token_hex(8),
                self._entry,
                'GET',
                '/read/probe',
                body_digest=digest(b''),
                organisation='guest',
                key=key,
                caller_service=self._service(),
                safe=True,
            )
            try:
                await connection.exchange([(call, [], None)], close_percent=0)
            finally:
                connection.close()

    async def call(self, prefix, deadline_s):
        """Send a call of the target beside the node.

        Returns:
            Whether it succeeded.
        """
        connection = await self._connect('prompt')
        if connection is None:
            return False
        exchange = self._make_call(prefix, None, (20, 5000), _SMALL_BLOCK_SIZES)
        call = exchange[0]
        call.organisation = ''
        call.key = ''
        call.deadline_s = deadline_s
        call.habits = 'target, '
        try:
            await connection.exchange([exchange], close_percent=0)
        finally:
            connection.close()
            if self._soak.is_over:
                call.end = 'left'
        return call.status == 200

    def _service(self):
        return self._soak.nodes[self._entry].target.service

    async def _connect(self, reader_kind):
        sock = socket.socket()
        if reader_kind != 'prompt':
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES
            )
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
        sock.setblocking(False)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(
                    sock, self._address()
                )
                streams = await _open_streams(sock)
        except (OSError, TimeoutError):
            sock.close()
            return None
        return self._make_connection(streams, reader_kind)

    def _address(self):
        node = self._soak.nodes[self._entry]
        return node.ip, node.callers_port

    def _make_connection(self, streams, reader_kind):
        return Connection(self._soak, streams, reader_kind, self._rng)

    async def _linger(self, connection):
        """Keep the connection open, at times until the node is gone."""
        stay_s = self._rng.choice((0, 0, 0.5, 3, 10))
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(stay_s):
                raw = await connection.reader.read(_SMALL_BUFFER_BYTES)
                if raw:
                    self._soak.history.stray_bytes.append(raw)

    def _make_call(
        self,
        prefix=None,
        body=None,
        answer_sizes=SIZES,
        block_sizes=_BLOCK_SIZES,
        callees=(),
    ):
        """Return a call, its header lines and its body."""
        rng = self._rng
        prefix = prefix or rng.choice(('/read/', '/read/', '/book/', '/put/'))
        is_safe = prefix in SAFE_PREFIXES
        if not is_safe and body is None:
            block = rng.randbytes(rng.choice(block_sizes))
            body = Upload(block, len(block), happens(rng, 40))
        call = Call(
            secrets.token_hex(8),
            self._entry,
            'POST' if body else 'GET',
            f'{prefix}{rng.randrange(1000)}?a=%2F{rng.randrange(9)}',
            note=rng.choice(NOTES) if happens(rng, 20) else b'',
            caller_service=self._service(),
            safe=is_safe,
        )
        headers = [b'X-Play: %b' % make_play(rng, answer_sizes, callees)]
        if call.note:
            headers.append(b'X-Note: %b' % call.note)
        if body and body.size == len(body.block) and happens(rng, 15):
            call.encoding = rng.choice(('gzip', 'deflate', 'br'))
            body = _encode(call.encoding, body)
            headers.append(b'Content-Encoding: %b' % call.encoding.encode())
        call.body_digest = body.digest() if body else digest(b'')
        return call, headers, body

    def _make_small_call(self):
        """Return a call whose request fits into one segment."""
        return self._make_call(
            prefix=self._rng.choice(self._soak.prefixes),
            answer_sizes=(20, 5000),
            block_sizes=_SMALL_BLOCK_SIZES,
            callees=self._soak.callees,
        )


def _encode(encoding, body):
    """Return an encoded body; for some encodings it cannot be decoded."""
    block = body.block
    if encoding == 'gzip':
        block = gzip.compress(block, 1)
    if encoding == 'deflate':
        block = zlib.compress(block, 1)
    return Upload(block, len(block), body.is_chunked)


class _Reader(asyncio.StreamReader):
    """Keeps what arrived before a reset, as the kernel does."""

    def __init__(self):
        super().__init__(limit=_SMALL_BUFFER_BYTES)
        self.reset = None

    def set_exception(self, exc):
        """Note a reset."""
        self.reset = exc
        self.feed_eof()


async def _open_streams(sock):
    loop = asyncio.get_running_loop()
    reader = _Reader()
    transport, protocol = await loop.create_connection(
        lambda: asyncio.StreamReaderProtocol(reader), sock=sock
    )
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class Connection:
    """A connection of a client; how it reads depends on its kind."""

    def __init__(self, soak, streams, reader_kind, rng):
        """Wrap open streams."""
        self.reader = streams[0]
        self._writer = streams[1]
        self._writer.transport.set_write_buffer_limits(0)
        self._soak = soak
        self._reader_kind = reader_kind
        self._rng = rng
        self._connected_s = soak.now_s()
        self._last_status = 0
        self._has_head = asyncio.Event()

    def close(self):
        """Close the connection at once."""
        self._writer.transport.abort()

    async def exchange(self, exchanges, close_percent=10):
        """Send requests without a pause and read their answers.

        Args:
            exchanges: A call, its header lines and its body for each.
            close_percent: Chance to close the sending half after them.

        Returns:
            Whether the connection can be used again.
        """
        calls = [call for call, _, _ in exchanges]
        is_half_closed = happens(self._rng, close_percent)
        for index, call in enumerate(calls):
            call.behind = tuple(each.request_id for each in calls[:index])
            call.closes_sending_half = is_half_closed
            call.connected_s = self._connected_s
            call.is_read_at_once = self._reader_kind == 'prompt'
            call.habits = (
                f'{call.habits}{self._reader_kind}, {index + 1} of '
                f'{len(calls)}, closes its sending half: {is_half_closed}'
            )
        sending = asyncio.create_task(self._send(exchanges, is_half_closed))
        is_kept = True
        try:
            for index, call in enumerate(calls):
                is_kept = is_kept and await self._read(call, index)
        except asyncio.CancelledError:
            for call in calls:
                call.end = 'left'
            raise
        finally:
            await cancel_all({sending})
            self._end(calls)
        # What follows an unfinished body would be taken for its rest.
        is_whole = all(call.whole_s is not None for call in calls)
        return is_kept and is_whole and not is_half_closed

    def _end(self, calls):
        """Note the end of calls behind the last that had an answer."""
        # What is behind one that the client no longer waits for is not cut.
        has_left = any(call.end in {'late', 'left'} for call in calls)
        for call in calls:
            if call.end == 'open':
                call.end = 'left' if has_left else 'cut'
                call.ended_s = self._soak.now_s()

    async def _send(self, exchanges, is_half_closed):
        is_in_pieces = happens(self._rng, 20)
        with contextlib.suppress(OSError):
            for exchange in exchanges:
                await self._pause_before_sending(exchange[0])
                self._soak.history.calls[exchange[0].request_id] = exchange[0]
                exchange[0].sent_s = self._soak.now_s()
                if await self._send_request(exchange, is_in_pieces):
                    exchange[0].whole_s = self._soak.now_s()
            if is_half_closed:
                self._writer.write_eof()

    async def _pause_before_sending(self, call):
        """Wait before a request."""

    async def _send_request(self, exchange, is_in_pieces):
        """Send a request; return whether it was sent whole."""
        for raw in serialize(*exchange):
            await self._send_bytes(raw, is_in_pieces)
        return True

    async def _send_bytes(self, raw, is_in_pieces):
        if is_in_pieces and len(raw) < _BLOCK_BYTES:
            middle = self._rng.randrange(len(raw))
            self._writer.write(raw[:middle])
            await self._writer.drain()
            await asyncio.sleep(self._rng.random() * 0.1)
            raw = raw[middle:]
        self._writer.write(raw)
        await self._writer.drain()

    async def _read(self, call, index):
        """Read an answer; return whether the connection can be used again."""
        wait_s = call.deadline_s + PATIENCE_S
        try:
            async with asyncio.timeout(wait_s):
                is_kept = await self._read_answer(call, index)
        except TimeoutError:
            is_slow = index or self._reader_kind != 'prompt'
            call.end = 'left' if is_slow else 'late'
            is_kept = False
        except (OSError, EOFError):
            call.end = 'cut'
            is_kept = False
        call.ended_s = self._soak.now_s()
        return is_kept

    async def _read_answer(self, call, index):
        if not index:
            await self._pause_before_reading()
        status, headers = await self._read_head()
        if self._reader_kind in {'leaving', 'stopped'}:
            await asyncio.sleep(self._rng.random() * 3)
            call.end = 'left'
            return False
        call.stamp = headers.get(b'x-server-stamp', b'').decode()
        call.answer_note = headers.get(b'x-note', b'')
        call.answer_digest = await self._read_body(headers)
        call.status = status
        call.end = 'answered'
        return b'close' not in headers.get(b'connection', b'').lower()

    async def _pause_before_reading(self):
        if self._reader_kind == 'late':
            await asyncio.sleep(self._rng.random() * 4)

    async def _read_head(self):
        status = 100
        while status < 200:
            head = await self.reader.readuntil(b'\r\n\r\n')
            start, *lines = head[:-4].split(b'\r\n')
            status = int(start.split(b' ')[1])
            self._last_status = status
            self._has_head.set()
        headers = {}
        for line in lines:
            name, _, field = line.partition(b':')
            headers[name.lower()] = field.strip()
        return status, headers

    async def _read_body(self, headers):
        hasher = hashlib.sha256()
        if headers.get(b'transfer-encoding', b'').lower() == b'chunked':
            while size := await read_chunk_size(self.reader):
                await self._read_part(size, hasher)
                await self.reader.readline()
            await self.reader.readline()
            return hasher.hexdigest()
        known_bytes = headers.get(b'content-length')
        if known_bytes is not None:
            await self._read_part(int(known_bytes), hasher)
            return hasher.hexdigest()
        while chunk := await self._read_some(_BLOCK_BYTES):
            hasher.update(chunk)
        # Only a reset tells that an answer without a length is cut.
        if self.reader.reset is not None:
            raise EOFError('the answer is incomplete')
        return hasher.hexdigest()

    async def _read_part(self, size, hasher):
        while size:
            chunk = await self._read_some(size)
            if not chunk:
                raise EOFError('the answer is incomplete')
            hasher.update(chunk)
            size -= len(chunk)

    async def _read_some(self, most_bytes):
        if self._reader_kind == 'slow':
            await asyncio.sleep(0.02)
            return await self.reader.read(min(most_bytes, 2048))
        return await self.reader.read(min(most_bytes, _BLOCK_BYTES))


def header_fields(call, headers):
    """Return the header of a request as names and values."""
    fields = {
        'Host': 'shop.example',
        'X-Request-Id': call.request_id,
        'X-Deadline-Ms': f'{call.deadline_s * 1000:.0f}',
    }
    if call.key:
        fields['Authorization'] = f'Token {call.key}'
    for line in headers:
        name, _, field = line.decode('latin-1').partition(': ')
        fields[name] = field
    return fields


def serialize(call, headers, body):
    """Yield the bytes of a request."""
    fields = header_fields(call, headers)
    lines = [
        f'{call.method} {call.path} HTTP/1.1'.encode(),
        *(
            f'{name}: {field}'.encode('latin-1')
            for name, field in fields.items()
        ),
    ]
    if body is None:
        yield b'\r\n'.join((*lines, b'', b''))
        return
    if body.is_chunked:
        lines.append(b'Transfer-Encoding: chunked')
    else:
        lines.append(b'Content-Length: %d' % body.size)
    yield b'\r\n'.join((*lines, b'', b''))
    for block in body.blocks():
        if body.is_chunked:
            block = b'%x\r\n%b\r\n' % (len(block), block)
        yield block
    if body.is_chunked:
        yield b'0\r\n\r\n'


def new_client(soak, entry, seed):
    """Return a client with random numbers of its own."""
    return Client(soak, entry, random.Random(seed))
