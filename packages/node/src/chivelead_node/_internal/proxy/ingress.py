"""HTTP ingress for callers and for calls made by the target on this VM."""

import asyncio
import math
import random

from aiohttp import web
from chivelead_config import (
    MAX_IMPORTANCE,
    HeaderNames,
    PlanRoute,
    TrafficPlan,
    key_digest,
)
from chivelead_coordination import FleetQuota
from chivelead_policy import WeightedSplit
from chivelead_protocol import Headers, loop_ms

from chivelead_node._internal import calls
from chivelead_node._internal.body_memory import (
    BodyKind,
    BodyMemory,
    BodyShare,
)
from chivelead_node._internal.body_reader import read_body
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.call_runner import CallRunner
from chivelead_node._internal.proxy.metrics import ProxyMetrics
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.responses import (
    add_jitter,
    response_from_refusal,
    response_from_reply,
)
from chivelead_node._internal.raw_headers import decode_headers
from chivelead_node._internal.request_ends import RequestEnds

_UNAUTHORISED = 401
_NOT_FOUND = 404
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_MS_PER_S = 1000
# Fraction of its latency objective that a request may wait for admission. A
# request that waits longer counts as delayed, and the caller is better served
# by a refusal and a retry.
_QUEUE_WAIT_FRACTION = 0.125
# Calls by targets may wait longer, since refusing one wastes the work already
# done for its parent requests.
_TARGET_CALL_QUEUE_WAIT_FRACTION = 0.5
# Leaves time for the overload to subside before a refused caller retries.
_SHED_RETRY_AFTER_MS = 700.0
# Large bodies are usually forwarded by then.
_MEMORY_RETRY_AFTER_MS = 500.0
# By then, a node without a plan has received one, and a node that is shutting
# down no longer gets requests.
_UNAVAILABLE_RETRY_AFTER_MS = 200.0
_SEED_BITS = 32
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


