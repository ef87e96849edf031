"""HTTP requests from external callers and from the local target."""

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
    GuardDecision,
    now_ms,
)

from chivelead_node._internal import calls
from chivelead_node._internal.body_memory import (
    BodyKind,
    BodyMemory,
    BodyShare,
)
from chivelead_node._internal.body_reader import read_body
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.inbound import InboundCalls
from chivelead_node._internal.metrics import StatsdMetrics
from chivelead_node._internal.outbound import OutboundCalls
from chivelead_node._internal.request_ends import RequestEnds
from chivelead_node._internal.requests import (
    authenticate,
    call_timeout_ms,
    find_route,
    forwarded_headers,
)
from chivelead_node._internal.responses import (
    problem_response,
    recorded_reply,
    response_from_reply,
)
from chivelead_node._internal.server_connection import (
    is_asked_to_leave,
    pass_on,
)

_BAD_REQUEST = 400
_UNAUTHORISED = 401
_NOT_FOUND = 404
_TOO_MANY = 429
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_MS_PER_S = 1000
_ID_BYTES = 8
_MAX_IDEMPOTENCY_KEY_LENGTH = 256


class HttpIngress:
    """Convert HTTP requests to calls and replies to HTTP responses.

    Args:
        outbound: Sends calls to targets.
        inbound: Finds the running request that a token identifies.
        limiter: Rate limiter for organisations.
        guard: Client for the nodes that track idempotency keys.
        events: Event log.
        metrics: Counters and timings.
        ends: Records the requests that end without the answer of a target.
        body_limit_bytes: Maximum size of a request body.
        body_memory: Memory for the bodies of requests and responses.
    """

    def __init__(  # noqa: WPS211
        self,
        outbound: OutboundCalls,
        inbound: InboundCalls,
        limiter: RateLimiter,
        guard: GuardClient,
        events: EventLog,
        metrics: StatsdMetrics,
        ends: RequestEnds,
        body_limit_bytes: int,
        body_memory: BodyMemory,
    ) -> None:
        """Create an ingress without configuration documents."""
        self.in_flight = 0
        # At a stop: calls of the target that serve no request are refused.
        self.closing = False
        # At the end of the stop: refuse all requests.
        self.refusing = False
        self.has_stale_documents = False
        self._outbound = outbound
        self._inbound = inbound
        self._limiter = limiter
        self._guard = guard
        self._events = events
        self._metrics = metrics
        self._ends = ends
        self._body_limit_bytes = body_limit_bytes
        self._body_memory = body_memory
        self._documents: DocumentSet | None = None
        self._guarded_tasks: set[asyncio.Task[CallReply]] = set()

    def apply(self, documents: DocumentSet) -> None:
        """Apply a new version of the configuration documents."""
        self._documents = documents
        self._limiter.apply(documents)

    async def handle_caller_request(
        self, request: web.BaseRequest
    ) -> web.Response:
        """Respond to a request from an external caller."""
        return await self._handle_request(request, is_local=False)

    async def handle_target_request(
        self, request: web.BaseRequest
    ) -> web.Response:
        """Respond to a request from the target on this VM.

        Usually it is a child call: one made to serve another request, the
        parent, which the token in the headers identifies.
        """
        return await self._handle_request(request, is_local=True)

    async def _handle_request(
        self,
        request: web.BaseRequest,
        *,
        is_local: bool,
    ) -> web.Response:
        request_id = secrets.token_hex(_ID_BYTES)
        started_ms = now_ms()
        share = self._body_memory.open_share(BodyKind.request)
        self.in_flight += 1
        try:
            self._refuse_if_closing(request)
            if is_local:
                reply = await self._run_child_request(request, share)
            else:
                reply = await self._run_root_request(request, request_id, share)
        except calls.RefusedCallError as error:
            response = problem_response(error.refusal, request_id)
        else:
            self._ends.record_reply(reply)
            response = response_from_reply(reply, request_id, self._body_memory)
        finally:
            share.close()
            self.in_flight -= 1
        self._metrics.timing('call', now_ms() - started_ms)
        self._metrics.count(f'status.{response.status}')
        return response

    async def _read_body(
        self, request: web.BaseRequest, share: BodyShare
    ) -> bytes:
        if not request.can_read_body:
            return b''
        return await read_body(
            request, share, self._body_limit_bytes, _MS_PER_S
        )

    def _refuse_if_closing(self, request: web.BaseRequest) -> None:
        if self.refusing or is_asked_to_leave(request):
            raise _closing_error()

    async def _run_root_request(
        self,
        request: web.BaseRequest,
        request_id: str,
        share: BodyShare,
    ) -> CallReply:
        arrived_ms = now_ms()
        documents, service, path = self._resolve_service(request)
        route = find_route(documents, service, request.method, path)
        organisation = authenticate(documents, route, request)
        self._refuse_if_stale(documents, service)
        deadline_ms = arrived_ms + call_timeout_ms(request, route)
        body = await self._read_body(request, share)
        self._events.record_call_event(
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
            allowance=calls.RetryAllowance(allowance),
            body_share=share,
        )
        return await self._run_with_idempotency_key(call, request)

    async def _run_child_request(
        self, request: web.BaseRequest, share: BodyShare
    ) -> CallReply:
        token = request.headers.get(calls.HEADER_TOKEN, '')
        parent = self._inbound.find_running(token)
        if parent is None:
            return await self._run_without_token(request, share)
        documents, service, path = self._resolve_service(request)
        route = find_route(documents, service, request.method, path)
        deadline_ms = min(
            parent.deadline_ms,
            now_ms() + call_timeout_ms(request, route),
        )
        if deadline_ms <= now_ms():
            raise calls.refusal_error(
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
            body=await self._read_body(request, share),
            organisation=parent.organisation,
            importance=parent.importance,
            idempotent=route.idempotent,
            deadline_ms=deadline_ms,
            allowance=parent.allowance,
            body_share=share,
        )
        return await self._run_with_idempotency_key(call, request)

    async def _run_without_token(
        self, request: web.BaseRequest, share: BodyShare
    ) -> CallReply:
        """Run a target's call without a token; allowed only on open routes."""
        if self.closing:
            raise _closing_error()
        documents, service, path = self._resolve_service(request)
        route = find_route(documents, service, request.method, path)
        if not route.open:
            raise calls.refusal_error(
                _UNAUTHORISED,
                'no-token',
                'send the Chivelead-Token of the request being served',
            )
        return await self._run_root_request(
            request, secrets.token_hex(_ID_BYTES), share
        )

    async def _run_with_idempotency_key(
        self,
        call: calls.Call,
        request: web.BaseRequest,
    ) -> CallReply:
        """Run a call, at most once if it has an idempotency key."""
        pass_on(request, call.attempted_vms)
        key = request.headers.get(calls.HEADER_IDEMPOTENCY, '')
        if call.idempotent or not key:
            return await self._outbound.run(call)
        if len(key) > _MAX_IDEMPOTENCY_KEY_LENGTH:
            raise calls.refusal_error(
                _BAD_REQUEST,
                'bad-idempotency-key',
                f'at most {_MAX_IDEMPOTENCY_KEY_LENGTH} characters',
            )
        digest = hash_idempotency_key(call.organisation, call.service, key)
        claim_id = secrets.token_hex(_ID_BYTES)
        guard_decision = await self._claim_idempotency_key(
            call, digest, claim_id
        )
        if guard_decision.decision != 'run':
            return recorded_reply(guard_decision)
        # The call continues if the caller disconnects, so that the guard (the
        # node that tracks the key) can record the outcome and return it when
        # the key is sent again.
        task = asyncio.create_task(
            self._run_to_completion(call, digest, claim_id),
        )
        self._guarded_tasks.add(task)
        task.add_done_callback(self._guarded_tasks.discard)
        share = call.body_share
        if share is not None:
            share.retain()
            task.add_done_callback(lambda _: share.close())
        return await asyncio.shield(task)

    async def _run_to_completion(
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

    async def _claim_idempotency_key(
        self,
        call: calls.Call,
        digest: str,
        claim_id: str,
    ) -> GuardDecision:
        fingerprint = hashlib.sha256(
            f'{call.method} {call.path}\n'.encode() + call.body,
        ).hexdigest()
        try:
            guard_decision = await self._guard.begin(
                digest, fingerprint, claim_id
            )
        except ChiveleadError as error:
            raise calls.refusal_error(
                _UNAVAILABLE,
                'guard-unreachable',
                'the guard of this idempotency key cannot be reached',
                retry_after_ms=_MS_PER_S,
            ) from error
        if guard_decision.decision == 'not-guard':
            raise calls.refusal_error(
                _UNAVAILABLE,
                'guard-unreachable',
                'the guard of this idempotency key is changing',
                retry_after_ms=_MS_PER_S,
            )
        return guard_decision

    def _resolve_service(
        self,
        request: web.BaseRequest,
    ) -> tuple[DocumentSet, str, str]:
        documents = self._documents
        if documents is None or documents.version == 0:
            raise calls.refusal_error(
                _UNAVAILABLE,
                'no-documents',
                'this node has no documents yet',
                retry_after_ms=_MS_PER_S,
            )
        service, _, remaining_path = request.path_qs.lstrip('/').partition('/')
        if service not in documents.services:
            raise calls.refusal_error(
                _NOT_FOUND,
                'unknown-service',
                'the first part of the path names no service',
            )
        return documents, service, f'/{remaining_path}'

    def _refuse_if_stale(self, documents: DocumentSet, service: str) -> None:
        cut_off = documents.services[service].section.cut_off
        if self.has_stale_documents and cut_off == 'refuse':
            raise calls.refusal_error(
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
        bucket_names = documents.bucket_names_for(organisation, service)
        if not bucket_names:
            return
        retry_after_ms = await self._limiter.take(bucket_names)
        if retry_after_ms > 0:
            self._metrics.count('refused.rate')
            raise calls.refusal_error(
                _TOO_MANY,
                'rate',
                'the organisation has used up its rate and burst',
                retry_after_ms=retry_after_ms,
            )


def _closing_error() -> calls.RefusedCallError:
    return calls.refusal_error(
        _UNAVAILABLE,
        'closing',
        'this node is shutting down',
        retry_after_ms=_MS_PER_S,
    )
