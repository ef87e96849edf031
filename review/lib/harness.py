"""Stand-ins for the scripts of the review: platform, instances and clients.

Only the standard library is used.  The nodes are the project's own program,
started with the command of ``deploy/system.toml``.  Each machine has an address
of its own in 127.0.0.0/8, since the metrics port of a node is fixed.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import secrets
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOST_NAME = 'jepu9.example'
BOUNDS = {
    'seed_lag_s': 3, 'reuse_after_s': 2, 'stable_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2500, 'grace_s': 6, 'loss_slack_ms': 200,
    'config_ms': 2500, 'rollback_slack_ms': 250, 'max_skew_ms': 5000,
    'revoke_ms': 5000, 'retry_budget_ratio': 0.2, 'retry_window_s': 10,
    'budget_slack': 48, 'quota_window_s': 5, 'quota_overage': 0.1,
    'quota_slack': 20, 'recover_s': 15,
}
REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition Failed',
           421: 'Misdirected Request', 503: 'Service Unavailable'}


_started = []                     # all processes of nodes, to end them


class Record:
    """The file record.txt, with the time since the start of the script."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w', buffering=1)
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def __call__(self, text):
        line = f'{self.now():8.3f} s  {text}'
        self._file.write(f'{line}\n')
        print(line, flush=True)


class HttpMessage:
    """Start line, headers (lower-case names) and body of one message."""

    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body


async def read_head(reader):
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', '').lower():
        chunks = []
        while True:
            size = int((await reader.readline()).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return b''.join(chunks)
            chunks.append(chunk[:-2])
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_message(reader):
    start, headers = await read_head(reader)
    return HttpMessage(start, headers, await read_body(reader, headers))


def encode_response(status, headers, body):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def _query(target):
    path, _, text = target.partition('?')
    from urllib.parse import parse_qs
    return path, {name: found[0] for name, found in parse_qs(text).items()}


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, record, ip):
        self.ip, self.port = ip, 0
        self.delay_s = 0.004
        self.mode = 'up'          # or 'busy': 503 to all, nothing is done
        self._record = record
        self._revision = 1
        self._items, self._events, self._leases = {}, [], {}
        self._lease_ids = itertools.count(77120)
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        self._server.close()

    def put(self, key, raw, lease=0):
        self._revision += 1
        old = self._items.get(key)
        item = {
            'key': key, 'value': base64.b64encode(raw).decode(),
            'revision': self._revision,
            'create_revision': old['create_revision'] if old else self._revision,
            'lease': lease,
        }
        self._items[key] = item
        self._note(item)
        return self._revision

    def delete(self, key):
        if self._items.pop(key, None):
            self._revision += 1
            self._note({'key': key, 'revision': self._revision, 'deleted': True})

    def _note(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            while True:
                message = await read_message(reader)
                method, target, _ = message.start.split(' ')
                status, body = await self._answer(method, target, message.body)
                writer.write(encode_response(
                    status, {'Content-Type': 'application/json'},
                    json.dumps(body).encode(),
                ))
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, raw):
        await asyncio.sleep(self.delay_s)
        if self.mode == 'busy':
            return 503, {}
        path, query = _query(target)
        operation = path.removeprefix('/api/')
        body = json.loads(raw or b'{}')
        if operation == 'kv-key':
            item = self._items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'store_revision': self._revision}
        if operation == 'kv-range':
            items = [
                self._items[key] for key in sorted(self._items)
                if key.startswith(query['prefix']) and key > query.get('after', '')
            ]
            return 200, {'items': items[:500], 'has_more': len(items) > 500,
                         'store_revision': self._revision}
        if operation == 'kv-watch':
            return await self._watch(query)
        if operation == 'kv-txn':
            return self._transact(body)
        if operation == 'kv-lease':
            lease = next(self._lease_ids)
            self._grant(lease, body['ttl_ms'])
            return 200, {'lease': lease, 'ttl_ms': body['ttl_ms']}
        lease = int(operation.partition('/')[2] or 0)
        if lease not in self._leases:
            return 404, {}
        ttl_ms = self._leases[lease][0]
        if method == 'DELETE':
            self._end(lease)
        else:
            self._grant(lease, ttl_ms)
        return 200, {'ttl_ms': ttl_ms}

    def _grant(self, lease, ttl_ms):
        if lease in self._leases:
            self._leases[lease][1].cancel()
        timer = asyncio.get_running_loop().call_later(
            ttl_ms / 1000, self._end, lease)
        self._leases[lease] = (ttl_ms, timer)

    def _end(self, lease):
        self._leases.pop(lease)[1].cancel()
        for key, item in tuple(self._items.items()):
            if item['lease'] == lease:
                self.delete(key)

    async def _watch(self, query):
        end = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            changed = self._changed
            events = [
                event for event in self._events
                if event['revision'] > int(query['after'])
                and event['key'].startswith(query['prefix'])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'store_revision': self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, body):
        for row in body.get('expected_revision', ()):
            item = self._items.get(row['key'], {'revision': 0})
            if item['revision'] != row['revision']:
                return 412, {'items': [item] if item['revision'] else []}
        for write in body.get('writes', ()):
            if write.get('lease') and write['lease'] not in self._leases:
                return 404, {}
        for write in body.get('writes', ()):
            self._record(f'store: a node writes {write["key"]} = '
                         f'{base64.b64decode(write["value"])[:120]!r}')
            self.put(write['key'], base64.b64decode(write['value']),
                     write.get('lease', 0))
        for key in body.get('deletes', ()):
            self.delete(key)
        return 200, {'revision': self._revision}


