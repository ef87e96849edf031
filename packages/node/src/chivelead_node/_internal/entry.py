"""HTTP entry: callers from outside, and the target's own calls."""

import asyncio
import hashlib
import secrets

from aiohttp import web
from chivelead_config import DocumentSet
from chivelead_coordination import (
    GuardClient,
    RateLimiter,
    hash_idempotency_key,
)
from chivelead_protocol import (
    CallReply,
    ChiveleadError,
    GuardVerdict,
    now_ms,
)

from chivelead_node._internal import calls
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.inbound import InboundCalls
from chivelead_node._internal.metrics import Metrics
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.requests import (
    authenticate,
    find_route,
    forwarded_headers,
    read_body,
    time_allowed_ms,
)
from chivelead_node._internal.responses import (
    answer_response,
    problem_response,
    recorded_reply,
)

_BAD_REQUEST = 400
_UNAUTHORISED = 401
_NOT_FOUND = 404
_TOO_MANY = 429
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_MS_PER_S = 1000
_ID_BYTES = 8
_IDEMPOTENCY_LENGTH_MOST = 256


class Entry:
    """Turn HTTP requests into calls, and replies into HTTP answers.

    Args:
        outbound: Runs the calls.
        inbound: Knows the requests in flight, by token.
        limiter: Enforces the rates.
        guard: Reaches the guards of idempotency keys.
        events: Log of events.
        metrics: Counters.
        body_limit_bytes: Largest request body.
    """

    def __init__(  # noqa: WPS211
        self,
        outbound: OutboundCalls,
        inbound: InboundCalls,
        limiter: RateLimiter,
        guard: GuardClient,
        events: EventLog,
        metrics: Metrics,
        body_limit_bytes: int,
    ) -> None:
        """Start without documents."""
        self.in_flight = 0
        self.closing = False
        self.is_stale = False
        self._outbound = outbound
        self._inbound = inbound
        self._limiter = limiter
        self._guard = guard
        self._events = events
        self._metrics = metrics
        self._body_limit = body_limit_bytes
        self._documents: DocumentSet | None = None
        self._guarded: set[asyncio.Task[CallReply]] = set()

    def apply(self, documents: DocumentSet) -> None:
        """Take in new documents."""
        self._documents = documents
        self._limiter.apply(documents)

    async def answer_caller(self, request: web.BaseRequest) -> web.Response:
        """Answer a request from outside."""
        return await self._answer(request, local=False)

    async def answer_target(self, request: web.BaseRequest) -> web.Response:
        """Answer a call that the target of this VM makes."""
        return await self._answer(request, local=True)

    async def _answer(
        self,
        request: web.BaseRequest,
        *,
        local: bool,
    ) -> web.Response:
        request_id = secrets.token_hex(_ID_BYTES)
        started_ms = now_ms()
        self.in_flight += 1
        try:
            if local:
                reply = await self._run_local(request)
            else:
                reply = await self._run_root(request, request_id)
        except calls.RefusedCallError as error:
            response = problem_response(error.refusal, request_id)
        else:
            response = answer_response(reply, request_id)
        finally:
            self.in_flight -= 1
        self._metrics.timing('call', now_ms() - started_ms)
        self._metrics.count(f'status.{response.status}')
        if self.closing:
            response.force_close()
        return response

    async def _run_root(
        self,
        request: web.BaseRequest,
        request_id: str,
    ) -> CallReply:
        arrived_ms = now_ms()
        documents, service, path = self._locate(request)
        route = find_route(documents, service, request.method, path)
        organisation = authenticate(documents, route, request)
        self._check_staleness(documents, service)
        deadline_ms = arrived_ms + time_allowed_ms(request, route)
        body = await read_body(request, self._body_limit)
        self._events.call(
            'arrived',
            request_id,
            organisation=organisation,
            service=service,
            importance=route.importance,
        )
        await self._take_tokens(documents, organisation, service)
        allowance = documents.services[service].section.retry_allowance
        call = calls.Call(
            request_id=request_id,
            service=service,
            route=route.path,
            method=route.method,
            path=path,
            headers=forwarded_headers(request),
            body=body,
            organisation=organisation,
            importance=route.importance,
            idempotent=route.idempotent,
            deadline_ms=deadline_ms,
            allowance=calls.Allowance(allowance),
        )
        return await self._run_guarded(call, request)

    async def _run_local(self, request: web.BaseRequest) -> CallReply:
        token = request.headers.get(calls.HEADER_TOKEN, '')
        parent = self._inbound.find_running(token)
        if parent is None:
            return await self._run_open(request)
        documents, service, path = self._locate(request)
        route = find_route(documents, service, request.method, path)
        deadline_ms = min(
            parent.deadline_ms,
            now_ms() + time_allowed_ms(request, route),
        )
        if deadline_ms <= now_ms():
            raise calls.refused(
                _GATEWAY_TIMEOUT,
                'deadline',
                'the deadline of the root request has passed',
            )
        call = calls.Call(
            request_id=parent.request_id,
            service=service,
            route=route.path,
            method=route.method,
            path=path,
            headers=forwarded_headers(request),
            body=await read_body(request, self._body_limit),
            organisation=parent.organisation,
            importance=parent.importance,
            idempotent=route.idempotent,
            deadline_ms=deadline_ms,
            allowance=parent.allowance,
        )
        return await self._run_guarded(call, request)

    async def _run_open(self, request: web.BaseRequest) -> CallReply:
        """Run a target's call without a token: only on an open route."""
        documents, service, path = self._locate(request)
        route = find_route(documents, service, request.method, path)
        if not route.open:
            raise calls.refused(
                _UNAUTHORISED,
                'no-token',
                'send the Chivelead-Token of the request being served',
            )
        return await self._run_root(request, secrets.token_hex(_ID_BYTES))

    async def _run_guarded(
        self,
        call: calls.Call,
        request: web.BaseRequest,
    ) -> CallReply:
        """Run a call, once only if it carries an idempotency key."""
        key = request.headers.get(calls.HEADER_IDEMPOTENCY, '')
        if call.idempotent or not key:
            return await self._outbound.run(call)
        if len(key) > _IDEMPOTENCY_LENGTH_MOST:
            raise calls.refused(
                _BAD_REQUEST,
                'bad-idempotency-key',
                f'at most {_IDEMPOTENCY_LENGTH_MOST} characters',
            )
        digest = hash_idempotency_key(call.organisation, call.service, key)
        claim_id = secrets.token_hex(_ID_BYTES)
        verdict = await self._ask_guard(call, digest, claim_id)
        if verdict.decision != 'run':
            return recorded_reply(verdict)
        # The run goes on when the caller has gone, so that the guard learns
        # how it ended and can tell a caller that sends the key again.
        running = asyncio.create_task(
            self._run_to_the_end(call, digest, claim_id),
        )
        self._guarded.add(running)
        running.add_done_callback(self._guarded.discard)
        return await asyncio.shield(running)

    async def _run_to_the_end(
        self,
        call: calls.Call,
        digest: str,
        claim_id: str,
    ) -> CallReply:
        self.in_flight += 1
        try:
            reply = await self._outbound.run(call)
            await self._guard.finish(digest, claim_id, reply)
        finally:
            self.in_flight -= 1
        return reply

    async def _ask_guard(
        self,
        call: calls.Call,
        digest: str,
        claim_id: str,
    ) -> GuardVerdict:
        fingerprint = hashlib.sha256(
            f'{call.method} {call.path}\n'.encode() + call.body,
        ).hexdigest()
        try:
            verdict = await self._guard.begin(digest, fingerprint, claim_id)
        except ChiveleadError as error:
            raise calls.refused(
                _UNAVAILABLE,
                'guard-unreachable',
                'the guard of this idempotency key cannot be reached',
                retry_after_ms=_MS_PER_S,
            ) from error
        if verdict.decision == 'not-guard':
            raise calls.refused(
                _UNAVAILABLE,
                'guard-unreachable',
                'the guard of this idempotency key is changing',
                retry_after_ms=_MS_PER_S,
            )
        return verdict

    def _locate(
        self,
        request: web.BaseRequest,
    ) -> tuple[DocumentSet, str, str]:
        documents = self._documents
        if documents is None or documents.version == 0:
            raise calls.refused(
                _UNAVAILABLE,
                'no-documents',
                'this node has no documents yet',
                retry_after_ms=_MS_PER_S,
            )
        service, _, rest = request.path_qs.lstrip('/').partition('/')
        if service not in documents.services:
            raise calls.refused(
                _NOT_FOUND,
                'unknown-service',
                'the first part of the path names no service',
            )
        return documents, service, f'/{rest}'

    def _check_staleness(self, documents: DocumentSet, service: str) -> None:
        cut_off = documents.services[service].section.cut_off
        if self.is_stale and cut_off == 'refuse':
            raise calls.refused(
                _UNAVAILABLE,
                'stale-documents',
                'cut off from the platform for too long',
            )

    async def _take_tokens(
        self,
        documents: DocumentSet,
        organisation: str,
        service: str,
    ) -> None:
        names = documents.buckets_for(organisation, service)
        if not names:
            return
        retry_after_ms = await self._limiter.take(names)
        if retry_after_ms > 0:
            self._metrics.count('refused.rate')
            raise calls.refused(
                _TOO_MANY,
                'rate',
                'the organisation has used up its rate and burst',
                retry_after_ms=retry_after_ms,
            )
