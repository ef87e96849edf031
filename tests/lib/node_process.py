"""Nodes as processes of their own, on loopback addresses of their own."""

import asyncio
import contextlib
import os
import pathlib
import random
import secrets
import signal
import socket
import struct
import sys
import tempfile

import aiohttp

from lib.fake_platform import (
    HOST,
    FakePlatformStore,
    FakeTarget,
    free_ports,
    make_plan_text,
)
from lib.platform_fleet import ORGANISATIONS, ROUTES, wait_until
from lib.process_memory import anonymous_mb, unread_mb

METRICS_PORT = 9464
_START_TIMEOUT_S = 20
# Tests seed the generator that they share.
_system_random = random.SystemRandom()
# The state of a target is known to all nodes by then.
_REPORTS_S = 1.5
_SETTINGS = """
[self]
node = "{vm}"
role = "node"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
bootstrap = {first_start}
app_addr = "{target_host}:{target_port}"
service = "{service}"
[self.limits]
cpu_share = 0.86
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [{peer_port}, {peer_port}]
seeds = []
[network.listen]
inbound = "{ip}:{inbound_port}"
outbound = "{ip}:{callers_port}"
readiness = "{ip}:{probes_port}"
admin = "{ip}:{announcements_port}"
[network.zones]
z1 = "r1"
z2 = "r1"
z3 = "r1"
z4 = "r1"
[platform]
heartbeat_ms = 1500
[platform.platform]
address = "{store_host}:{store_port}"
ttl_min_ms = 1000
[terms.bounds]
drain_ms = 2500
grace_s = 6
config_ms = 2500
retry_budget_ratio = 0.2
retry_window_s = 10
budget_slack = 48
"""


def _choose_address():
    """Return a loopback address on which no other node runs."""
    while True:
        network = _system_random.randrange(10, 250)
        address = f'127.{network}.{_system_random.randrange(250)}.7'
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((address, METRICS_PORT))
            return address