def config_text(version, routes, services, tenants=()):
    """Return the operator's configuration.

    Args:
        version: Number of the version.
        routes: Rows of name, prefix, service, type and other fields.
        services: Names of the services.
        tenants: Rows of name, keys, requests a second and burst.
    """
    resources = [
        {'type_url': 'routes', 'metadata': {'name': name}, 'spec': {
            'host': HOST_NAME, 'prefix': prefix, 'type': kind,
            'timeout_ms': 5000, 'target_latency_ms': 1500, 'priority': 0,
            'service': service, 'max_attempts': 2, 'allow_anonymous': False,
            **more,
        }}
        for name, prefix, service, kind, more in routes
    ]
    resources += [
        {'type_url': 'services', 'metadata': {'name': name}, 'spec': {
            'health_path': '/health', 'max_connections': 628,
            'protocol': 'h1', 'tls': False}}
        for name in services
    ]
    resources += [
        {'type_url': 'tenants', 'metadata': {'name': name}, 'spec': {
            'api_keys': list(keys), 'priority': 1,
            'requests_per_s': rate, 'burst': burst}}
        for name, keys, rate, burst in tenants
    ]
    resources.append({'type_url': 'limits', 'metadata': {}, 'spec': {
        'max_header_bytes': 16384, 'max_body_bytes': 67108864,
        'header_timeout_ms': 3000, 'idle_timeout_ms': 15000}})
    return json.dumps({'version': version, 'resources': resources}).encode()


class Machine:
    """A machine of the platform with the addresses that it gives out."""

    def __init__(self, name, ip, zone, service):
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        ports = free_ports(ip, 5)
        self.app, self.outbound, self.inbound = ports[0], ports[1], ports[2]
        self.readiness, self.admin = ports[3], ports[4]
        self.internal = free_ports(ip, 1)[0]


