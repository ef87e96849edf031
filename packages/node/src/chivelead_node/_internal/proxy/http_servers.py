"""HTTP servers for callers, probes, announcements and metrics."""

import dataclasses
from collections.abc import Awaitable, Callable

from aiohttp import web
from chivelead_config import NodeRequestKind, TargetAnnouncement
from chivelead_protocol import ConfigurationError, TargetState
from chivelead_protocol.bounds import ConnectionMemory, edges

from chivelead_node._internal.connection_set import ServerConnections
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.departures import DepartureRecords
from chivelead_node._internal.proxy.identifiers import is_identifier
from chivelead_node._internal.proxy.metrics import ProxyMetrics
from chivelead_node._internal.proxy.target_state import TargetStatePublisher
from chivelead_node._internal.request_ends import RequestEnds
from chivelead_node._internal.server_connection import ConnectionServer

METRICS_PATH = '/metrics'

_ANNOUNCEMENT_LIMIT_BYTES = 65_536
# Longer than any idle timeout that operators set for callers, so that the node
# never closes a connection on which a request may already be in transit.
_IDLE_TIMEOUT_S = 20.0
_HEADER_LIMIT_BYTES = 16_384
_MAX_HEADERS = 1024
# Also bounds the number of unread pieces of a body.
_READ_BUFFER_BYTES = 16_384
# Connections that can wait to be accepted in a burst; the kernel may impose a
# lower limit.
_BACKLOG = 1024
_SHUTDOWN_TIMEOUT_S = 0.1
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503

RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True)
class ControlApiFormat:
    """Parsers of requests to the control API of a node.

    Attributes:
        classify: Takes the method, the path and the ``call`` query parameter;
            returns the kind of the request.
        parse_announcement: Takes the ID of a target and the request body;
            returns the announcement.
    """

    classify: Callable[[str, str, str], NodeRequestKind]
    parse_announcement: Callable[[str, bytes], TargetAnnouncement]


@dataclasses.dataclass(frozen=True)
class ConnectionSets:
    """The open connections of a node's HTTP servers.

    Attributes:
        callers: Connections of callers and of the target.
        control: Connections for probes, announcements and metrics.
    """

    callers: ServerConnections
    control: ServerConnections


def make_connection_sets(
    request_id_header: str,
    events: EventLog,
    ends: RequestEnds,
    memory: ConnectionMemory,
) -> ConnectionSets:
    """Return sets without connections.

    Args:
        request_id_header: Name of the header with the ID of a request.
        events: Event log.
        ends: Records the requests that end without an answer.
        memory: Counts what the connections hold.
    """
    return ConnectionSets(
        *(
            ServerConnections(events, request_id_header, ends, edge, memory)
            for edge in (edges.CALLERS, edges.CONTROL)
        )
    )


class HttpServers:
    """HTTP servers on several addresses."""

    def __init__(self) -> None:
        """Create an empty set of servers."""
        self._runners: list[web.ServerRunner] = []

    async def listen(
        self,
        host: str,
        port: int,
        request_handler: RequestHandler,
        connections: ServerConnections,
    ) -> None:
        """Start a server on an address.

        Args:
            host: IP address.
            port: Port.
            request_handler: Handles each request.
            connections: Set that the connections are added to.

        Raises:
            ConfigurationError: The port is in use.
        """
        server = ConnectionServer(
            request_handler,
            connections,
            handler_cancellation=True,
            keepalive_timeout=_IDLE_TIMEOUT_S,
            access_log=None,
            auto_decompress=False,
            max_line_size=_HEADER_LIMIT_BYTES,
            max_field_size=_HEADER_LIMIT_BYTES,
            max_headers=_MAX_HEADERS,
            read_bufsize=_READ_BUFFER_BYTES,
        )
        runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        self._runners.append(runner)
        try:
            sock = connections.edge.open_listener(host, port)
            # Two processes can bind a port, but only one can listen on it.
            await web.SockSite(runner, sock, backlog=_BACKLOG).start()
        except OSError as error:
            raise ConfigurationError(
                f'listen on {host}:{port}',
                error.strerror or str(error),
            ) from error

    async def close(self) -> None:
        """Stop all servers and close their connections."""
        for runner in self._runners:
            await runner.cleanup()


class ControlApi:
    """Handle readiness probes of the platform and announcements of the target.

    Args:
        api_format: Parsers of requests.
        publisher: Receives announcements and departures.
        departures: Keeps departures before they are acknowledged.
        is_ready: Returns whether the node accepts requests of callers.
        events: Event log.
    """

    def __init__(
        self,
        api_format: ControlApiFormat,
        publisher: TargetStatePublisher,
        departures: DepartureRecords,
        is_ready: Callable[[], bool],
        events: EventLog,
    ) -> None:
        """Create the handler."""
        self._api_format = api_format
        self._publisher = publisher
        self._departures = departures
        self._is_ready = is_ready
        self._events = events

    async def handle_request(self, request: web.BaseRequest) -> web.Response:
        """Handle a request to the control API."""
        request_kind = self._api_format.classify(
            request.method,
            request.path,
            request.query.get('call', ''),
        )
        target_id = request.query.get('of', '')
        if request_kind is NodeRequestKind.readiness:
            return web.Response(
                status=_OK if self._is_ready() else _UNAVAILABLE,
            )
        if request_kind is NodeRequestKind.unknown:
            return web.Response(status=_NOT_FOUND)
        if not is_identifier(target_id):
            self._events.record_node_event(
                'bad-announcement', why='invalid ID of the target'
            )
            return web.Response(status=_BAD_REQUEST)
        if request_kind is NodeRequestKind.departure:
            self._publisher.mark_leaving(target_id)
            return await self._acknowledge_departure()
        return await self._handle_announcement(request, target_id)

    async def _handle_announcement(
        self,
        request: web.BaseRequest,
        target_id: str,
    ) -> web.Response:
        try:
            announcement = self._api_format.parse_announcement(
                target_id,
                await request.content.read(_ANNOUNCEMENT_LIMIT_BYTES),
            )
            await self._publisher.apply_announcement(announcement)
        except ConfigurationError as error:
            self._events.record_node_event('bad-announcement', why=str(error))
            return web.Response(status=_BAD_REQUEST)
        if announcement.state is TargetState.draining:
            return await self._acknowledge_departure()
        return web.json_response({})

    async def _acknowledge_departure(self) -> web.Response:
        """Return a success if a restart of this node would not undo it."""
        if await self._departures.wait_until_kept():
            return web.json_response({})
        self._events.record_node_event('departure-not-kept')
        return web.Response(status=_UNAVAILABLE)


class MetricsEndpoint:
    """Serve the metrics in the Prometheus text format.

    Args:
        metrics: Metrics to serve.
    """

    def __init__(self, metrics: ProxyMetrics) -> None:
        """Create the endpoint."""
        self._metrics = metrics

    async def handle_request(self, request: web.BaseRequest) -> web.Response:
        """Serve the metrics, or a 404 response for any other path."""
        if request.path != METRICS_PATH:
            return web.Response(status=_NOT_FOUND)
        return web.Response(
            body=self._metrics.render(),
            content_type='text/plain',
        )
