"""Targets on bare sockets, which answer as each request tells them to."""

import asyncio
import contextlib
import dataclasses
import hashlib
import itertools
import json
import random
import secrets

from lib.fake_platform import HOST, free_ports
from lib.loopback_proxy import LoopbackProxy, cancel_all, reset_connection
from lib.request_soak_check import Run

NOTES = (b'', b'plain', 'caf\u00e9'.encode('latin-1'))
SIZES = (0, 20, 5_000, 60_000, 200_000)
_SLOTS = 64
_CHUNK_BYTES = 65_536
_PIECE_S = 0.03
_CALLING_PERCENT = 25


@dataclasses.dataclass(frozen=True)
class Play:
    """How a target answers.

    ``trouble`` is ``early`` (before it has read the body), ``break`` (it ends
    in the middle), ``error`` or nothing.  ``calls`` are the routes that it
    calls before it answers.
    """

    size: int = 20
    delay_ms: int = 0
    form: str = 'length'
    pieces: int = 1
    trouble: str = ''
    note: int = 0
    calls: tuple[str, ...] = ()

    @classmethod
    def from_header(cls, raw):
        """Return the play that a header tells."""
        return cls(**json.loads(raw))


def happens(rng, percent):
    """Return whether an event of a probability in percent happens."""
    return rng.randrange(100) < percent


def make_play(rng, sizes, callees=()):
    """Return the header value that tells a target how to answer."""
    calls = ()
    if callees and happens(rng, _CALLING_PERCENT):
        calls = rng.sample(callees, rng.randint(1, len(callees)))
    play = Play(
        rng.choice(sizes),
        rng.choice((0, 0, 20, 200, 800)),
        rng.choice(('length', 'length', 'chunked', 'close')),
        rng.choice((1, 1, 3, 8)),
        rng.choice(('',) * 10 + ('early', 'break', 'error')),
        rng.choice((0,) * 8 + (1, 1, 2)),
        calls,
    )
    return json.dumps(dataclasses.asdict(play)).encode()