class Instance:
    """An application instance beside a node."""

    def __init__(self, record, machine, instance_id=None, slots=20):
        self.machine, self.slots = machine, slots
        self.id = instance_id or f'i-{secrets.token_hex(4)}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.leaving = False
        self.work_s = 0.05
        self.body = b'the answer of the instance\n'
        self.runs = []            # (time, request id)
        self.ended = set()        # ids whose answer was sent in full
        self.running = 0
        self.quiet = False        # leaves the runs out of the record
        self.heartbeats_acked = 0
        self._seq = itertools.count(1)
        self._record, self._server, self._beats = record, None, None
        self._writers = set()

    async def start(self, *, beat=True):
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, self.machine.app)
        self._record(f'instance {self.id} starts on {self.machine.name}, '
                     f'born {self.born}')
        if beat:
            self._beats = asyncio.create_task(self._beat_forever())

    async def exit(self):
        """End at once, as a process does."""
        if self._beats:
            self._beats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._record(f'instance {self.id} exits, {self.running} requests '
                     'at work')

    async def deregister(self):
        """Report that this instance leaves; return whether it was acked."""
        self.leaving = True
        if self._beats:
            self._beats.cancel()
        status = await self._call('deregister', b'')
        self._record(f'instance {self.id} deregisters: {status}')
        return status == 200

    async def _beat_forever(self):
        while True:
            status = await self._call('heartbeat', json.dumps({
                'address': f'{self.machine.ip}:{self.machine.app}',
                'born': self.born,
                'info': {'service': self.machine.service, 'version': 'v1',
                         'zone': self.machine.zone, 'slots': self.slots},
                'status': {'state': self.state, 'seq': next(self._seq),
                           'warmup_left_ms': 0},
            }).encode())
            if status == 200:
                self.heartbeats_acked += 1
            # Until its node is up, an instance tries again soon.
            await asyncio.sleep(1.5 if status == 200 else 0.05)

    async def _call(self, operation, body):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.machine.ip, self.machine.admin)
                writer.write((
                    f'POST /api/rpc?call=instances.{operation}&of={self.id} '
                    f'HTTP/1.1\r\nHost: {self.machine.ip}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n').encode() + body)
                answer = await read_message(reader)
                writer.close()
                return int(answer.start.split(' ')[1])
        except (OSError, EOFError, TimeoutError) as error:
            return repr(error)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError):
            while True:
                message = await read_message(reader)
                await self._respond(message, writer)
        self._writers.discard(writer)
        writer.close()

    async def _respond(self, message, writer):
        method, target, _ = message.start.split(' ')
        load = f'{self.running},0,{self.slots}'
        if target == '/health':
            writer.write(encode_response(
                503 if self.leaving else 200,
                {'X-Instance-Id': self.id, 'X-Instance-Load': load}, b''))
            return
        request_id = message.headers.get('x-request-id', '')
        expected = message.headers.get('x-expect-instance', self.id)
        if expected != self.id:
            writer.write(encode_response(421, {
                'X-Request-Id': request_id, 'X-Instance-Id': self.id,
                'X-Not-Executed': '1'}, b''))
            return
        self.runs.append((self._record.now(), request_id))
        if not self.quiet:
            self._record(f'instance {self.id} ({self.machine.name}) runs '
                         f'{request_id}: {method} {target}, '
                         f'{len(message.body)} bytes')
        self.running += 1
        try:
            await self.work(message, writer)
        finally:
            self.running -= 1

    async def work(self, message, writer):
        await asyncio.sleep(self.work_s)
        request_id = message.headers.get('x-request-id', '')
        writer.write(encode_response(200, {
            'X-Request-Id': request_id,
            'X-Server-Stamp': f'3e1b.{secrets.token_hex(4)}',
            'X-Instance-Load': f'{self.running},0,{self.slots}',
        }, self.body))
        await writer.drain()
        self.ended.add(request_id)


class Node:
    """A process of the system, started and stopped as the platform does."""

    def __init__(self, record, machine, store, folder):
        self.machine = machine
        self._record, self._store = record, store
        self._folder = pathlib.Path(folder)
        self._process = None
        self.starts = 0

    @property
    def pid(self):
        return self._process.pid if self._process else 0

    def is_running(self):
        return self._process is not None and self._process.returncode is None

    async def start(self, *, bootstrap):
        machine = self.machine
        settings = self._folder / f'{machine.name}.toml'
        settings.write_text(self._settings(bootstrap))
        with open(ROOT / 'deploy/system.toml', 'rb') as deploy:
            role = tomllib.load(deploy)['roles']['node']
        log = open(self._folder / f'{machine.name}.log', 'a')
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        env |= role.get('env', {})
        env |= {'PYTHONPATH': str(ROOT / 'target/deps'),
                'CHIVELEAD_CONFIG': str(settings)}
        self._process = await asyncio.create_subprocess_exec(
            *shlex.split(role['run']), cwd=ROOT, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        _started.append(self._process)
        self.starts += 1
        self._record(f'platform: starts the node on {machine.name}, '
                     f'bootstrap {str(bootstrap).lower()}')

    def send_signal(self, number):
        if self.is_running():
            self._record(f'platform: {signal.Signals(number).name} to the '
                         f'node on {self.machine.name}')
            self._process.send_signal(number)

    async def wait(self):
        await self._process.wait()
        self._record(f'the node on {self.machine.name} has ended, '
                     f'status {self._process.returncode}')

    async def stop(self):
        """SIGTERM, and SIGKILL after grace_s."""
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait(), BOUNDS['grace_s'])
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.wait()

    async def is_ready(self):
        machine = self.machine
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    machine.ip, machine.readiness)
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                answer = await read_message(reader)
                writer.close()
                return ' 200 ' in answer.start
        except (OSError, EOFError, TimeoutError):
            return False

    async def wait_ready(self, timeout_s=20):
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def _settings(self, bootstrap):
        machine = self.machine
        return f'''
[self]
node = "{machine.name}"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{machine.ip}"
zone = "{machine.zone}"
region = "south-bengal"
counts_as_loss = false
bootstrap = {str(bootstrap).lower()}
app_addr = "{machine.ip}:{machine.app}"
service = "{machine.service}"
[self.limits]
cpu_share = 0.86
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [{machine.internal},{machine.internal}]
seeds = []
[network.listen]
inbound = "{machine.ip}:{machine.inbound}"
outbound = "{machine.ip}:{machine.outbound}"
readiness = "{machine.ip}:{machine.readiness}"
admin = "{machine.ip}:{machine.admin}"
[network.zones]
howrah = "south-bengal"
kolkata = "south-bengal"
[platform]
discovery = "static"
entry = "static"
heartbeat_ms = 1500
[platform.platform]
address = "{self._store.ip}:{self._store.port}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","platform"]
[terms.fault_tolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
revoke_everywhere = false
''' + ''.join(f'{name} = {value}\n' for name, value in BOUNDS.items())


