"""What connections hold of bytes without end is what is counted for them.

``CHIVELEAD_FUZZ_EXAMPLES`` is explained in ``test_byte_streams.py``.
"""

import asyncio
import contextlib
import gc
import itertools
import tracemalloc

from aiohttp import web
from chivelead_node._internal import body_reader
from chivelead_node._internal.body_memory import BodyKind
from chivelead_node._internal.calls import RefusedCallError
from chivelead_node._internal.memory_budget import MemoryBudget
from chivelead_node._internal.server_connection import ConnectionServer
from chivelead_protocol.bounds import edges
from hypothesis import given
from hypothesis import strategies as st
from lib import connections
from lib.byte_streams import StreamPeer, exchange_all
from lib.stream_cases import (
    BODY_LIMIT_BYTES,
    EXAMPLES,
    SERVER_OPTIONS,
    call_target,
    fuzz,
    limit_count,
    make_target,
    piece_sizes,
    read_size_lists,
)

_SMALL_BUDGET_BYTES = 6_000_000
# Of one connection and its tasks, beyond what is counted.
_UNCOUNTED_BYTES = 32_768
# The interpreter keeps 2000 small tuples for the next use.
_INTERPRETER_BYTES = 131_072
# More than any connection may hold.
_ENDLESS_BYTES = 600_000 if EXAMPLES else 100_000
_HEAD = b'%b\r\nHost: x\r\nX-Request-Id: mine\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_END = b'Content-Length: 0\r\n\r\n'
_BLOCK = b'x' * 57_000