class RawTarget:
    """A target behind a loopback proxy."""

    def __init__(self, service, index, soak):
        """Choose ports and a target ID."""
        self.service = service
        self.target_id = f'i-{secrets.token_hex(4)}'
        self._own_port = free_ports(1)[0]
        self.proxy = LoopbackProxy(self._own_port)
        self.port = self.proxy.port
        self._index = index
        self._soak = soak
        self._server = None
        self._tasks = set()
        self._sequence = itertools.count(1)

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self._own_port
        )
        await self.proxy.start()

    async def close(self):
        """Stop listening."""
        self._server.close()
        await self.proxy.close()
        await cancel_all(self._tasks)

    def make_announcement(self):
        """Return an announcement."""
        return {
            'address': f'{HOST}:{self.port}',
            'born': 1000,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': 'z1',
                'slots': _SLOTS,
            },
            'status': {
                'state': 'ready',
                'seq': next(self._sequence),
                'warmup_left_ms': 0,
            },
        }

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        # A task group wraps the errors of an early answer.
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, EOFError, ExceptionGroup),
        ):
            is_kept = True
            while is_kept:
                is_kept = await self._serve_request(reader, writer)

    async def _serve_request(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        start, *lines = head[:-4].split(b'\r\n')
        headers = {}
        for line in lines:
            name, _, field = line.partition(b':')
            headers[name.lower()] = field.strip()
        method, path, _ = start.decode().split(' ')
        if path == '/health':
            line = f'X-Instance-Id: {self.target_id}'.encode()
            writer.write(_head(200, [line], 0))
            return True
        run = Run(
            headers.get(b'x-request-id', b'').decode(),
            self._index,
            method,
            path,
            note=headers.get(b'x-note', b''),
            encoding=headers.get(b'content-encoding', b'').decode(),
            organisation=headers.get(b'x-tenant', b'').decode(),
            caller_service=headers.get(b'x-caller-service', b'').decode(),
            key_shown=b'authorization' in headers,
            stamp=secrets.token_hex(6),
        )
        play = Play.from_header(headers.get(b'x-play', b'{}'))
        end_s = self._soak.now_s() + int(headers[b'x-deadline-ms']) / 1000
        if play.trouble == 'early':
            self._soak.history.runs.append(run)
            async with asyncio.TaskGroup() as group:
                reading = group.create_task(_read_body(reader, headers))
                answering = group.create_task(
                    self._answer(writer, run, play, end_s)
                )
            run.body_digest = reading.result()
            return answering.result()
        run.body_digest = await _read_body(reader, headers)
        self._soak.history.runs.append(run)
        return await self._answer(writer, run, play, end_s)

    async def _make_calls(self, prefixes, end_s):
        """Call routes through the own node; return whether all succeeded."""
        for prefix in prefixes:
            wait_s = end_s - self._soak.now_s()
            if wait_s <= 0 or not await self._soak.call(
                self._index, prefix, wait_s
            ):
                return False
        return True

    async def _answer(self, writer, run, play, end_s):
        """Send an answer; return whether the connection is kept."""
        await asyncio.sleep(play.delay_ms / 1000)
        has_failed = not await self._make_calls(play.calls, end_s)
        body = random.Random(run.stamp).randbytes(play.size)
        run.status = 500 if has_failed or play.trouble == 'error' else 200
        run.answer_note = NOTES[play.note]
        run.answer_digest = digest(body)
        lines = [
            f'X-Request-Id: {run.request_id}'.encode(),
            f'X-Server-Stamp: {run.stamp}'.encode(),
            f'X-Instance-Load: 1,0,{_SLOTS}'.encode(),
        ]
        if run.answer_note:
            lines.append(b'X-Note: %b' % run.answer_note)
        if play.form == 'close':
            lines.append(b'Connection: close')
        known_bytes = len(body) if play.form == 'length' else None
        is_chunked = play.form == 'chunked'
        writer.write(_head(run.status, lines, known_bytes, is_chunked))
        step = max(1, -(-len(body) // play.pieces))
        for start in range(0, len(body), step):
            if play.trouble == 'break' and start:
                run.broke_off = True
                # Only a reset tells that an answer without a length is cut.
                reset_connection(writer)
                return False
            writer.write(_frame(body[start : start + step], is_chunked))
            await writer.drain()
            if play.pieces > 1:
                await asyncio.sleep(_PIECE_S)
        if is_chunked:
            writer.write(_frame(b'', is_chunked))
        await writer.drain()
        run.done_s = self._soak.now_s()
        return play.form != 'close'


def digest(body):
    """Return a digest of bytes."""
    return hashlib.sha256(body).hexdigest()


async def read_chunk_size(reader):
    """Return the size of the next chunk of a body."""
    line = await reader.readuntil(b'\r\n')
    return int(line.partition(b';')[0], 16)


async def _read_body(reader, headers):
    hasher = hashlib.sha256()
    if headers.get(b'transfer-encoding', b'').lower() == b'chunked':
        while size := await read_chunk_size(reader):
            await _read_part(reader, size, hasher)
            await reader.readline()
        await reader.readline()
    else:
        size = int(headers.get(b'content-length', b'0'))
        await _read_part(reader, size, hasher)
    return hasher.hexdigest()


async def _read_part(reader, size, hasher):
    while size:
        chunk = await reader.read(min(size, _CHUNK_BYTES))
        if not chunk:
            raise EOFError('the body is incomplete')
        hasher.update(chunk)
        size -= len(chunk)


def _frame(piece, is_chunked):
    return b'%x\r\n%b\r\n' % (len(piece), piece) if is_chunked else piece


def _head(status, lines, known_bytes, is_chunked=False):
    lines = [b'HTTP/1.1 %d Status' % status, *lines]
    if known_bytes is not None:
        lines.append(b'Content-Length: %d' % known_bytes)
    if is_chunked:
        lines.append(b'Transfer-Encoding: chunked')
    return b'\r\n'.join((*lines, b'', b''))