class NodeProcess:
    """The process of one node; it logs to a file."""

    def __init__(self, vm, target, store, folder, failure_domain='z1'):
        """Choose an address and ports without starting the process."""
        self.vm = vm
        self.ip = _choose_address()
        ports = free_ports(5)
        self.callers_port = ports[0]
        self.probes_port = ports[1]
        self.announcements_port = ports[2]
        self.target = target
        self.log_path = pathlib.Path(folder) / f'{vm}.log'
        self._settings_path = pathlib.Path(folder) / f'{vm}.toml'
        self._fields = {
            'vm': vm,
            'ip': self.ip,
            'zone': failure_domain,
            'target_host': HOST,
            'target_port': target.port,
            'service': target.service,
            'callers_port': ports[0],
            'probes_port': ports[1],
            'announcements_port': ports[2],
            'peer_port': ports[3],
            'inbound_port': ports[4],
            'store_host': HOST,
            'store_port': store.port,
        }
        # Descriptor that takes the place of the log.
        self.standard_error = None
        self._process = None

    @property
    def peer_port(self):
        """Return the port for the links of other nodes."""
        return self._fields['peer_port']

    @property
    def pid(self):
        """Return the process ID."""
        return self._process.pid

    async def start(self, *, first_start=True):
        """Start the process."""
        self._settings_path.write_text(
            _SETTINGS.format(
                **self._fields, first_start=str(first_start).lower()
            )
        )
        with self.log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'chivelead_node._internal.proxy',
                env={
                    **os.environ,
                    'CHIVELEAD_CONFIG': str(self._settings_path),
                    'SSL_CERT_FILE': '/dev/null',
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log
                if self.standard_error is None
                else self.standard_error,
            )

    def memory_mb(self):
        """Return the anonymous memory of the process."""
        return anonymous_mb(self.pid)

    def unread_mb(self):
        """Return what the kernel holds that the process has not read."""
        return unread_mb(self.pid)

    def is_running(self):
        """Return whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number):
        """Send a signal to the process if it is running."""
        if self.is_running():
            self._process.send_signal(number)

    async def wait(self):
        """Wait for the end of the process; return its exit status."""
        return None if self._process is None else await self._process.wait()

    async def terminate(self, grace_s=6):
        """Stop the process as the platform does; return its exit status."""
        self.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                return await self.wait()
        self.send_signal(signal.SIGKILL)
        return await self.wait()

    def log_lines(self, event):
        """Return the lines that the node logged for an event."""
        return [
            line
            for line in self.log_path.read_text(errors='replace').splitlines()
            if event in line
        ]


class ProcessFleet:
    """A store and targets in this process, and a node process for each target.

    Args:
        services: Service of the target on each VM.
        make_target: Makes a target of a service and the index of its VM; may
            return None for a usual one.
        failure_domains: Failure domains that the VMs are put in by turns.
        make_store_proxy: Makes a proxy of a port, between nodes and store.
    """

    def __init__(
        self,
        *services,
        make_target=None,
        failure_domains=('z1',),
        make_store_proxy=None,
    ):
        """Create the store and the targets without starting them."""
        self.store = FakePlatformStore()
        self.store_proxy = make_store_proxy and make_store_proxy(
            self.store.port
        )
        self.targets = [
            (make_target and make_target(service, index)) or FakeTarget(service)
            for index, service in enumerate(services)
        ]
        self._folder = tempfile.TemporaryDirectory()
        self.nodes = [
            NodeProcess(
                f'vm-{index}',
                target,
                self.store_proxy or self.store,
                self._folder.name,
                failure_domains[index % len(failure_domains)],
            )
            for index, target in enumerate(self.targets)
        ]
        self._session = None
        self._announcing = None

    async def start(
        self,
        routes=ROUTES,
        organisations=ORGANISATIONS,
        plan_text='',
        slots=None,
        standard_error=None,
        **plan_options,
    ):
        """Start the fleet; wait until each node knows the others.

        Nodes log to files; ``standard_error`` of the first may be another
        descriptor.
        """
        self.nodes[0].standard_error = standard_error
        self._session = aiohttp.ClientSession()
        await self.store.start()
        if self.store_proxy is not None:
            await self.store_proxy.start()
        self.store.put(
            'op/config',
            plan_text
            or make_plan_text(5, routes, organisations, **plan_options),
        )
        for target in self.targets:
            if slots is not None:
                target.slots = slots
            await target.start()
        for node in self.nodes:
            await node.start()
        self._announcing = asyncio.create_task(self._announce_forever())
        await asyncio.gather(*map(self.wait_until_joined, self.nodes))

    async def close(self):
        """Kill the nodes and stop the rest."""
        for node in self.nodes:
            node.send_signal(signal.SIGKILL)
            await node.wait()
        if self._announcing is not None:
            self._announcing.cancel()
        for target in self.targets:
            await target.close()
        await self._session.close()
        if self.store_proxy is not None:
            await self.store_proxy.close()
        await self.store.close()
        self._folder.cleanup()

    async def wait_until_joined(self, node):
        """Wait until a node is ready and knows all others as ready.

        Raises:
            ChildProcessError: The process of the node has ended.
        """
        async with asyncio.timeout(_START_TIMEOUT_S):
            while await self.level(node, 'peers') < len(self.nodes):
                await asyncio.sleep(0.05)
        # Another process may serve the metrics at its address.
        await wait_until(
            lambda: node.log_lines('target-state') or not node.is_running()
        )
        if not node.is_running():
            raise ChildProcessError(node.log_path.read_text(errors='replace'))
        await asyncio.sleep(_REPORTS_S)

    async def wait_until_ready(self, node):
        """Wait until a node accepts requests."""
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self._is_ready(node):
                await asyncio.sleep(0.05)

    async def level(self, node, name):
        """Return a gauge of a node; zero if it cannot be read."""
        try:
            text = await self.get_text(node, METRICS_PORT, '/metrics')
        except aiohttp.ClientError:
            return 0
        prefix = f'chivelead_level{{name="{name}"}} '
        for line in text.splitlines():
            if line.startswith(prefix):
                return float(line.removeprefix(prefix))
        return 0

    async def get_text(self, node, port, path):
        """Return what a node serves at a path."""
        url = f'http://{node.ip}:{port}{path}'
        async with self._session.get(url) as response:
            return await response.text()

    async def connect(self, index, **options):
        """Open a connection to the callers' port of a node.

        Returns:
            A RawClient.
        """
        node = self.nodes[index]
        return await RawClient.connect(node.ip, node.callers_port, **options)

    async def _is_ready(self, node):
        url = f'http://{node.ip}:{node.probes_port}/api/ready'
        with contextlib.suppress(aiohttp.ClientError):
            async with self._session.get(url) as response:
                return response.status == 200
        return False

    async def _announce_forever(self):
        while True:
            for node in self.nodes:
                with contextlib.suppress(aiohttp.ClientError):
                    await self._session.post(
                        f'http://{node.ip}:{node.announcements_port}/api/rpc',
                        params={
                            'call': 'instances.heartbeat',
                            'of': node.target.target_id,
                        },
                        json=node.target.make_announcement(),
                    )
            await asyncio.sleep(0.5)


class RawClient:
    """A client connection that controls when it sends, reads and closes."""

    def __init__(self, sock):
        """Wrap a connected socket."""
        self._socket = sock
        self._received = b''
        # Headers of the response that was read last, by their lower-case names.
        self.last_headers = {}

    @classmethod
    async def connect(
        cls, host, port, *, segment_bytes=0, receive_buffer_bytes=0
    ):
        """Open a connection.

        Args:
            host: Address of the server.
            port: Port of the server.
            segment_bytes: Largest TCP segment; zero for the default.
            receive_buffer_bytes: Receive buffer; zero for the default.
        """
        sock = socket.socket()
        if segment_bytes:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes
            )
        if receive_buffer_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
        return cls(sock)

    async def send_request(
        self,
        method,
        path,
        body=b'',
        headers=(),
        *,
        size_bytes=None,
        key='mill-key',
    ):
        """Send a request with a new ID, which is returned.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body, or the first part of it.
            headers: Header lines.
            size_bytes: Length of a body whose rest follows later.
            key: Key of an organisation; calls of targets have none.
        """
        request_id = secrets.token_hex(8)
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: shop.example',
            f'X-Request-Id: {request_id}',
            'X-Deadline-Ms: 5000',
            *headers,
        ]
        if key:
            lines.append(f'Authorization: Token {key}')
        if method != 'GET':
            lines.append(f'Content-Length: {size_bytes or len(body)}')
        lines.extend(('', ''))
        await self.send('\r\n'.join(lines).encode() + body)
        return request_id

    async def send(self, raw):
        """Send bytes."""
        await asyncio.get_running_loop().sock_sendall(self._socket, raw)

    def close_sending_half(self):
        """Tell the server that nothing more is sent."""
        self._socket.shutdown(socket.SHUT_WR)

    async def read_response(self, timeout_s=8):
        """Return the status and the body of the next response.

        Raises:
            EOFError: The connection ended before the response was whole.
            TimeoutError: The response did not come in time.
        """
        async with asyncio.timeout(timeout_s):
            while b'\r\n\r\n' not in self._received:
                await self._receive()
            head, _, rest = self._received.partition(b'\r\n\r\n')
            status_line, *fields = head.decode('latin-1').split('\r\n')
            headers = dict(
                field.lower().split(': ', maxsplit=1) for field in fields
            )
            size = int(headers['content-length'])
            while len(rest) < size:
                await self._receive()
                rest = self._received.partition(b'\r\n\r\n')[2]
        self._received = rest[size:]
        self.last_headers = headers
        return int(status_line.split(' ')[1]), rest[:size]

    def close(self, *, reset=False):
        """Close the connection, or reset it."""
        if reset:
            linger = struct.pack('ii', 1, 0)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._socket.close()

    async def _receive(self):
        chunk = await asyncio.get_running_loop().sock_recv(self._socket, 65_536)
        if not chunk:
            raise EOFError('the connection ended')
        self._received += chunk


@contextlib.asynccontextmanager
async def running_processes(*services, **options):
    """Run a fleet of node processes for the duration of a test."""
    fleet = ProcessFleet(*services)
    try:
        await fleet.start(**options)
        yield fleet
    finally:
        await fleet.close()
