"""Calls from this node to targets: routing, attempts and retries."""

import asyncio
import itertools
import random
from collections.abc import Callable, Collection, Coroutine, Iterable
from typing import Any

from chivelead_coordination import Membership, distance_tier
from chivelead_policy import (
    Candidate,
    OutlierDetector,
    RetryPolicy,
    Router,
)
from chivelead_protocol import (
    CallCancel,
    CallReply,
    CallRequest,
    ChiveleadError,
    EncodingError,
    LinkNotOpenError,
    Member,
    NoRoomError,
    Outcome,
    ReplyTimeoutError,
    TargetState,
    loop_ms,
)

from chivelead_node._internal import attempt_replies, calls
from chivelead_node._internal.body_memory import BodyShare
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.links import LinkPool
from chivelead_node._internal.silent_waits import GiveUp, SilentWait
from chivelead_node._internal.target_estimates import TargetEstimates
from chivelead_node._internal.target_notices import PeerTargetNotices
from chivelead_node._internal.trial_routing import TrialRouting

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_DRAINING_AVOIDANCE_MS = 2000.0
# The new state arrives within this time.
_SUSPENDED_AVOIDANCE_MS = 500.0
# The better of two is chosen, so more candidates would only cost time.
_MAX_CANDIDATES_PER_TIER = 4
_SEED_BITS = 32

LocalHandler = Callable[[CallRequest], Coroutine[Any, Any, CallReply]]


