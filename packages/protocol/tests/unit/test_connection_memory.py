"""Tests of the count of what connections hold."""

import asyncio
import dataclasses

import pytest
from chivelead_protocol.bounds import ConnectionMemory, edges

_EDGE = edges.Edge(
    'test', receive_buffer_bytes=5000, object_bytes=2000, little_bytes=4000
)
_RESERVED_BYTES = 16_000


_ESSENTIAL_EDGE = dataclasses.replace(_EDGE, is_essential=True)


class _Connection:
    def __init__(self, memory, edge=_EDGE):
        self.idle = False
        self.has_whole_request = False
        self.evicted = False
        self.account = memory.open_account(
            edge,
            self._evict,
            lambda: self.idle,
            lambda: not (self.has_whole_request or edge.is_essential),
        )

    def _evict(self):
        self.evicted = True


@pytest.fixture
def memory():
    """Return a memory with room for five connections."""
    return ConnectionMemory(5 * _RESERVED_BYTES)


async def test_connections_reserve_memory_until_they_end(memory):
    connections = [_Connection(memory) for _ in range(2)]
    connections[0].account.set_received(4500)
    assert memory.held_bytes == 2 * _RESERVED_BYTES + 500
    assert memory.held_by_edge() == {'test': 2 * _RESERVED_BYTES + 500}
    for connection in connections:
        connection.account.close()
        connection.account.close()
    assert memory.held_bytes == 0


async def test_connection_without_room_is_refused(memory):
    connections = [_Connection(memory) for _ in range(6)]
    assert all(connection.account for connection in connections[:5])
    assert connections[5].account is None
    assert memory.refused_count == 1


# Guards against idle connections that keep out a client with a request.
async def test_connection_that_is_idle_longest_gives_way(memory):
    connections = []
    for _ in range(5):
        connections.append(_Connection(memory))
        await asyncio.sleep(0.01)
    connections[1].idle = True
    connections[3].idle = True
    assert _Connection(memory).account is not None
    assert [connection.evicted for connection in connections] == [
        False,
        True,
        False,
        False,
        False,
    ]
    assert memory.held_bytes == 5 * _RESERVED_BYTES


# Guards against clients that cut a node off from the store.
async def test_essential_connection_is_opened_and_kept_without_room(memory):
    clients = [_Connection(memory) for _ in range(5)]
    essential = _Connection(memory, _ESSENTIAL_EDGE)
    essential.account.set_received(6000)
    assert not essential.evicted
    clients[2].account.set_received(4001)
    assert clients[2].evicted
    assert memory.held_bytes == 5 * _RESERVED_BYTES + 2000
    essential.account.close()
    assert memory.held_bytes == 4 * _RESERVED_BYTES


# Guards against many connections that each stay within their limit but
# exhaust the memory together.
async def test_connection_that_holds_most_for_longest_is_evicted(memory):
    connections = [_Connection(memory) for _ in range(3)]
    connections[0].account.set_received(16_000)
    await asyncio.sleep(0.05)
    connections[1].account.set_received(18_000)
    connections[2].account.set_received(14_000)
    assert [connection.evicted for connection in connections] == [
        True,
        False,
        False,
    ]
    assert memory.evicted_count == 1
    # It may receive more before it is closed.
    connections[0].account.set_received(90_000)
    connections[0].account.close()
    assert memory.held_bytes == 2 * _RESERVED_BYTES + 24_000


# Guards against small requests that end because others hold the memory.
async def test_connections_that_hold_little_are_not_evicted(memory):
    connections = [_Connection(memory) for _ in range(5)]
    for connection in connections:
        connection.account.set_received(4000)
    assert memory.evicted_count == 0
    assert memory.held_bytes == 5 * _RESERVED_BYTES
    connections[3].account.set_received(4001)
    assert [connection.evicted for connection in connections] == [
        False,
        False,
        False,
        True,
        False,
    ]


# Guards against a request that was passed on and ends without an answer,
# because others hold the memory.
async def test_connections_with_a_whole_request_are_not_evicted(memory):
    connections = [_Connection(memory) for _ in range(5)]
    connections[0].has_whole_request = True
    connections[0].account.set_received(60_000)
    assert memory.evicted_count == 0
    connections[1].account.set_received(5000)
    assert connections[1].evicted
    assert not connections[0].evicted


# Guards against probes and links that find no room beside callers.
async def test_callers_leave_room_for_other_edges():
    memory = ConnectionMemory(1_000_000)
    callers = []
    while memory.refused_count == 0:
        callers.append(_Connection(memory, edges.CALLERS))
    assert memory.held_bytes <= 600_000
    assert _Connection(memory, edges.CONTROL).account is not None
    assert _Connection(memory, edges.PEERS).account is not None


# Guards against idle links that are closed for callers without end.
async def test_callers_do_not_close_idle_connections_of_others():
    memory = ConnectionMemory(1_000_000)
    link = _Connection(memory, edges.PEERS)
    link.idle = True
    callers = [_Connection(memory, edges.CALLERS) for _ in range(10)]
    callers[5].idle = True
    while memory.refused_count == 0:
        callers.append(_Connection(memory, edges.CALLERS))
    assert callers[5].evicted
    assert not link.evicted


# Guards against a client that is closed for the age of its connection, as an
# idle connection keeps the head of its last request.
async def test_kept_memory_does_not_make_a_new_request_old(memory):
    account = _Connection(memory).account
    account.set_received(1000, kept_bytes=500)
    account.set_received(0, kept_bytes=500)
    await asyncio.sleep(0.05)
    account.set_received(1000)
    assert account.hold_cost(account.last_active_ms) == 1000
