"""Streams of bytes for connections of nodes, in cases that hypothesis draws."""

import asyncio
import os
import types

from chivelead_node._internal.target_connections import TargetConnection
from chivelead_node._internal.targets import LocalTarget, TargetFailedError
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st

# A number of random cases, in place of a few that are always the same.
EXAMPLES = int(os.environ.get('CHIVELEAD_FUZZ_EXAMPLES', '0'))
BODY_LIMIT_BYTES = 400_000
# The tracer of the explain phase takes longer than the tests.
_PHASES = (Phase.generate, Phase.shrink)
_MAX_SMALL_READS = 400
# As in HttpServers.
SERVER_OPTIONS = types.MappingProxyType(
    {
        'handler_cancellation': True,
        'access_log': None,
        'auto_decompress': False,
        'max_line_size': 16_384,
        'max_field_size': 16_384,
        'max_headers': 1024,
        'read_bufsize': 16_384,
    }
)


def fuzz(examples):
    """Return the settings of a test with a number of cases."""
    return settings(
        max_examples=EXAMPLES or examples,
        derandomize=not EXAMPLES,
        database=None,
        deadline=None,
        phases=_PHASES,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )


piece_sizes = st.one_of(
    st.sampled_from((1, 2, 3, 16, 2048, 4096, 16_384, 65_536)),
    st.integers(1, 65_536),
)
read_size_lists = st.lists(
    st.one_of(
        st.sampled_from((1, 2, 5, 1460, 2048, 16_384, 57_000)),
        st.integers(1, 57_000),
    ),
    min_size=1,
    max_size=4,
)


def limit_count(read_sizes, total_bytes):
    """Return sizes with some large reads, if there would be too many."""
    if sum(read_sizes) * _MAX_SMALL_READS > total_bytes * len(read_sizes):
        return read_sizes
    return [*(read_sizes * 20), total_bytes * 20 // _MAX_SMALL_READS]


class _FakePool:
    """Opens connections to peers, one after the other."""

    def __init__(self, peers, memory):
        self._peers = iter(peers)
        self._memory = memory

    async def acquire(self, *, has_body):
        """Open a connection."""
        loop = asyncio.get_running_loop()
        connection = TargetConnection(loop, self._memory)
        connection.prepare_for_responses(has_body=has_body)
        next(self._peers).connect(connection)
        return connection

    def release(self, connection, idle_timeout_ms):
        """Close a connection that could be used again."""
        connection.mark_idle(idle_timeout_ms)
        connection.close()

    def abandon(self, connection):
        """Reset a connection."""
        connection.abort()

    def close(self):
        """Do nothing."""


def make_target(peers, budget):
    """Return a target with one connection to each peer."""
    target = LocalTarget(BODY_LIMIT_BYTES, budget)
    target._pool = _FakePool(peers, budget.connections)
    return target


async def call_target(target):
    """Return the status and body of a response, or None for a failure."""
    try:
        response = await target.call(
            'GET',
            '/x',
            (('Host', 'x'),),
            b'',
            lambda _, headers: ('X-Request-Id', 'mine') in headers,
        )
    except TargetFailedError:
        return None
    return response.status, response.body