class OutboundCalls:
    """Send calls to the node of a chosen target.

    Args:
        membership: Known nodes and their targets.
        links: Links to the nodes.
        run_at_own_target: Runs a call at the target of this node.
        cancel_at_own_target: Cancels such a call, unless it is non-idempotent
            and already admitted.
        router: Routing policy that chooses among the candidates.
        retries: Retry policy.
        events: Event log.
        estimates: Load, shedding and latency estimates of the targets.
    """

    def __init__(  # noqa: WPS211
        self,
        membership: Membership,
        links: LinkPool,
        run_at_own_target: LocalHandler,
        cancel_at_own_target: Callable[[str], None],
        router: Router,
        retries: RetryPolicy,
        events: EventLog,
        estimates: TargetEstimates,
    ) -> None:
        """Create a sender without any state about targets."""
        self._membership = membership
        self._links = links
        self._run_at_own_target = run_at_own_target
        self._cancel_at_own_target = cancel_at_own_target
        self._local_tasks: set[asyncio.Task[CallReply]] = set()
        self._router = router
        self._retries = retries
        self._events = events
        self._estimates = estimates
        self._outliers = OutlierDetector()
        self._notices = PeerTargetNotices(events)
        self._in_flight: dict[str, int] = {}
        self._draining_until_ms: dict[str, float] = {}
        self._attempt_numbers = itertools.count(1)
        self._random = random.Random()  # noqa: S311
        self._trials = TrialRouting(self._random.getrandbits(_SEED_BITS))

    async def run(self, call: calls.Call) -> CallReply:
        """Run a call, retry it as the policy allows, and return the reply."""
        self._retries.record_request(call.service)
        last_reply: CallReply | None = None
        may_have_run = False
        for retries_done in itertools.count():
            try:
                vm = self._choose_vm(call, call.attempted_vms)
            except calls.RefusedCallError as error:
                reply = last_reply or calls.refusal_reply(error.refusal)
                return attempt_replies.with_uncertain_outcome(
                    reply, may_have_run=may_have_run
                )
            call.attempted_vms.append(vm)
            silent_wait = SilentWait(self._acquire_retry, call, retries_done)
            reply = await self._attempt(call, vm, silent_wait.give_up)
            if not attempt_replies.is_failure(reply):
                self._retries.record_success(call.service)
                return reply
            failure = attempt_replies.make_failure(call, retries_done, reply)
            may_have_run = may_have_run or reply.outcome != Outcome.not_run
            will_retry = silent_wait.has_retry or self._retries.try_acquire(
                failure
            )
            self._events.record_call_event(
                'attempt-failed',
                call.request_id,
                service=call.service,
                to=vm,
                reason=reply.reason,
                outcome=reply.outcome,
                left_ms=round(failure.left_ms),
                allowance=failure.allowance,
                again=will_retry,
                why=attempt_replies.explain_failure(reply),
            )
            if not will_retry:
                return attempt_replies.with_uncertain_outcome(
                    reply, may_have_run=may_have_run
                )
            call.allowance.remaining -= self._retries.retry_cost(failure)
            last_reply = reply
        raise AssertionError('unreachable')

    def _acquire_retry(self, call: calls.Call, retries_done: int) -> bool:
        """Take a retry for a call whose node is silent.

        Returns:
            Whether there is another target with room, and a retry in the
            budget.
        """
        # Targets on trial take one call at a time, and many may wait.
        ready = self._without_failing(
            self._available_members(call.service, call.attempted_vms)
        )
        if not ready or self._would_shed(call, ready):
            return False
        lost = attempt_replies.delivery_failure(
            _UNAVAILABLE, 'link-lost', Outcome.unknown
        )
        return self._retries.try_acquire(
            attempt_replies.make_failure(call, retries_done, lost)
        )

    def _choose_vm(self, call: calls.Call, tried: Collection[str]) -> str:
        on_trial = self._members_on_trial(call.service, tried)
        if on_trial:
            member = self._trials.find(
                on_trial,
                idempotent=call.idempotent,
                node_count=self._membership.count_alive(),
            )
            if member is not None:
                return member.vm
        members = self._available_members(call.service, tried)
        # A call that was refused elsewhere, and must run at most once, is
        # better refused than lost.
        if not members and (call.idempotent or not tried):
            members = on_trial
        if not members:
            raise calls.refusal_error(
                _UNAVAILABLE,
                'no-target',
                f'no target of {call.service} can be reached',
            )
        if self._would_shed(call, members):
            self._events.record_call_event('shed-at-caller', call.request_id)
            raise calls.refusal_error(
                _UNAVAILABLE,
                'overload',
                f'{call.service} has no room for this request',
            )
        healthy_vms = set(
            self._outliers.without_ejected([member.vm for member in members])
        )
        candidates = [
            self._candidate(member)
            for member in members
            if member.vm in healthy_vms
        ]
        return self._router.choose(candidates).vm

    def _would_shed(self, call: calls.Call, members: list[Member]) -> bool:
        """Return whether a call would be refused for lack of room."""
        return self._estimates.would_shed(
            [member.vm for member in members], call.importance
        ) or self._estimates.downstream_would_shed(
            call.service, call.route, call.importance
        )

    def _members_on_trial(
        self, service: str, tried: Collection[str]
    ) -> list[Member]:
        members = self._membership.members_on_trial(service)
        if not members:
            return []
        # They take one call at a time.
        idle = [
            member for member in members if not self._in_flight.get(member.vm)
        ]
        return self._without_failing(self._without_unavailable(idle, tried))

    def _available_members(
        self, service: str, tried: Collection[str]
    ) -> list[Member]:
        """Return some members to choose from, or all if those are unusable."""
        tiers = self._membership.ready_by_distance(service)
        sampled = self._without_unavailable(
            itertools.chain.from_iterable(map(self._sample, tiers)), tried
        )
        reachable = self._without_failing(sampled)
        if reachable:
            return reachable
        members = self._without_unavailable(
            itertools.chain.from_iterable(tiers), tried
        )
        return self._without_failing(members) or members

    def _sample(self, members: tuple[Member, ...]) -> Iterable[Member]:
        if len(members) <= _MAX_CANDIDATES_PER_TIER:
            return members
        return self._random.sample(members, _MAX_CANDIDATES_PER_TIER)

    def _without_unavailable(
        self, members: Iterable[Member], tried: Collection[str]
    ) -> list[Member]:
        time_ms = loop_ms()
        return [
            member
            for member in members
            if member.vm not in tried
            and self._draining_until_ms.get(member.vm, 0) < time_ms
        ]

    def _without_failing(self, members: list[Member]) -> list[Member]:
        return [
            member
            for member in members
            if not self._links.is_failing(member.vm)
            and not self._estimates.is_silent(member.vm)
        ]

    def _counts_as_ready(self, vm: str) -> bool:
        member = self._membership.find(vm)
        return member is not None and member.target_state == TargetState.ready

    def _candidate(self, member: Member) -> Candidate:
        return Candidate(
            vm=member.vm,
            tier=distance_tier(self._membership.own, member),
            slots=member.target_slots,
            in_flight=self._in_flight.get(member.vm, 0),
            load=self._estimates.load(member.vm),
            latency_ms=self._estimates.latency_ms(member.vm),
        )

    async def _attempt(
        self, call: calls.Call, vm: str, give_up: GiveUp
    ) -> CallReply:
        forwarded = self._retries.forwarded_allowance(call.allowance.remaining)
        call.allowance.remaining -= forwarded
        request = self._build_request(call, vm, forwarded)
        self._in_flight[vm] = self._in_flight.get(vm, 0) + 1
        self._events.record_call_event(
            'attempt',
            call.request_id,
            attempt_id=request.attempt_id,
            service=call.service,
            to=vm,
        )
        started_ms = loop_ms()
        try:
            reply = await self._send_attempt(
                vm, request, call.body_share, give_up
            )
        except asyncio.CancelledError:
            self._estimates.record_abandoned_call(vm, loop_ms() - started_ms)
            await self._cancel(vm, request.attempt_id)
            raise
        finally:
            self._in_flight[vm] -= 1
        self._update_estimates(call, vm, reply, loop_ms() - started_ms)
        call.allowance.remaining += min(forwarded, reply.retry_allowance)
        return reply

    def _build_request(
        self, call: calls.Call, vm: str, forwarded: int
    ) -> CallRequest:
        own = self._membership.own
        return CallRequest(
            request_id=call.request_id,
            attempt_id=f'{own.vm}.{own.boot_id}.{next(self._attempt_numbers)}',
            service=call.service,
            route=call.route,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            organisation=call.organisation,
            importance=call.importance,
            idempotent=call.idempotent,
            timeout_ms=call.deadline_ms - loop_ms(),
            retry_allowance=forwarded,
            queue_limit_ms=call.queue_limit_ms,
            notice=self._notices.find(vm),
        )

    async def _send_attempt(
        self,
        vm: str,
        request: CallRequest,
        body_share: BodyShare | None,
        give_up: GiveUp,
    ) -> CallReply:
        if request.timeout_ms <= 0:
            return attempt_replies.delivery_failure(
                _GATEWAY_TIMEOUT, 'deadline', Outcome.not_run
            )
        try:
            reply = await self._deliver(vm, request, body_share, give_up)
        except LinkNotOpenError as error:
            self._outliers.record_failure(vm)
            return attempt_replies.delivery_failure(
                _UNAVAILABLE, 'unreachable', Outcome.not_run, error.cause
            )
        except ReplyTimeoutError:
            await self._cancel(vm, request.attempt_id)
            return attempt_replies.delivery_failure(
                _GATEWAY_TIMEOUT, 'timeout', Outcome.unknown
            )
        except ChiveleadError as error:
            self._outliers.record_failure(vm)
            return attempt_replies.delivery_failure(
                _UNAVAILABLE, 'link-lost', Outcome.unknown, error.cause
            )
        return reply

    async def _deliver(
        self,
        vm: str,
        request: CallRequest,
        body_share: BodyShare | None,
        give_up: GiveUp,
    ) -> CallReply:
        if vm == self._membership.own.vm:
            return await self._run_locally(request, body_share)
        try:
            reply = await self._links.request(
                vm, request, request.timeout_ms, give_up
            )
        except EncodingError:
            return attempt_replies.delivery_failure(
                _UNAVAILABLE, 'not-encodable', Outcome.not_run
            )
        except NoRoomError:
            return attempt_replies.delivery_failure(
                _BAD_GATEWAY, 'memory', Outcome.unknown
            )
        if not isinstance(reply, CallReply):
            raise ChiveleadError(f'call {vm}', 'the reply is not a CallReply')
        return reply

    async def _run_locally(
        self, request: CallRequest, body_share: BodyShare | None
    ) -> CallReply:
        if request.idempotent:
            return await self._run_at_own_target(request)
        # A non-idempotent call must run to its end even if its caller
        # disconnects.
        task = asyncio.ensure_future(self._run_at_own_target(request))
        self._local_tasks.add(task)
        task.add_done_callback(self._local_tasks.discard)
        if body_share is not None:
            body_share.retain()
            task.add_done_callback(lambda _: body_share.close())
        return await asyncio.shield(task)

    async def _cancel(self, vm: str, attempt_id: str) -> None:
        if vm == self._membership.own.vm:
            self._cancel_at_own_target(attempt_id)
            return
        try:
            await self._links.send(vm, CallCancel(attempt_id))
        except ChiveleadError:
            return

    def _update_estimates(
        self,
        call: calls.Call,
        vm: str,
        reply: CallReply,
        elapsed_ms: float,
    ) -> None:
        if reply.reason in attempt_replies.DELIVERY_FAILURES:
            return
        self._notices.record_reply(vm, reply)
        self._trials.record_end(vm, answered=not reply.reason)
        self._estimates.record_reply(vm, reply, elapsed_ms)
        self._estimates.record_downstream_level(
            call.service,
            call.route,
            reply.downstream_shed_level,
        )
        call.allowance.max_downstream_level = max(
            call.allowance.max_downstream_level,
            reply.downstream_shed_level,
            reply.shed_level,
        )
        if reply.reason == 'draining':
            self._draining_until_ms[vm] = loop_ms() + _DRAINING_AVOIDANCE_MS
        if reply.reason == 'target-suspended' and self._counts_as_ready(vm):
            self._draining_until_ms[vm] = loop_ms() + _SUSPENDED_AVOIDANCE_MS
        if reply.reason == 'target-failed':
            self._outliers.record_failure(vm)
        elif reply.reason == '':
            self._outliers.record_success(vm)
