"""What the scripts of this review share.

It starts the node processes with the command of the deploy file, with the
project's own stand-ins of the store (tests/lib), and it records what was
sent, answered and run.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import secrets
import socket
import struct
import sys
import time

from lib.fake_platform import HOST, free_ports
from lib.node_process import ProcessFleet, RawClient

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.5


class Record:
    """Lines of what happened, with seconds since the start."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / 'record.txt'
        self._lines = []
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def add(self, text, at=None):
        moment = self.now() if at is None else at
        self._lines.append((moment, text))

    def write(self):
        lines = sorted(self._lines, key=lambda line: line[0])
        self._path.write_text(
            ''.join(f'{moment:8.3f} {text}\n' for moment, text in lines)
        )


def now_ms():
    """Return the Unix time in milliseconds."""
    return int(time.time() * 1000)


class Instance:
    """An application instance as PROTOCOL.md describes it.

    It runs each request for ``work_s``, says its load, answers 421 to a
    request for another instance, and names its leaving in all its answers
    once it leaves.
    """

    def __init__(
        self, service, record, name, work_s=0.1, slots=8, slow_work_s=None
    ):
        self.service = service
        self.record = record
        self.name = name
        self.work_s = work_s
        # An instance that has just started is slow for some seconds.
        self.slow_work_s = slow_work_s or work_s
        self.slots = slots
        self.target_id = f'i-{secrets.token_hex(4)}'
        self.port = free_ports(1)[0]
        self.started_ms = now_ms()
        self.is_leaving = False
        self.accepts_heartbeats = True
        # (seconds, request id) of each request that reached it.
        self.arrivals = []
        self._sequence = itertools.count(1)
        self._server = None
        self._writers = set()
        self._running = 0
        self._run = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True
        )

    async def close(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            sock = writer.get_extra_info('socket')
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
            writer.transport.abort()
        self._writers.clear()

    async def start_again(self):
        """Start under the same id at the same address; nothing is known."""
        self.started_ms = now_ms()
        self._sequence = itertools.count(1)
        self._run += 1
        self._running = 0
        self.is_leaving = False
        self.work_s = self.slow_work_s
        await self.start()

    def make_announcement(self, warmup_left_ms=0):
        return {
            'address': f'{HOST}:{self.port}',
            'born': self.started_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': 'z1',
                'slots': self.slots,
            },
            'status': {
                'state': 'ready',
                'seq': next(self._sequence),
                'warmup_left_ms': warmup_left_ms,
            },
        }

    async def _serve(self, reader, writer):
        run = self._run
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer, run):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer, run):
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').strip().split('\r\n')
        method, path, _ = first.split(' ')
        headers = dict(line.lower().split(': ', 1) for line in lines)
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        request_id = headers.get('x-request-id', '')
        if path == '/health':
            status = 503 if self.is_leaving else 200
            await self._answer(
                writer, status, b'', {'X-Instance-Id': self.target_id}
            )
            return True
        expected = headers.get('x-expect-instance')
        if expected is not None and expected != self.target_id:
            await self._answer(
                writer,
                421,
                b'',
                {'X-Request-Id': request_id, 'X-Not-Executed': '1'},
            )
            return True
        self.arrivals.append((self.record.now(), request_id))
        self.record.add(
            f'{self.name} (start {self._run + 1}) gets {method} {path} '
            f'{request_id}'
        )
        self._running += 1
        await asyncio.sleep(self.work_s)
        if run != self._run:
            return False
        self._running -= 1
        await self._answer(
            writer,
            200,
            f'{self.service} {path} {len(body)}'.encode(),
            {
                'X-Request-Id': request_id,
                'X-Server-Stamp': f'{self.target_id}-{request_id}',
                'X-Instance-Load': f'{self._running},0,{self.slots}',
            },
        )
        return True

    async def _answer(self, writer, status, body, headers):
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        lines = [f'HTTP/1.1 {status} X']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        writer.write('\r\n'.join(lines).encode() + body)
        await writer.drain()


class ReviewFleet(ProcessFleet):
    """Node processes whose instances announce themselves when they may."""

    def __init__(self, record, *services, **instance_options):
        self.record = record
        counters = {}

        def make_instance(service, index):
            counters[index] = service
            return Instance(
                service, record, f'instance-{index}', **instance_options
            )

        super().__init__(*services, make_target=make_instance)

    async def call_control_api(self, index, operation, body=None, note=''):
        """Call the control API of a node for its instance; return status."""
        node = self.nodes[index]
        instance = node.target
        sent = self.record.now()
        async with self._session.post(
            f'http://{node.ip}:{node.announcements_port}/api/rpc',
            params={'call': operation, 'of': instance.target_id},
            json=body,
        ) as response:
            await response.read()
            self.record.add(
                f'{instance.name}: {operation} {note} sent at {sent:.3f}, '
                f'acknowledged with {response.status}'
            )
            return response.status

    async def _announce_forever(self):
        while True:
            for node in self.nodes:
                if node.target.accepts_heartbeats:
                    await self._announce(node)
            await asyncio.sleep(HEARTBEAT_S)

    async def _announce(self, node):
        # A node that has not started yet refuses the connection.
        with contextlib.suppress(Exception):
            async with asyncio.timeout(1):
                async with self._session.post(
                    f'http://{node.ip}:{node.announcements_port}/api/rpc',
                    params={
                        'call': 'instances.heartbeat',
                        'of': node.target.target_id,
                    },
                    json=node.target.make_announcement(),
                ) as response:
                    await response.read()


class Client:
    """Sends one request after the other at a node and records them."""

    def __init__(self, fleet, index, path, pause_s, method='GET'):
        self._fleet = fleet
        self._index = index
        self._path = path
        self._method = method
        self._pause_s = pause_s
        self.sent = {}
        self.statuses = {}

    async def run(self):
        record = self._fleet.record
        numbers = itertools.count()
        client = None
        while True:
            try:
                if client is None:
                    client = await self._fleet.connect(self._index)
                path = f'{self._path}{self._index}-{next(numbers)}'
                sent = record.now()
                request_id = await client.send_request(self._method, path)
                self.sent[request_id] = sent
                record.add(
                    f'client-{self._index} sends {self._method} {path} {request_id}'
                )
                status, _ = await client.read_response()
                self.statuses[request_id] = status
                record.add(f'client-{self._index} gets {status} {request_id}')
                if client.last_headers.get('connection') == 'close':
                    client.close()
                    client = None
            except (OSError, EOFError, TimeoutError) as error:
                record.add(f'client-{self._index}: {error!r}')
                if client is not None:
                    client.close()
                client = None
            await asyncio.sleep(self._pause_s)


def run_case(folder, case):
    """Run a coroutine function of a record; exit with its result."""
    record = Record(folder)
    try:
        result = asyncio.run(asyncio.wait_for(case(record), 110))
    except Exception as error:  # noqa: BLE001
        record.add(f'could not run: {error!r}')
        result = COULD_NOT_RUN
    record.write()
    sys.exit(result)


__all__ = [
    'BROKEN',
    'COULD_NOT_RUN',
    'HELD',
    'TROUBLE',
    'Client',
    'Instance',
    'RawClient',
    'Record',
    'ReviewFleet',
    'run_case',
]
