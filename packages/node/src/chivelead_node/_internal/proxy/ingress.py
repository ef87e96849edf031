"""The way in for callers and for the target of this VM."""

import asyncio
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
from chivelead_protocol import CallReply, Headers, Outcome, loop_ms

from chivelead_node._internal import calls
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.proxy.metrics import ProxyMetrics
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.responses import (
    refusal_response,
    reply_response,
    spread,
)
from chivelead_node._internal.requests import read_body

_UNAUTHORISED = 401
_NOT_FOUND = 404
_TOO_MANY = 429
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_MS_PER_S = 1000
# A request may wait this part of its objective for admission; beyond that it
# counts as held, and the caller does better to come back.
_QUEUE_PART = 0.125
# A call of a target waits longer: with it the work of its parents is lost.
_INNER_QUEUE_PART = 0.5
# Refused callers come back when overload has had time to pass.
_SHED_RETRY_MS = 700.0
# A node without a plan, or about to close, is back or left by then.
_UNAVAILABLE_RETRY_MS = 200.0
_SEED_BITS = 32
_HOP_HEADERS = frozenset(
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
    """Turn HTTP requests into calls, and replies into answers.

    Args:
        names: Names of the headers at the edges.
        own_service: Service of the target on this VM.
        outbound: Runs the calls.
        quota: Enforces the rates of organisations.
        overload: Knows which requests lead to overloaded services.
        events: Log of events.
        metrics: Counters and histograms.
        held_limit_bytes: Most bytes of bodies that are held at once.
    """

    def __init__(  # noqa: WPS211
        self,
        names: HeaderNames,
        own_service: str,
        outbound: OutboundCalls,
        quota: FleetQuota,
        overload: FleetOverload,
        events: EventLog,
        metrics: ProxyMetrics,
        held_limit_bytes: float,
    ) -> None:
        """Start without a plan."""
        self.in_flight = 0
        self.closing = False
        self.refusing = False
        self._names = names
        self._own_service = own_service
        self._outbound = outbound
        self._quota = quota
        self._overload = overload
        self._events = events
        self._metrics = metrics
        self._held_limit_bytes = held_limit_bytes
        self._held_bytes = 0
        self._plan: TrafficPlan | None = None
        self._splits: dict[str, WeightedSplit] = {}
        self._own_headers = _HOP_HEADERS | frozenset(
            (
                'authorization',
                names.time_left_ms.lower(),
                names.organisation.lower(),
                names.origin_service.lower(),
                names.expected_target.lower(),
            ),
        )

    def apply(self, plan: TrafficPlan) -> None:
        """Take in a new plan; calls under way keep theirs."""
        self._plan = plan
        self._splits = {
            route.name: WeightedSplit(
                [part.weight for part in route.weighted_services],
                random.getrandbits(_SEED_BITS),
            )
            for routes in plan.routes_by_host.values()
            for route in routes
            if len(route.weighted_services) > 1
        }

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        arrived_ms = loop_ms()
        request_id = request.headers.get(self._names.request_id, '')
        self.in_flight += 1
        try:
            response = await self._answer(request, request_id, arrived_ms)
        except asyncio.CancelledError:
            self._note(request_id, arrived_ms, 'caller-gone', status=0)
            raise
        finally:
            self.in_flight -= 1
        if self.closing:
            response.force_close()
        return response

    async def _answer(
        self,
        request: web.BaseRequest,
        request_id: str,
        arrived_ms: float,
    ) -> web.StreamResponse:
        try:
            call = await self._accept(request, request_id, arrived_ms)
        except calls.RefusedCallError as error:
            refusal = error.refusal
            self._note(
                request_id,
                arrived_ms,
                refusal.reason,
                status=refusal.status,
                why=refusal.detail,
                retry_after_ms=round(refusal.retry_after_ms),
            )
            return refusal_response(refusal)
        self._held_bytes += len(call.body)
        try:
            reply = await self._run(call)
        finally:
            self._held_bytes -= len(call.body)
        response = reply_response(reply)
        self._note(
            request_id,
            arrived_ms,
            reply.reason or 'answered',
            status=response.status,
            service=call.service,
            organisation=call.organisation,
            importance=call.importance,
            left_ms=round(call.deadline_ms - loop_ms()),
            outcome=reply.outcome,
        )
        return response

    async def _run(self, call: calls.Call) -> CallReply:
        try:
            async with asyncio.timeout_at(call.deadline_ms / _MS_PER_S):
                return await self._outbound.run(call)
        except TimeoutError:
            return calls.refusal_reply(
                calls.Refusal(
                    _GATEWAY_TIMEOUT,
                    'timeout',
                    Outcome.unknown,
                    'no answer came in time',
                ),
            )

    async def _accept(
        self,
        request: web.BaseRequest,
        request_id: str,
        arrived_ms: float,
    ) -> calls.Call:
        plan = self._plan
        if plan is None or self.refusing:
            raise _unavailable('no-plan' if plan is None else 'closing')
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
        left_ms = self._time_left_ms(request, route)
        service = self._choose_service(route)
        is_inner = plan.has_organisations and not organisation
        importance = _importance(plan, route, organisation)
        if is_inner:
            self._overload.learner.record_call(route.name)
        else:
            self._take_token(organisation)
            self._shed(route, service, importance)
        if self._held_bytes + (request.content_length or 0) > (
            self._held_limit_bytes
        ):
            raise _unavailable('memory')
        body = await read_body(request, plan.limits.body_limit_bytes)
        wait_part = _INNER_QUEUE_PART if is_inner else _QUEUE_PART
        return calls.Call(
            request_id=request_id,
            service=service,
            route=route.name,
            method=request.method,
            path=raw_path,
            headers=self._forwarded(request),
            body=body,
            organisation=organisation,
            importance=importance,
            idempotent=route.idempotent,
            deadline_ms=arrived_ms + left_ms,
            allowance=calls.RetryAllowance(route.max_attempts - 1),
            queue_limit_ms=route.objective_ms * wait_part,
        )

    def _authenticate(
        self,
        plan: TrafficPlan,
        route: PlanRoute,
        request: web.BaseRequest,
    ) -> str:
        """Return the organisation of the key; empty on an open route."""
        text = request.headers.get('Authorization', '')
        if not plan.has_organisations or (route.open and not text):
            return ''
        scheme, _, key = text.partition(' ')
        organisation = None
        if scheme.lower() == self._names.key_scheme.lower():
            digest = key_digest(key.strip())
            organisation = plan.organisations_by_digest.get(digest)
        if organisation is None:
            raise calls.refusal_error(
                _UNAUTHORISED,
                'bad-key',
                'the key is missing, unknown or withdrawn',
            )
        return organisation

    def _time_left_ms(
        self,
        request: web.BaseRequest,
        route: PlanRoute,
    ) -> float:
        text = request.headers.get(self._names.time_left_ms, '')
        try:
            left_ms = float(text)
        except ValueError:
            return route.timeout_ms
        if left_ms <= 0:
            raise _unavailable('deadline')
        return min(left_ms, route.timeout_ms)

    def _take_token(self, organisation: str) -> None:
        if not organisation:
            return
        wait_ms = self._quota.take(organisation)
        if wait_ms:
            raise calls.refusal_error(
                _TOO_MANY,
                'rate',
                f'{organisation} has used up its rate and burst:'
                f' {self._quota.level(organisation):.1f} left',
                retry_after_ms=wait_ms,
            )

    def _shed(self, route: PlanRoute, service: str, importance: int) -> None:
        overloaded = self._overload.sheds(route, service, importance)
        if overloaded:
            raise calls.refusal_error(
                _UNAVAILABLE,
                'shed',
                f'{overloaded} is overloaded',
                retry_after_ms=spread(_SHED_RETRY_MS),
            )

    def _choose_service(self, route: PlanRoute) -> str:
        split = self._splits.get(route.name)
        return route.weighted_services[split.choose() if split else 0].service

    def _forwarded(self, request: web.BaseRequest) -> Headers:
        """Return the headers for the target; none of them holds the key."""
        dropped = self._own_headers
        named = request.headers.get('Connection')
        if named:
            words = named.lower().split(',')
            dropped = dropped.union(word.strip() for word in words)
        kept = [
            (name, text)
            for name, text in request.headers.items()
            if name.lower() not in dropped
        ]
        kept.append((self._names.origin_service, self._own_service))
        return tuple(kept)

    def _note(
        self,
        request_id: str,
        arrived_ms: float,
        ending: str,
        **fields: object,
    ) -> None:
        elapsed_ms = loop_ms() - arrived_ms
        self._metrics.answered(ending, elapsed_ms)
        self._events.record_decision(
            'served' if ending == 'answered' else 'failed',
            'request-ended',
            request_id,
            ending=ending,
            elapsed_ms=round(elapsed_ms, 1),
            plan=self._plan.version if self._plan else 0,
            **fields,
        )


def _importance(
    plan: TrafficPlan,
    route: PlanRoute,
    organisation: str,
) -> int:
    """Return the rank of a request.

    Calls of targets carry no key.  Their parents were let in, so refusing
    them would waste work; they go first.
    """
    if not organisation:
        return MAX_IMPORTANCE if plan.has_organisations else route.importance
    rank = plan.organisations[organisation].importance
    return route.importance if rank is None else rank


def _unavailable(reason: str) -> calls.RefusedCallError:
    return calls.refusal_error(
        _UNAVAILABLE,
        reason,
        'this node cannot take the request now',
        retry_after_ms=_UNAVAILABLE_RETRY_MS,
    )
