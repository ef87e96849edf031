"""Tests of the gauges for what a node holds, and of the watch on its memory."""

import asyncio
import socket

import pytest
from chivelead_node._internal.memory_budget import MemoryBudget
from chivelead_node._internal.proxy.allocator import (
    ProcessMemory,
    read_process_memory,
)
from chivelead_node._internal.proxy.memory_watch import MemoryWatch
from chivelead_node._internal.proxy.unread_bytes import estimate_unread_bytes
from chivelead_node._internal.target_connections import TargetConnectionPool
from chivelead_protocol.bounds import edges
from lib.clocks import advance_clock
from lib.fake_platform import HOST

_BYTES_PER_MB = 1_000_000


class _Gauges:
    def __init__(self):
        self.levels = {}
        self.lines = []

    def record_node_event(self, event, **fields):
        self.lines.append((event, fields))

    def gauge(self, name, level):
        self.levels[name] = level


def _open_account(budget, edge, *, is_idle=False):
    return budget.connections.open_account(
        edge, lambda: None, lambda: is_idle, lambda: True
    )


async def test_gauges_show_what_is_held_for_whom():
    budget = MemoryBudget(300 * _BYTES_PER_MB)
    gauges = _Gauges()
    memory = ProcessMemory(40 * _BYTES_PER_MB, 30 * _BYTES_PER_MB)
    watch = MemoryWatch(budget, gauges, gauges, lambda: memory)
    callers = [_open_account(budget, edges.CALLERS) for _ in range(3)]
    callers[0].set_received(edges.CALLERS.little_bytes + 5000)
    _open_account(budget, edges.TARGET).set_received(700)
    budget.bodies.hold(900)
    watch.publish()
    assert gauges.levels['memory_mb'] == 40
    assert gauges.levels['body_bytes'] == 900
    assert gauges.levels['held_callers'] == (
        3 * edges.CALLERS.reserved_bytes + 5000
    )
    assert gauges.levels['held_target'] == edges.TARGET.reserved_bytes + 700
    assert gauges.levels['held_store'] == 0
    assert gauges.levels['counted_connections'] == 4
    assert gauges.levels['received_bytes'] == (
        edges.CALLERS.little_bytes + 5700
    )


async def test_gauges_count_refused_and_evicted_connections():
    budget = MemoryBudget(_BYTES_PER_MB)
    gauges = _Gauges()
    watch = MemoryWatch(budget, gauges, gauges)
    is_open = True
    while is_open:
        is_open = _open_account(budget, edges.TARGET) is not None
    watch.publish()
    assert gauges.levels['connections_without_room'] == 1
    assert gauges.levels['evicted_connections'] == 0
    worst = budget.connections.open_accounts()[0]
    worst.set_received(_BYTES_PER_MB)
    watch.publish()
    assert gauges.levels['evicted_connections'] == 1


async def test_memory_of_this_process_is_read():
    memory = read_process_memory()
    assert 0 < memory.anonymous_bytes < memory.resident_bytes


class _Process:
    """A process whose memory is set by the test.

    Without requests, it has 30 MB of 300.
    """

    def __init__(self):
        self.budget = MemoryBudget(300 * _BYTES_PER_MB)
        self.gauges = _Gauges()
        self.used_mb = 30
        self.garbage_mb = 0
        self.free_mb = 0
        self.collected_count = 0
        self.returned_count = 0
        self.watch = MemoryWatch(
            self.budget,
            self.gauges,
            self.gauges,
            self._read,
            self._collect,
            self._return_free,
        )

    @property
    def unexplained_mb(self):
        return self.gauges.levels['memory_unexplained_mb']

    @property
    def events(self):
        return [event for event, _ in self.gauges.lines]

    async def run(self, duration_s):
        """Publish twice a second."""
        for _ in range(duration_s * 2):
            self.watch.publish()
            await advance_clock(0.5)

    def takes_upload(self, size_mb):
        """Return whether there is room for a request with a body."""
        size_bytes = round(size_mb * _BYTES_PER_MB)
        share = self.budget.bodies.take_request(size_bytes)
        if share is not None:
            share.close()
        return share is not None

    def _read(self):
        used_mb = self.used_mb + self.garbage_mb + self.free_mb
        used_bytes = used_mb * _BYTES_PER_MB
        return ProcessMemory(used_bytes + 10 * _BYTES_PER_MB, used_bytes)

    def _return_free(self):
        self.returned_count += 1
        self.free_mb = 0

    def _collect(self):
        self.collected_count += 1
        self.garbage_mb = 0
        return 7