def _endless(start, block):
    yield start
    yield from itertools.repeat(block, _ENDLESS_BYTES // len(block))


def _chunk(size, extension=b''):
    return b'%x%b\r\n%b\r\n' % (size, extension, b'x' * size)


def _make_endless(form, size, start_line):
    """Return the blocks of a message without end in a form."""
    head = _HEAD % start_line
    many = 1 + 16_384 // size
    field = b'X: %b\r\n' % (b'f' * min(size, 8000))
    small_fields = b'a:\r\n' * min(size, 500)
    parts, block = {
        'length': ((b'Content-Length: 390000\r\n\r\n',), _BLOCK),
        'too-long': ((b'Content-Length: 9000000\r\n\r\n',), _BLOCK),
        'chunks': ((_CHUNKED,), _chunk(size) * many),
        'extensions': (
            (_CHUNKED,),
            _chunk(2, b';%b' % (b'e' * size)) * many,
        ),
        'trailers': ((_CHUNKED, b'0\r\n'), field),
        'head': ((), field),
        'line': ((b'X-F: ',), _BLOCK),
        'messages': (
            (_END,),
            b''.join((head, small_fields, _END)) * 10,
        ),
        'chunk-size': ((_CHUNKED,), b'0' * 57_000),
        'no-length': ((b'\r\n',), _BLOCK),
        'garbage': ((b'\0',), _BLOCK),
    }[form]
    start = b''.join((head, *parts))
    return _endless(start, block)


def _make_endless_peer(form, size, read_sizes, start_line):
    return StreamPeer(
        _make_endless(form, size, start_line),
        limit_count(read_sizes, _ENDLESS_BYTES),
        'open',
    )


_endless_forms = st.sampled_from(
    (
        'length',
        'too-long',
        'chunks',
        'chunks',
        'chunks',
        'extensions',
        'trailers',
        'head',
        'line',
        'messages',
        'chunk-size',
        'no-length',
        'garbage',
    )
)
_endless_peers = st.lists(
    st.tuples(
        _endless_forms,
        piece_sizes,
        read_size_lists,
        st.sampled_from(('reads', 'stops', 'never')),
    ),
    min_size=1,
    max_size=12,
)


class _MemoryCheck:
    """Compares what a budget says with the memory that is really held.

    Args:
        budget: Budget of the connections.
        edge: Kind of the connections.
        peers: Peers of the connections.
    """

    def __init__(self, budget, edge, peers):
        self._budget = budget
        self._edge = edge
        self._peers = peers
        self._start_bytes = tracemalloc.get_traced_memory()[0]
        self._turns = 0

    async def check(self):
        """Check every now and then."""
        self._turns += 1
        if self._turns % 8:
            return
        # Connections that were closed, and their tasks, have ended then.
        for _ in range(4):
            await asyncio.sleep(0)
        peer_bytes = sum(
            len(peer.written) + len(peer._block) for peer in self._peers
        )
        held_bytes = (
            tracemalloc.get_traced_memory()[0] - self._start_bytes - peer_bytes
        )
        count = len(self._peers)
        open_count = sum(not peer.is_lost for peer in self._peers)
        # The kernel's part is not in this process.
        counted_bytes = (
            self._budget.held_bytes - open_count * self._edge.unread_limit_bytes
        )
        # A body that grows has an eighth in reserve, which is not touched.
        counted_bytes += self._budget.bodies.held_bytes // 8
        uncounted_bytes = _INTERPRETER_BYTES + count * _UNCOUNTED_BYTES
        assert held_bytes <= counted_bytes + uncounted_bytes
        assert self._budget.held_bytes <= _SMALL_BUDGET_BYTES
        assert held_bytes <= _SMALL_BUDGET_BYTES


@contextlib.contextmanager
def _tracing(exchange):
    # What is created once is not part of any connection.
    asyncio.run(exchange([('chunks', 9, [4096], 'reads')]))
    gc.collect()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()


async def _read_with_habit(request, budget, habits):
    share = budget.bodies.open_share(BodyKind.request)
    habit = next(habits, 'never')
    if habit == 'never':
        await asyncio.Event().wait()
    if habit == 'stops':
        await request.content.readany()
        await asyncio.Event().wait()
    try:
        await body_reader.read_body(request, share, BODY_LIMIT_BYTES, 1)
    except RefusedCallError:
        return web.Response(status=413)
    except web.RequestPayloadError:
        return web.Response(status=400)
    finally:
        share.close()
    return web.Response()


async def _serve_endless(drawn):
    budget = MemoryBudget(_SMALL_BUDGET_BYTES)
    connection_set = connections.make_connections(memory=budget.connections)
    habits = iter([case[-1] for case in drawn])

    async def handle(request):
        return await _read_with_habit(request, budget, habits)

    server = ConnectionServer(handle, connection_set, **SERVER_OPTIONS)
    peers = [
        _make_endless_peer(form, size, read_sizes, b'POST / HTTP/1.1')
        for form, size, read_sizes, _ in drawn
    ]
    memory = _MemoryCheck(budget, edges.CALLERS, peers)
    for peer in peers:
        peer.connect(server())
    await exchange_all(peers, memory.check)
    for peer in peers:
        peer.lose()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert budget.held_bytes == 0


# Guards against memory of callers' bytes that no count sees, or no limit holds.
@fuzz(20)
@given(_endless_peers)
def test_endless_requests_hold_what_is_counted(drawn):
    with _tracing(_serve_endless):
        asyncio.run(_serve_endless(drawn))


async def _drop(call):
    await call


async def _receive_endless(drawn):
    budget = MemoryBudget(_SMALL_BUDGET_BYTES)
    peers = [
        _make_endless_peer(form, size, read_sizes, b'HTTP/1.1 200 OK')
        for form, size, read_sizes, _ in drawn
    ]
    memory = _MemoryCheck(budget, edges.TARGET, peers)
    target = make_target(peers, budget)
    calls = [asyncio.create_task(_drop(call_target(target))) for _ in peers]
    await asyncio.sleep(0)
    await exchange_all(peers, memory.check)
    for peer in peers:
        peer.lose()
    await asyncio.wait(calls, timeout=2)
    assert all(call.done() for call in calls)
    assert budget.held_bytes == 0


# Guards against the same of a target.
@fuzz(20)
@given(_endless_peers)
def test_endless_responses_hold_what_is_counted(drawn):
    with _tracing(_receive_endless):
        asyncio.run(_receive_endless(drawn))