class ProxyIngress:
    """Convert HTTP requests to calls, and their replies to HTTP responses.

    Args:
        header_names: Names of the headers of callers and targets.
        own_service: Service of the target on this VM.
        runner: Runs the calls.
        quota: Rate limits of organisations.
        overload: Tells which requests lead to overloaded services.
        events: Event log.
        metrics: Counters and histograms.
        ends: Records the requests that end without the answer of a target.
        body_memory: Memory for the bodies of requests and responses.
    """

    def __init__(  # noqa: WPS211
        self,
        header_names: HeaderNames,
        own_service: str,
        runner: CallRunner,
        quota: FleetQuota,
        overload: FleetOverload,
        events: EventLog,
        metrics: ProxyMetrics,
        ends: RequestEnds,
        body_memory: BodyMemory,
    ) -> None:
        """Create an ingress without a plan, which refuses all requests."""
        self.in_flight = 0
        # Late in the shutdown: refuse new requests of callers, and those of the
        # target unless it is at work on others.
        self.refusing = False
        self.refusing_target_calls = False
        self._header_names = header_names
        self._own_service = own_service
        self._runner = runner
        self._quota = quota
        self._overload = overload
        self._events = events
        self._metrics = metrics
        self._ends = ends
        self._body_memory = body_memory
        self._plan: TrafficPlan | None = None
        self._splits: dict[str, WeightedSplit] = {}
        self._dropped_headers = _HOP_BY_HOP_HEADERS | frozenset(
            (
                'authorization',
                header_names.time_left_ms.lower(),
                header_names.organisation.lower(),
                header_names.origin_service.lower(),
                header_names.expected_target.lower(),
            ),
        )

        # Targets need these, so a caller cannot name them as headers that
        # concern its connection only (RFC 9110, section 7.6.1).
        self._kept_headers = frozenset(
            ('host', header_names.request_id.lower())
        )

    def apply(self, plan: TrafficPlan) -> None:
        """Apply a new plan; calls in progress keep the previous one."""
        self._plan = plan
        self._splits = {
            route.name: WeightedSplit(
                [weighted.weight for weighted in route.weighted_services],
                random.getrandbits(_SEED_BITS),
            )
            for routes in plan.routes_by_host.values()
            for route in routes
            if len(route.weighted_services) > 1
        }

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle a request of a caller or of the target."""
        arrived_ms = loop_ms()
        request_id = request.headers.get(self._header_names.request_id, '')
        self.in_flight += 1
        try:
            return await self._respond(request, request_id, arrived_ms)
        except asyncio.CancelledError:
            self._record_end(request_id, arrived_ms, 'caller-gone', status=0)
            raise
        finally:
            self.in_flight -= 1

    async def _respond(
        self,
        request: web.BaseRequest,
        request_id: str,
        arrived_ms: float,
    ) -> web.StreamResponse:
        share = self._body_memory.open_share(BodyKind.request)
        try:
            return await self._respond_with_share(
                request, request_id, arrived_ms, share
            )
        finally:
            share.close()

    async def _respond_with_share(
        self,
        request: web.BaseRequest,
        request_id: str,
        arrived_ms: float,
        share: BodyShare,
    ) -> web.StreamResponse:
        try:
            call = await self._build_call(
                request, request_id, arrived_ms, share
            )
        except calls.RefusedCallError as error:
            refusal = error.refusal
            self._record_end(
                request_id,
                arrived_ms,
                refusal.reason,
                status=refusal.status,
                why=refusal.detail,
                retry_after_ms=round(refusal.retry_after_ms),
            )
            return response_from_refusal(refusal)
        reply = await self._runner.run(call, request.protocol)
        self._ends.record_reply(reply)
        response = response_from_reply(reply)
        response.hold_memory(self._body_memory.hold(response.size_bytes))
        self._record_end(
            request_id,
            arrived_ms,
            reply.reason or 'answered',
            status=response.status,
            service=call.service,
            vms=','.join(call.attempted_vms),
            organisation=call.organisation,
            importance=call.importance,
            left_ms=round(call.deadline_ms - loop_ms()),
            outcome=reply.outcome,
        )
        return response

    async def _read_body(
        self, request: web.BaseRequest, share: BodyShare, limit_bytes: int
    ) -> bytes:
        if not request.can_read_body:
            return b''
        try:
            return await self._runner.timeouts.run(
                read_body(
                    request,
                    share,
                    limit_bytes,
                    add_jitter(_MEMORY_RETRY_AFTER_MS),
                )
            )
        except TimeoutError as error:
            raise _unavailable('closing') from error

    def _check_refusing(self, *, is_target_call: bool) -> None:
        if self.refusing_target_calls or (self.refusing and not is_target_call):
            raise _unavailable('closing')

    async def _build_call(
        self,
        request: web.BaseRequest,
        request_id: str,
        arrived_ms: float,
        share: BodyShare,
    ) -> calls.Call:
        plan = self._plan
        if self.refusing_target_calls:
            raise _unavailable('closing')
        if plan is None:
            raise _unavailable('no-plan')
        raw_path = request.raw_path
        route = plan.find_route(
            request.headers.get('Host', '').partition(':')[0].lower(),
            raw_path.partition('?')[0],
        )
        if route is None:
            raise calls.refusal_error(
                _NOT_FOUND, 'unknown-route', 'no such route'
            )
        organisation = self._authenticate(plan, route, request)
        is_target_call = plan.has_organisations and not organisation
        self._check_refusing(is_target_call=is_target_call)
        remaining_ms = self._remaining_ms(request, route)
        service = self._choose_service(route)
        importance = _request_importance(plan, route, organisation)
        if is_target_call:
            self._overload.call_graph_learner.record_call(route.name)
        else:
            self._check_rate(organisation)
            self._check_overload(route, service, importance)
        body = await self._read_body(
            request, share, plan.limits.body_limit_bytes
        )
        # A call that begins late could not end before the node does.
        self._check_refusing(is_target_call=is_target_call)
        wait_fraction = (
            _TARGET_CALL_QUEUE_WAIT_FRACTION
            if is_target_call
            else _QUEUE_WAIT_FRACTION
        )
        return calls.Call(
            request_id=request_id,
            service=service,
            route=route.name,
            method=request.method,
            path=raw_path,
            headers=self._forwarded_headers(request),
            body=body,
            organisation=organisation,
            importance=importance,
            idempotent=route.idempotent,
            deadline_ms=arrived_ms + remaining_ms,
            allowance=calls.RetryAllowance(route.max_attempts - 1),
            queue_limit_ms=route.objective_ms * wait_fraction,
            body_share=share,
        )

    def _authenticate(
        self,
        plan: TrafficPlan,
        route: PlanRoute,
        request: web.BaseRequest,
    ) -> str:
        """Return the organisation that the key belongs to.

        Returns:
            Name of the organisation; an empty string if no key is needed.
        """
        authorization = request.headers.get('Authorization', '')
        if not plan.has_organisations or (route.open and not authorization):
            return ''
        scheme, _, key = authorization.partition(' ')
        organisation = None
        if scheme.lower() == self._header_names.key_scheme.lower():
            digest = key_digest(key.strip())
            organisation = plan.organisations_by_digest.get(digest)
        if organisation is None:
            raise calls.refusal_error(
                _UNAUTHORISED,
                'bad-key',
                'the key is missing, unknown or withdrawn',
            )
        return organisation

    def _remaining_ms(
        self,
        request: web.BaseRequest,
        route: PlanRoute,
    ) -> float:
        header_value = request.headers.get(self._header_names.time_left_ms, '')
        try:
            remaining_ms = float(header_value)
        except ValueError:
            return route.timeout_ms
        if math.isnan(remaining_ms):
            return route.timeout_ms
        if remaining_ms <= 0:
            raise _unavailable('deadline')
        return min(remaining_ms, route.timeout_ms)

    def _check_rate(self, organisation: str) -> None:
        if not organisation:
            return
        wait_ms = self._quota.take(organisation)
        if wait_ms:
            raise calls.refusal_error(
                _TOO_MANY_REQUESTS,
                'rate',
                f'{organisation} has used up its rate and burst:'
                f' {self._quota.describe(organisation)}',
                retry_after_ms=wait_ms,
            )

    def _check_overload(
        self, route: PlanRoute, service: str, importance: int
    ) -> None:
        overloaded = self._overload.find_overloaded_service(
            route, service, importance
        )
        if overloaded:
            raise calls.refusal_error(
                _UNAVAILABLE,
                'shed',
                f'{overloaded} is overloaded',
                retry_after_ms=add_jitter(_SHED_RETRY_AFTER_MS),
            )

    def _choose_service(self, route: PlanRoute) -> str:
        split = self._splits.get(route.name)
        return route.weighted_services[split.choose() if split else 0].service

    def _forwarded_headers(self, request: web.BaseRequest) -> Headers:
        """Return the headers to forward to the target, without the key."""
        dropped = self._dropped_headers
        connection_header = request.headers.get('Connection')
        if connection_header:
            options = connection_header.lower().split(',')
            dropped = dropped.union(
                {option.strip() for option in options} - self._kept_headers
            )
        kept = [
            (name, header_value)
            for name, header_value in decode_headers(request.raw_headers)
            if name.lower() not in dropped
        ]
        kept.append((self._header_names.origin_service, self._own_service))
        return tuple(kept)

    def _record_end(
        self,
        request_id: str,
        arrived_ms: float,
        ending: str,
        **fields: object,
    ) -> None:
        elapsed_ms = loop_ms() - arrived_ms
        self._metrics.record_request(ending, elapsed_ms)
        self._events.record_decision(
            'served' if ending == 'answered' else 'failed',
            'request-ended',
            request_id,
            ending=ending,
            elapsed_ms=round(elapsed_ms, 1),
            plan=self._plan.version if self._plan else 0,
            **fields,
        )


def _request_importance(
    plan: TrafficPlan,
    route: PlanRoute,
    organisation: str,
) -> int:
    """Return the importance of a request.

    If the plan has organisations, a request without a key counts as a call by a
    target.  It gets the highest importance, because refusing it would waste the
    work already done for its parent request.
    """
    if not organisation:
        return MAX_IMPORTANCE if plan.has_organisations else route.importance
    organisation_importance = plan.organisations[organisation].importance
    return (
        route.importance
        if organisation_importance is None
        else organisation_importance
    )


def _unavailable(reason: str) -> calls.RefusedCallError:
    return calls.refusal_error(
        _UNAVAILABLE,
        reason,
        'this node cannot take the request now',
        retry_after_ms=_UNAVAILABLE_RETRY_AFTER_MS,
    )