@pytest.mark.looptime
async def test_memory_that_is_counted_is_explained():
    process = _Process()
    await process.run(5)
    process.budget.bodies.hold(60 * _BYTES_PER_MB)
    account = _open_account(process.budget, edges.CALLERS)
    account.set_received(10 * _BYTES_PER_MB)
    process.used_mb += 70
    await process.run(10)
    assert process.unexplained_mb <= 0
    assert not process.gauges.lines


# Guards against a line for each upload that has announced its length.
@pytest.mark.looptime
async def test_body_that_has_not_arrived_parts_nothing():
    process = _Process()
    process.budget.bodies.hold(60 * _BYTES_PER_MB)
    await process.run(10)
    process.used_mb = 90
    await process.run(10)
    assert not process.gauges.lines


# Guards against memory that no count sees and that grows until the node ends.
@pytest.mark.looptime
async def test_memory_that_no_count_sees_is_said_once():
    process = _Process()
    await process.run(5)
    _open_account(process.budget, edges.CALLERS).set_received(_BYTES_PER_MB)
    process.used_mb = 75
    await process.run(10)
    assert process.events == ['memory-unexplained']
    fields = process.gauges.lines[0][1]
    assert fields['anonymous_mb'] == 75
    assert fields['limit_mb'] == 300
    assert fields['received_mb'] == 1
    assert fields['connections'] == 1
    assert fields['unexplained_mb'] == pytest.approx(44, abs=0.5)
    assert process.unexplained_mb == pytest.approx(44, abs=0.5)
    process.used_mb = 35
    await process.run(10)
    assert process.events == ['memory-unexplained', 'memory-explained']


@pytest.mark.looptime
async def test_unexplained_memory_is_no_room_for_large_bodies():
    process = _Process()
    await process.run(5)
    assert process.takes_upload(60)
    process.used_mb = 70
    await process.run(5)
    assert not process.takes_upload(60)
    assert process.takes_upload(30)
    process.used_mb = 250
    await process.run(5)
    assert not process.takes_upload(0.1)
    assert process.takes_upload(0.05)
    process.used_mb = 30
    await process.run(1)
    assert process.takes_upload(60)


# Guards against a body that is held twice for a moment.
@pytest.mark.looptime
async def test_memory_that_is_unexplained_for_a_moment_changes_nothing():
    process = _Process()
    await process.run(5)
    for _ in range(5):
        process.used_mb = 95
        await process.run(1)
        process.used_mb = 30
        await process.run(1)
    assert not process.gauges.lines
    assert process.takes_upload(60)


# Guards against an alarm for what a node learns of its fleet.
@pytest.mark.looptime
async def test_process_that_grows_slowly_is_explained_up_to_a_bound():
    process = _Process()
    for _ in range(30):
        process.used_mb += 1
        await process.run(60)
    assert not process.gauges.lines
    for _ in range(35):
        process.used_mb += 1
        await process.run(60)
    assert process.events == ['memory-unexplained']


# Guards against cycles that hold received bytes until the next collection.
@pytest.mark.looptime
async def test_garbage_is_collected_near_the_limit():
    process = _Process()
    await process.run(5)
    process.garbage_mb = 230
    await process.run(10)
    assert process.collected_count == 1
    assert process.events == ['memory-held', 'memory-collected']
    fields = process.gauges.lines[1][1]
    assert fields['freed_mb'] == 230
    assert fields['objects'] == 7


@pytest.mark.looptime
async def test_collections_are_seconds_apart():
    process = _Process()
    process.used_mb = 270
    await process.run(30)
    assert process.collected_count == 6


