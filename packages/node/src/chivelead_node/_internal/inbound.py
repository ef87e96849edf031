"""Calls to the target of this node: admission, execution and reply."""

import asyncio
import functools
import hashlib
from typing import Any

from chivelead_policy import (
    Admission,
    AdmissionRequest,
    Completion,
    RefusalReason,
    RefusedError,
)
from chivelead_protocol import (
    CallReply,
    CallRequest,
    Headers,
    Outcome,
    TargetState,
    loop_ms,
)

from chivelead_node._internal import calls, inbound_replies
from chivelead_node._internal.dialects import TargetDialect
from chivelead_node._internal.call_failures import NO_RESPONSE, CallFailure
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.metrics import CallMetrics
from chivelead_node._internal.request_guard import HARMFUL_REQUEST, RequestGuard
from chivelead_node._internal.target_notices import (
    OwnTargetNotices,
    SignalRecorder,
)
from chivelead_node._internal.targets import (
    LocalTarget,
    TargetFailedError,
    TargetResponse,
)

_MAX_REMEMBERED_ID_LENGTH = 128
_MAX_REMEMBERED_ATTEMPTS = 50_000
_MS_PER_S = 1000
_UNAVAILABLE = 503


class AdmissionObserver:
    """Receives the admission result and the end of each call.

    The default implementation ignores all notifications.
    """

    def admitted(self, request: CallRequest) -> None:
        """Handle a call that was admitted to the target."""

    def refused(self, request: CallRequest, reason: RefusalReason) -> None:
        """Handle a call that was refused before it reached the target."""

    def ended(
        self,
        request: CallRequest,
        *,
        answered: bool,
        failure: CallFailure | None = None,
    ) -> None:
        """Handle the end of an admitted call.

        Args:
            request: Call that ended.
            answered: Whether the target returned a complete response in time.
            failure: Why it did not; None if the call was given up.
        """


