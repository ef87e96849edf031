"""An HTTP server on connections that know which answers are due on them."""

import contextlib
import math

from aiohttp import web
from chivelead_node._internal.connection_set import ServerConnections
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.metrics import CallMetrics
from chivelead_node._internal.request_ends import RequestEnds
from chivelead_node._internal.server_connection import ConnectionServer
from chivelead_protocol import HybridClock
from chivelead_protocol.bounds import ConnectionMemory, edges

from lib.fake_platform import HOST, free_ports

ID_HEADER = 'X-Request-Id'


class NoMetrics(CallMetrics):
    """Metrics that are not kept."""

    def count(self, name):
        """Count nothing."""

    def count_end(self, cause):
        """Count nothing."""

    def timing(self, name, elapsed_ms):
        """Record nothing."""


def make_connections(
    connections_type=ServerConnections, events=None, memory=None
):
    """Return a set without connections."""
    events = events or EventLog('vm-1', HybridClock(), 100, log_calls=False)
    return connections_type(
        events,
        ID_HEADER,
        RequestEnds(events, NoMetrics()),
        edges.CALLERS,
        memory or ConnectionMemory(math.inf),
    )


@contextlib.asynccontextmanager
async def serving(respond, connections, **options):
    """Run a server; return its port."""
    port = free_ports(1)[0]
    server = ConnectionServer(respond, connections, access_log=None, **options)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, HOST, port).start()
    try:
        yield port
    finally:
        await runner.cleanup()
