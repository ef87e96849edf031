"""The HTTP servers of a node: callers, probes, announcements, metrics."""

import dataclasses
from collections.abc import Awaitable, Callable

from aiohttp import web
from chivelead_config import NodeRequestKind, TargetAnnouncement
from chivelead_protocol import ConfigurationError

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.metrics import ProxyMetrics
from chivelead_node._internal.proxy.target_state import TargetStatePublisher

METRICS_PATH = '/metrics'

_NEWS_LIMIT_BYTES = 65_536
# Longer than any idle timeout that operators set for callers, so that the
# node never closes a connection on which a request may be under way.
_IDLE_TIMEOUT_S = 20.0
_HEADER_LIMIT_BYTES = 16_384
# Connections that wait for the loop in a burst; the kernel may cut it down.
_BACKLOG = 1024
_SHUTDOWN_TIMEOUT_S = 0.1
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503

Answer = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True)
class ControlApiFormat:
    """How questions to a node's own addresses are told apart and read.

    Attributes:
        classify: Takes the method, the path, and the parameter ``call``.
        parse_news: Takes the identity of a target and a body.
    """

    classify: Callable[[str, str, str], NodeRequestKind]
    parse_news: Callable[[str, bytes], TargetAnnouncement]


class HttpServers:
    """Listen on several addresses."""

    def __init__(self) -> None:
        """Start with none."""
        self._runners: list[web.ServerRunner] = []

    async def listen(self, host: str, port: int, answer: Answer) -> None:
        """Serve an address.

        Raises:
            ConfigurationError: The port is in use.
        """
        server = web.Server(
            answer,
            handler_cancellation=True,
            keepalive_timeout=_IDLE_TIMEOUT_S,
            access_log=None,
            max_line_size=_HEADER_LIMIT_BYTES,
            max_field_size=_HEADER_LIMIT_BYTES,
        )
        runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, host, port, backlog=_BACKLOG)
        try:
            await site.start()
        except OSError as error:
            raise ConfigurationError(
                f'listen on {host}:{port}',
                error.strerror or str(error),
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        for runner in self._runners:
            await runner.cleanup()


class ControlApi:
    """Answer the platform's probes and the announcements of the target.

    Args:
        dialect: How questions are read.
        publisher: Takes in the news.
        is_ready: Tells whether callers may come.
        events: Log of events.
    """

    def __init__(
        self,
        dialect: ControlApiFormat,
        publisher: TargetStatePublisher,
        is_ready: Callable[[], bool],
        events: EventLog,
    ) -> None:
        """Keep the parts."""
        self._dialect = dialect
        self._publisher = publisher
        self._is_ready = is_ready
        self._events = events

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one question."""
        question = self._dialect.classify(
            request.method,
            request.path,
            request.query.get('call', ''),
        )
        target_id = request.query.get('of', '')
        if question is NodeRequestKind.readiness:
            return web.Response(
                status=_OK if self._is_ready() else _UNAVAILABLE,
            )
        if question is NodeRequestKind.departure:
            self._publisher.mark_leaving(target_id)
            return web.json_response({})
        if question is NodeRequestKind.announcement:
            return await self._announcement(request, target_id)
        return web.Response(status=_NOT_FOUND)

    async def _announcement(
        self,
        request: web.BaseRequest,
        target_id: str,
    ) -> web.Response:
        try:
            await self._publisher.apply_announcement(
                self._dialect.parse_news(
                    target_id,
                    await request.content.read(_NEWS_LIMIT_BYTES),
                ),
            )
        except ConfigurationError as error:
            self._events.record_node_event('bad-announcement', why=str(error))
            return web.Response(status=_BAD_REQUEST)
        return web.json_response({})


class MetricsEndpoint:
    """Serve the metrics as text.

    Args:
        metrics: What is served.
    """

    def __init__(self, metrics: ProxyMetrics) -> None:
        """Keep the metrics."""
        self._metrics = metrics

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one question."""
        if request.path != METRICS_PATH:
            return web.Response(status=_NOT_FOUND)
        return web.Response(
            body=self._metrics.page(),
            content_type='text/plain',
        )
