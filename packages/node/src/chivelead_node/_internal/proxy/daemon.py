"""A node on the platform: wiring, start, and graceful shutdown."""

import asyncio
import logging
import random
import secrets
import time

import aiohttp
from aiohttp import web
from chivelead_config import TargetNews, TrafficPlan
from chivelead_coordination import FleetQuota, FleetRate, Membership
from chivelead_platform import (
    HEADERS,
    PLAN_KEY,
    Address,
    PlatformStore,
    ProcessSettings,
    Question,
    classify,
    parse_news,
    parse_plan,
)
from chivelead_policy import (
    LIMITS,
    QUEUES,
    ROUTERS,
    Admission,
    FleetBudgetRetries,
    RetryBudget,
)
from chivelead_protocol import (
    CallCancel,
    CallRequest,
    ConfigurationError,
    HybridClock,
    Member,
    PeerServer,
    Ping,
    PlanPull,
    Pong,
    ProtocolError,
    Pulse,
    TargetState,
    now_ms,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.inbound import InboundCalls
from chivelead_node._internal.lines import LineLog
from chivelead_node._internal.links import LinkPool
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.pressure import PressureTable
from chivelead_node._internal.proxy.dialect import PlatformDialect
from chivelead_node._internal.proxy.directory import FleetDirectory
from chivelead_node._internal.proxy.entry import ProxyEntry
from chivelead_node._internal.proxy.metrics import ProxyMetrics
from chivelead_node._internal.proxy.plan_feed import PlanFeed
from chivelead_node._internal.proxy.pulses import PulseTask
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.targets import LocalTarget

logger = logging.getLogger(__name__)

METRICS_PORT = 9464
METRICS_PATH = '/metrics'

_BOOT_BYTES = 8
_MS_PER_S = 1000
_STORE_TIMEOUT_MS = 1000.0
_EVENTS_KEPT = 2000
_SEED_BITS = 32
_ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
_NEWS_LIMIT_BYTES = 65_536
# Callers of the VM are sent elsewhere after two failed questions, one each
# second; until then they still come here.
_CALLERS_LEAVE_MS = 2500.0
# Kept back from the time until SIGKILL for the last steps.
_GRACE_RESERVE_MS = 600.0
_POLL_S = 0.05
_TEND_PERIOD_S = 0.5
_HEALTH_TIMEOUT_S = 0.5
_HEALTH_PERIOD_S = 0.3
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
# The platform has no secret to hand to its processes, and a node that starts
# while the store is away must be able to join its peers.
_LINK_SECRET = b''


class ProxyDaemon:
    """One node beside one target on the platform.

    Args:
        settings: Settings of the process, decoded.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Create the parts; nothing listens yet."""
        self._settings = settings
        self._clock = HybridClock()
        self.events = EventLog(
            settings.vm,
            self._clock,
            _EVENTS_KEPT,
            log_calls=False,
        )
        self._lines = LineLog()
        self._metrics = ProxyMetrics()
        self._membership = Membership(_first_entry(settings))
        self._links = LinkPool(self._membership, _LINK_SECRET, self._clock)
        self._store = PlatformStore(settings.store.address, _STORE_TIMEOUT_MS)
        self._quota = FleetQuota()
        self._admission = Admission(
            LIMITS.find('adaptive')(),
            QUEUES.find('importance-fair')(),
        )
        self._target = LocalTarget(_ANSWER_LIMIT_BYTES)
        self._registration = TargetRegistration(
            self._target,
            self._admission,
            self.events,
            settings.announce_period_ms,
        )
        self._inbound = InboundCalls(
            self._target,
            self._admission,
            self.events,
            self._metrics,
            PlatformDialect(HEADERS, self._target_id),
        )
        self._pressure = PressureTable(random.getrandbits(_SEED_BITS))
        self._entry = ProxyEntry(
            HEADERS,
            settings.own_service,
            self._make_outbound(),
            self._quota,
            self.events,
            self._metrics,
        )
        self._feed = PlanFeed(
            self._store,
            PLAN_KEY,
            parse_plan,
            self._links,
            self.events,
        )
        self._pulses = PulseTask(
            self._membership,
            self._links,
            self._quota,
            self._feed,
            self._admission,
            self._pressure,
            self.events,
        )
        self._directory = FleetDirectory(
            self._store,
            self._membership,
            self._pulses.heard_ms,
            self.events,
        )
        self._peer_server = PeerServer(
            settings.vm,
            _LINK_SECRET,
            self._clock,
            self._answer_peer,
        )
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    async def start(self) -> None:
        """Listen, then join the fleet.

        Raises:
            ConfigurationError: A port is in use.
        """
        settings = self._settings
        await self._lines.start()
        self._feed.listen(self._apply)
        await self._store.start()
        await self._links.start()
        try:
            await self._listen()
        except OSError as error:
            raise ConfigurationError('listen', str(error)) from error
        for part in (self._feed, self._pulses, self._directory):
            await part.start()
        self._tasks = [asyncio.create_task(self._tend_forever())]
        if not settings.first_start:
            self._tasks.append(asyncio.create_task(self._probe_target()))
        self.events.node(
            'node-started',
            boot_id=self._membership.own.boot_id,
            service=settings.own_service,
            failure_domain=settings.failure_domain,
        )

    async def close(self) -> None:
        """Shut down without cutting off a request in flight."""
        stop_ms = now_ms()
        latest_ms = stop_ms + self._settings.bounds.grace_ms - _GRACE_RESERVE_MS
        self.events.node('node-closing', in_flight=self._entry.in_flight)
        self._stopping = True
        self._inbound.draining = True
        self._entry.closing = True
        self._publish()
        self._pulses.tell_soon()
        while now_ms() < latest_ms:
            await asyncio.sleep(_POLL_S)
            is_late = now_ms() - stop_ms > _CALLERS_LEAVE_MS
            if is_late:
                self._entry.refusing = True
                if not (self._entry.in_flight or self._inbound.in_flight):
                    break
        self.events.node(
            'node-closed',
            waited_ms=round(now_ms() - stop_ms),
            in_flight=self._entry.in_flight,
        )
        await self._stop_parts()

    def reload(self) -> None:
        """Note that the settings may have changed."""
        self.events.node('reload', effect='none; read at the next start')

    async def _stop_parts(self) -> None:
        for task in self._tasks:
            task.cancel()
        for part in (self._pulses, self._feed, self._directory):
            await part.close()
        await self._links.close()
        await self._target.close()
        await self._store.close()
        await self._lines.close()

    async def _listen(self) -> None:
        settings = self._settings
        await self._peer_server.start(settings.host, settings.peer_port)
        await self._serve(settings.callers_address, self._entry.answer)
        await self._serve(settings.probes_address, self._answer_platform)
        if settings.announcements_address != settings.probes_address:
            await self._serve(
                settings.announcements_address,
                self._answer_platform,
            )
        await self._serve(
            Address(settings.host, METRICS_PORT),
            self._answer_metrics,
        )

    async def _serve(self, address: Address, answer: object) -> None:
        server = web.Server(
            answer,  # type: ignore[arg-type]
            handler_cancellation=True,
            keepalive_timeout=20,
            access_log=None,
            max_line_size=16_384,
            max_field_size=16_384,
        )
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(
            runner,
            address.host,
            address.port,
            backlog=1024,
        ).start()

    async def _answer_peer(self, vm: str, body: object) -> object:
        if isinstance(body, CallRequest):
            return await self._inbound.answer(body)
        if isinstance(body, Pulse):
            return self._pulses.answer(vm, body)
        if isinstance(body, CallCancel):
            self._inbound.cancel(body.attempt_id)
            return None
        if isinstance(body, PlanPull):
            return self._feed.answer_pull()
        if isinstance(body, Ping):
            return Pong()
        raise ProtocolError(
            f'answer {vm}',
            f'{type(body).__name__} is no message to a node',
        )

    async def _answer_platform(self, request: web.BaseRequest) -> web.Response:
        question = classify(
            request.method,
            request.path,
            request.query.get('call', ''),
        )
        target_id = request.query.get('of', '')
        if question is Question.readiness:
            return web.Response(status=self._readiness())
        if question is Question.departure:
            await self._registration.leave(target_id)
            self._publish()
            self._pulses.tell_soon()
            return web.json_response({})
        if question is Question.announcement:
            return await self._answer_announcement(request, target_id)
        return web.Response(status=_NOT_FOUND)

    async def _answer_announcement(
        self,
        request: web.BaseRequest,
        target_id: str,
    ) -> web.Response:
        try:
            news = parse_news(
                target_id,
                await request.content.read(_NEWS_LIMIT_BYTES),
            )
            self._check_service(news)
        except ConfigurationError as error:
            self.events.node('bad-announcement', why=str(error)[:160])
            return web.Response(status=_BAD_REQUEST)
        if await self._registration.take(news, self._connections(news)):
            self._publish()
        return web.json_response({})

    def _check_service(self, news: TargetNews) -> None:
        known = self._feed.current.services
        if news.service != self._settings.own_service and (
            news.service not in known
        ):
            raise ConfigurationError(
                'read announcement',
                f'unknown service {news.service!r:.40}',
            )

    def _connections(self, news: TargetNews) -> int:
        service = self._feed.current.services.get(news.service)
        most = service.connections_most if service else 0
        return most or news.slots * 2

    def _readiness(self) -> int:
        is_ready = self._feed.current.version > 0 and not self._stopping
        return _OK if is_ready else _UNAVAILABLE

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=_NOT_FOUND)
        return web.Response(
            body=self._metrics.page(),
            content_type='text/plain',
        )

    def _apply(self, plan: TrafficPlan) -> None:
        self._quota.apply(
            {
                name: FleetRate(
                    organisation.rate_per_s,
                    max(1.0, organisation.burst_requests),
                )
                for name, organisation in plan.organisations.items()
                if organisation.rate_per_s > 0
            },
        )
        self._entry.apply(plan)

    def _publish(self) -> None:
        """Tell the fleet the state of the target, if it changed."""
        state = self._registration.state
        announcement = self._target.announcement
        if announcement is not None and state is TargetState.ready:
            state = announcement.state
        if self._inbound.draining:
            state = TargetState.draining
        before = self._membership.own
        news = self._registration.news
        self._membership.update_own(
            service=news.service if news else '',
            target_state=str(state),
            target_slots=news.slots if news else 0,
        )
        if self._membership.own is not before:
            self.events.node(
                'target-state',
                state=state,
                before=before.target_state,
                target=self._target_id(),
            )
            self._pulses.tell_soon()

    def _target_id(self) -> str:
        return self._registration.target_id

    async def _tend_forever(self) -> None:
        while True:
            await asyncio.sleep(_TEND_PERIOD_S)
            self._publish()
            pressure = self._admission.pressure()
            self._metrics.gauge('load', pressure.load)
            self._metrics.gauge('shed', pressure.shed_level)
            self._metrics.gauge('plan', self._feed.current.version)
            self._metrics.gauge('peers', len(self._membership.alive()))
            self._metrics.gauge('lines_left_out', self._lines.left_out)

    async def _probe_target(self) -> None:
        """Find a target that was there before this process."""
        address = self._settings.target_address
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_HEALTH_TIMEOUT_S),
        ) as session:
            while not self._registration.target_id:
                service = self._feed.current.services.get(
                    self._settings.own_service,
                )
                if service is not None:
                    url = (
                        f'http://{address.host}:{address.port}'
                        f'{service.health_path}'
                    )
                    await self._probe_once(session, url)
                await asyncio.sleep(_HEALTH_PERIOD_S)

    async def _probe_once(
        self,
        session: aiohttp.ClientSession,
        url: str,
    ) -> None:
        try:
            async with session.get(url) as answer:
                target_id = answer.headers.get(HEADERS.target_id, '')
                load = answer.headers.get(HEADERS.target_load, '')
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.events.node('probe-failed', why=str(error) or 'timeout')
            return
        slots = load.rpartition(',')[2].strip()
        if status != _OK or not target_id or not slots.isdigit():
            return
        address = self._settings.target_address
        news = TargetNews(
            target_id=target_id,
            started_ms=0,
            sequence=0,
            service=self._settings.own_service,
            host=address.host,
            port=address.port,
            slots=int(slots),
            state=TargetState.ready,
            warmup_left_ms=0,
        )
        if not self._registration.target_id:
            await self._registration.take(news, self._connections(news))
            self._publish()

    def _make_outbound(self) -> OutboundCalls:
        bounds = self._settings.bounds
        return OutboundCalls(
            self._membership,
            self._links,
            self._inbound.answer,
            self._inbound.cancel,
            ROUTERS.find('nearest-two')(random.getrandbits(_SEED_BITS)),
            FleetBudgetRetries(
                RetryBudget(
                    bounds.retry_ratio,
                    bounds.retry_window_ms,
                    bounds.retry_slack,
                ),
                self._count_nodes,
            ),
            self.events,
            self._pressure,
        )

    def _count_nodes(self) -> int:
        return len(self._membership.alive())


def _first_entry(settings: ProcessSettings) -> Member:
    return Member(
        vm=settings.vm,
        boot_id=secrets.token_hex(_BOOT_BYTES),
        # Later starts in this slot go before earlier ones.
        incarnation=int(time.time() * _MS_PER_S),
        version=1,
        alive=True,
        relay=False,
        host=settings.host,
        peer_port=settings.peer_port,
        failure_domain=settings.failure_domain,
        region=settings.region
        or settings.regions.get(settings.failure_domain, ''),
        service='',
        target_state=str(TargetState.gone),
        target_slots=0,
        target_connections=0,
        shares=(),
    )