def anonymous_mb(pid):
    """Return the memory of a process without the pages of its files."""
    try:
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith('RssAnon:'):
            return int(line.split()[1]) * 1024 / 1e6
    return 0


def encode_request(method, path, request_id, *, key='', deadline_ms=5000,
                   body=b'', more=''):
    head = (f'{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
            f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n')
    if key:
        head += f'Authorization: Token {key}\r\n'
    if method != 'GET':
        head += f'Content-Length: {len(body)}\r\n'
    return (head + more + '\r\n').encode() + body


async def send(record, machine, method, path, *, key='', deadline_ms=5000,
               body=b'', quiet=False):
    """Send one request on a new connection.

    Returns:
        Request ID, status (or None), and the answer or the error.
    """
    request_id = secrets.token_hex(8)
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(
                machine.ip, machine.outbound)
            try:
                writer.write(encode_request(
                    method, path, request_id, key=key,
                    deadline_ms=deadline_ms, body=body))
                answer = await read_message(reader)
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError) as error:
        record(f'client: {request_id} {method} {path} at {machine.name}: '
               f'no complete answer, {error!r}')
        return request_id, None, error
    status = int(answer.start.split(' ')[1])
    if not quiet:
        record(f'client: {request_id} {method} {path} at {machine.name}: '
               f'{status} {answer.body[:60]!r}')
    return request_id, status, answer


def free_ports(ip, count):
    """Return ports that are free now, below those given to clients."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((ip, port))
            if port not in ports:
                ports.append(port)
    return ports


def new_ips(count):
    """Return loopback addresses for the machines of one run."""
    second, third = random.randrange(10, 250), random.randrange(1, 250)
    return [f'127.{second}.{third}.{10 + index}' for index in range(count)]


class Deployment:
    """A store, and machines with one instance and one node each."""

    def __init__(self, record, services, zones=('howrah', 'kolkata')):
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        ips = new_ips(len(services) + 1)
        self.store = Store(record, ips[0])
        self.machines = [
            Machine(f'sidecar-{index}', ip, zones[index % len(zones)], service)
            for index, (ip, service) in enumerate(zip(ips[1:], services))
        ]
        self.instances = [Instance(record, one) for one in self.machines]
        self.nodes = [
            Node(record, one, self.store, self._folder.name)
            for one in self.machines
        ]

    def log(self, index):
        path = pathlib.Path(self._folder.name) / f'{self.machines[index].name}.log'
        return path.read_text(errors='replace')

    async def start(self, config):
        await self.store.start()
        self.store.put('op/config', config)
        for instance in self.instances:
            await instance.start()
        for node in self.nodes:
            await node.start(bootstrap=True)
        for node in self.nodes:
            await node.wait_ready()
        # Traffic starts ten seconds after the machines in our deployments.
        await asyncio.sleep(6)

    async def close(self):
        for node in self.nodes:
            if node.is_running():
                node._process.kill()
                await node._process.wait()
        for instance in self.instances:
            with contextlib.suppress(Exception):
                await instance.exit()
        await self.store.close()
        self._folder.cleanup()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0.05)


def run(case, folder):
    """Run a case for at most 115 s; return the status for the shell."""
    record = Record(folder)
    # Streams that are still open when the loop has ended are of no interest.
    sys.unraisablehook = lambda _: None

    async def limited():
        # Connections that are still open at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(115):
            return await case(record)

    # Ends the nodes also if the script is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        status = asyncio.run(limited())
    except Exception as error:  # The case could not run.
        record(f'the case could not run: {error!r}')
        import traceback
        traceback.print_exc()
        return NOT_RUN
    finally:
        for process in _started:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
    record({HELD: 'the rule held', BROKEN: 'the rule was broken',
            NOT_RUN: 'the case could not run'}[status])
    return status


if __name__ == '__main__':
    sys.exit('harness.py is a module of the scripts')