class InboundCalls:
    """Run calls from this node and from other nodes at the local target.

    Args:
        target: Client for the target.
        admission: Admission control for the calls.
        events: Event log.
        metrics: Counters and timings.
        dialect: Header conventions of the target.
        observer: Receives admission results; optional.
        notices: What the target says about the work that it takes; optional.
        guard: Refuses requests that end targets; optional.
    """

    def __init__(  # noqa: WPS211
        self,
        target: LocalTarget,
        admission: Admission,
        events: EventLog,
        metrics: CallMetrics,
        dialect: TargetDialect,
        observer: AdmissionObserver | None = None,
        notices: OwnTargetNotices | None = None,
        guard: RequestGuard | None = None,
    ) -> None:
        """Create a handler with no calls running."""
        self.draining = False
        self.in_flight = 0
        self._target = target
        self._admission = admission
        self._events = events
        self._metrics = metrics
        self._dialect = dialect
        self._observer = observer or AdmissionObserver()
        self._notices = notices or OwnTargetNotices()
        self._guard = guard or RequestGuard()
        self._running_by_token: dict[str, calls.RunningRequest] = {}
        self._tasks_by_attempt: dict[str, asyncio.Task[Any]] = {}
        self._started_attempts: dict[str, None] = {}
        # Attempts of non-idempotent calls.  Cancelling one would leave its
        # outcome unknown without any benefit.
        self._uncancellable_attempts: set[str] = set()
        self._admitted_attempts: set[str] = set()
        self._withdrawn: set[str] = set()

    def find_running(self, token: str) -> calls.RunningRequest | None:
        """Return the running request that a token identifies, or None."""
        return self._running_by_token.get(token)

    async def handle_call(self, request: CallRequest) -> CallReply:
        """Run a call, or refuse it, and return the reply."""
        if _remembered_id(request.attempt_id) in self._started_attempts:
            return calls.refusal_reply(
                calls.Refusal(
                    _UNAVAILABLE,
                    'repeated-attempt',
                    Outcome.unknown,
                    'this attempt was started before',
                ),
            )
        self._remember_attempt(request.attempt_id)
        task = asyncio.current_task()
        if task is not None:
            self._tasks_by_attempt[request.attempt_id] = task
        self.in_flight += 1
        try:
            return await self._run(request)
        except asyncio.CancelledError:
            if task is None or request.attempt_id not in self._withdrawn:
                raise
            task.uncancel()
            return inbound_replies.withdrawn_reply()
        finally:
            self._forget_attempt(request.attempt_id)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt whose caller has gone.

        Has no effect on a non-idempotent attempt once it has been admitted.
        The reply to an attempt that was not admitted is a refusal.
        """
        task = self._tasks_by_attempt.get(attempt_id)
        if task is None or attempt_id in self._uncancellable_attempts:
            return
        if attempt_id not in self._admitted_attempts:
            self._withdrawn.add(attempt_id)
        task.cancel()

    def refuses_new_work(self, service: str) -> bool:
        """Return whether no target on this VM accepts calls to the service."""
        announcement = self._target.announcement
        if self.draining or announcement is None:
            return True
        # The VM may have been reassigned to another service since the node of
        # the caller last received its state.
        if announcement.service != service:
            return True
        return announcement.state != TargetState.ready

    def _remember_attempt(self, attempt_id: str) -> None:
        self._started_attempts[_remembered_id(attempt_id)] = None
        if len(self._started_attempts) > _MAX_REMEMBERED_ATTEMPTS:
            self._started_attempts.pop(next(iter(self._started_attempts)))

    def _forget_attempt(self, attempt_id: str) -> None:
        self.in_flight -= 1
        self._tasks_by_attempt.pop(attempt_id, None)
        self._uncancellable_attempts.discard(attempt_id)
        self._admitted_attempts.discard(attempt_id)
        self._withdrawn.discard(attempt_id)

    async def _run(self, request: CallRequest) -> CallReply:
        if request.notice is not None:
            self._notices.apply_peer_notice(request.notice)
        allowance = calls.RetryAllowance(request.retry_allowance)
        refusal = self._guard.find_refusal(request)
        if refusal is not None:
            return self._with_load_report(
                calls.refusal_reply(refusal), allowance
            )
        arrived_ms = loop_ms()
        deadline_ms = arrived_ms + request.timeout_ms
        try:
            await self._admit(request, deadline_ms)
        except RefusedError as error:
            self._metrics.count(f'refused.{error.reason}')
            self._observer.refused(request, error.reason)
            self._events.record_call_event(
                'refused',
                request.request_id,
                attempt_id=request.attempt_id,
                organisation=request.organisation,
                importance=request.importance,
                service=request.service,
                reason=error.reason,
                waited_ms=round(loop_ms() - arrived_ms, 1),
                in_flight=self._admission.in_flight,
                load=round(self._admission.current_load().load, 2),
            )
            return self._with_load_report(
                inbound_replies.admission_refusal_reply(error.reason), allowance
            )
        self._admitted_attempts.add(request.attempt_id)
        self._observer.admitted(request)
        self._events.record_call_event(
            'admitted',
            request.request_id,
            attempt_id=request.attempt_id,
            organisation=request.organisation,
            importance=request.importance,
            waited_ms=round(loop_ms() - arrived_ms, 1),
        )
        return await self._run_admitted(request, allowance, deadline_ms)

    async def _admit(self, request: CallRequest, deadline_ms: float) -> None:
        if self.refuses_new_work(request.service):
            raise RefusedError(RefusalReason.draining)
        await self._admission.admit(
            AdmissionRequest(
                request.organisation,
                request.importance,
                deadline_ms,
                request.queue_limit_ms,
            ),
        )

    async def _run_admitted(
        self,
        request: CallRequest,
        allowance: calls.RetryAllowance,
        deadline_ms: float,
    ) -> CallReply:
        token = self._dialect.make_token(request)
        self._running_by_token[token] = calls.RunningRequest(
            request_id=request.request_id,
            organisation=request.organisation,
            importance=request.importance,
            deadline_ms=deadline_ms,
            allowance=allowance,
        )
        started_ms = loop_ms()
        if not request.idempotent:
            self._uncancellable_attempts.add(request.attempt_id)
        # The reply if neither a response nor a failure arrives in time.
        reply = inbound_replies.timeout_reply()
        shed = False
        failed = True
        failure: CallFailure | None = None
        self._guard.started(request)
        try:
            async with asyncio.timeout_at(deadline_ms / _MS_PER_S):
                response = await self._call_target(request, token, deadline_ms)
            failed = False
            shed = self._dialect.is_overload_refusal(response)
            reply = inbound_replies.reply_from_response(response, shed=shed)
            if not shed:
                self._guard.answered(request)
        except TargetFailedError as error:
            # The head of the response has come.
            failed = not error.lacks_memory
            if failed:
                failure = CallFailure(
                    str(error), is_response=error.may_have_run
                )
            reply = await self._reply_to_failure(request, error)
        except TimeoutError:
            failure = NO_RESPONSE
            self._metrics.count('target.timeout')
        finally:
            self._running_by_token.pop(token)
            self._release(
                request, started_ms, failure, shed=shed, failed=failed
            )
        self._record_end(request, reply, loop_ms() - started_ms)
        return self._with_load_report(reply, allowance)

    async def _reply_to_failure(
        self, request: CallRequest, error: TargetFailedError
    ) -> CallReply:
        is_failure = error.may_have_run and not error.lacks_memory
        if is_failure and await self._guard.is_final_failure(request):
            return calls.refusal_reply(HARMFUL_REQUEST)
        return inbound_replies.target_failure_reply(error)

    def _release(
        self,
        request: CallRequest,
        started_ms: float,
        failure: CallFailure | None,
        *,
        shed: bool,
        failed: bool,
    ) -> None:
        self._guard.ended(request)
        self._observer.ended(request, answered=not failed, failure=failure)
        self._admission.release(
            Completion(
                latency_ms=loop_ms() - started_ms,
                shed=shed,
                failed=failed,
                in_flight=self._admission.in_flight,
            ),
        )

    async def _call_target(
        self,
        request: CallRequest,
        token: str,
        deadline_ms: float,
    ) -> TargetResponse:
        dialect_headers = self._dialect.request_headers(
            request,
            token,
            deadline_ms - loop_ms(),
        )
        return await self._target.call(
            request.method,
            request.path,
            request.headers + dialect_headers,
            request.body,
            functools.partial(
                self._accept_response,
                request,
                self._notices.response_recorder(),
            ),
        )

    def _accept_response(
        self,
        request: CallRequest,
        record_signals: SignalRecorder,
        status: int,
        headers: Headers,
    ) -> bool:
        """Return whether a response belongs to a request; record its head."""
        is_match = self._dialect.is_response_to(request, status, headers)
        if is_match:
            record_signals(status, headers)
        return is_match

    def _record_end(
        self,
        request: CallRequest,
        reply: CallReply,
        elapsed_ms: float,
    ) -> None:
        self._metrics.timing('target', elapsed_ms)
        self._events.record_call_event(
            'target-failed' if reply.reason else 'target-answered',
            request.request_id,
            attempt_id=request.attempt_id,
            status=reply.status,
            reason=reply.reason,
            outcome=reply.outcome,
            elapsed_ms=round(elapsed_ms, 1),
        )

    def _with_load_report(
        self,
        reply: CallReply,
        allowance: calls.RetryAllowance,
    ) -> CallReply:
        admission_load = self._admission.current_load()
        return CallReply(
            status=reply.status,
            headers=reply.headers,
            body=reply.body,
            outcome=reply.outcome,
            reason=reply.reason,
            retry_allowance=allowance.remaining,
            shed_level=float(admission_load.shed_level),
            queue_ms=admission_load.queue_ms,
            load=admission_load.load,
            downstream_shed_level=float(allowance.max_downstream_level),
            notice=self._notices.current(),
        )


def _remembered_id(attempt_id: str) -> str:
    """Return an ID, or a digest of one that is long, as it is kept for long."""
    if len(attempt_id) <= _MAX_REMEMBERED_ID_LENGTH:
        return attempt_id
    return hashlib.sha256(attempt_id.encode()).hexdigest()