# Guards against free memory that the allocator keeps after many bodies.
@pytest.mark.looptime
async def test_free_memory_is_returned_when_it_is_not_explained():
    process = _Process()
    await process.run(5)
    process.free_mb = 60
    await process.run(10)
    assert process.returned_count == 1
    assert process.takes_upload(60)
    assert process.events == ['memory-unexplained', 'memory-explained']
    process.used_mb = 100
    await process.run(20)
    assert 3 <= process.returned_count <= 6


class _PausedProtocol(asyncio.Protocol):
    def __init__(self, account):
        self._account = account

    def connection_made(self, transport):
        transport.pause_reading()
        self._account.transport = transport


async def _open_paused(budget, size_bytes, received_bytes):
    """Open a connection that has received bytes and reads none.

    Returns:
        Its account, and the socket of the client.
    """
    loop = asyncio.get_running_loop()
    account = _open_account(budget, edges.CALLERS)
    account.set_received(received_bytes)
    client, server = socket.socketpair()
    client.setblocking(False)
    await loop.create_connection(lambda: _PausedProtocol(account), sock=server)
    await loop.sock_sendall(client, bytes(size_bytes))
    return account, client


async def test_unread_bytes_are_those_of_connections_that_hold_something():
    budget = MemoryBudget(300 * _BYTES_PER_MB)
    opened = [
        await _open_paused(budget, 10_000, 1),
        await _open_paused(budget, 5000, 1),
        await _open_paused(budget, 3000, 0),
    ]
    unread_bytes = estimate_unread_bytes(budget.connections.open_accounts())
    assert unread_bytes == 15_000
    for account, client in opened:
        account.transport.close()
        client.close()
    assert not estimate_unread_bytes(budget.connections.open_accounts())


class _CountingTransport:
    def __init__(self, transport, counter):
        self._transport = transport
        self._counter = counter

    def __getattr__(self, name):
        if name == 'get_extra_info':
            self._counter.append(name)
        return getattr(self._transport, name)


# Guards against a gauge that costs a system call for each connection.
async def test_few_sockets_stand_for_many():
    budget = MemoryBudget(300 * _BYTES_PER_MB)
    opened = [await _open_paused(budget, 1000, 1) for _ in range(120)]
    counter = []
    for account, _ in opened:
        account.transport = _CountingTransport(account.transport, counter)
    unread_bytes = estimate_unread_bytes(budget.connections.open_accounts())
    assert unread_bytes == 120_000
    assert len(counter) == 100
    for account, client in opened:
        account.transport.close()
        client.close()


async def test_account_without_a_transport_has_no_unread_bytes():
    budget = MemoryBudget(300 * _BYTES_PER_MB)
    account = _open_account(budget, edges.PEERS)
    account.set_received(1)
    assert not estimate_unread_bytes([account])


# Guards against connections that do not name their transport.
async def test_connections_to_a_target_are_among_the_read_ones():
    budget = MemoryBudget(300 * _BYTES_PER_MB)
    response = b'HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n'

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(response + bytes(1_000_000))

    server = await asyncio.start_server(serve, HOST)
    port = server.sockets[0].getsockname()[1]
    pool = TargetConnectionPool(HOST, port, budget.connections)
    connection = await pool.acquire(has_body=True)
    connection.write(b'GET / HTTP/1.1\r\n\r\n', b'')
    await connection.read_response()
    await asyncio.sleep(0.1)
    accounts = budget.connections.open_accounts()
    assert estimate_unread_bytes(accounts) > 10_000
    connection.abort()
    server.close()


# Guards against a process that is ended for its memory, and a log that does not
# say whose bytes they were.
@pytest.mark.looptime
async def test_log_says_for_whom_much_memory_is_held():
    process = _Process()
    await process.run(5)
    _open_account(process.budget, edges.TARGET).set_received(20 * _BYTES_PER_MB)
    process.budget.bodies.hold(90 * _BYTES_PER_MB)
    process.used_mb = 149
    await process.run(5)
    assert not process.gauges.lines
    process.used_mb = 151
    await process.run(5)
    assert process.events.count('memory-held') == 3
    assert len(process.events) == 3
    fields = process.gauges.lines[-1][1]
    assert fields['bodies_mb'] == 90
    assert fields['target_mb'] == pytest.approx(20, abs=0.2)
    assert 'callers_mb' not in fields
