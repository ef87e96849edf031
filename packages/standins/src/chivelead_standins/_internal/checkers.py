"""Checkers that verify the guarantees of chivelead on recorded test runs.

A guarantee is called a promise here, and has a name such as ``at-most-once``.
Checkers do not depend on the code under test: they read the records of
callers and targets and, for promises about internal decisions, the events
that nodes logged with a timestamp.  Each returns one line per violation.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Sequence

from chivelead_standins._internal.records import (
    CallRecord,
    ExecutionRecord,
    History,
)

Checker = Callable[[History], list[str]]
CHECKERS: dict[str, Checker] = {}

_OK = 200
_MS_PER_S = 1000
_ROUNDING_TOLERANCE = 1e-6
_STAMP_RESOLUTION_MS = 1


def register_checker(promise: str) -> Callable[[Checker], Checker]:
    """Register a checker that takes only the history."""

    def register(check: Checker) -> Checker:
        CHECKERS[promise] = check
        return check

    return register


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """Rate limit and burst size of an organisation."""

    rate_per_s: float
    burst_requests: int


@dataclasses.dataclass(frozen=True)
class Decision:
    """An admission decision by the node of a target.

    Attributes:
        waited_ms: Time that the request was queued before the decision.
    """

    vm: str
    decided_ms: float
    importance: int
    admitted: bool
    waited_ms: float


@register_checker('key-never-at-target')
def check_key_exposure(history: History) -> list[str]:
    """No target receives an API key."""
    return [
        f'{execution.vm} received an API key'
        for execution in history.executions
        if execution.received_key
    ]


@register_checker('right-organisation')
def check_organisation(history: History) -> list[str]:
    """A request is executed only for the organisation that its key is for."""
    sent = {call.trace_id: call.organisation for call in history.calls}
    return [
        f'{execution.trace_id} of {sent[execution.trace_id]} '
        f'was executed for {execution.organisation}'
        for execution in history.executions
        if execution.trace_id in sent
        and sent[execution.trace_id] != execution.organisation
    ]


@register_checker('whole-answers')
def check_responses(history: History) -> list[str]:
    """Every response with status 200 is complete and for its request."""
    return [
        f'{call.trace_id} received a wrong or incomplete response'
        for call in history.calls
        if call.status == _OK and not call.valid
    ]


@register_checker('not-run-is-true')
def check_not_run(history: History) -> list[str]:
    """No request with the outcome not-run was executed."""
    ran = {
        (execution.trace_id, execution.service)
        for execution in history.executions
    }
    return [
        f'{call.trace_id} had the outcome not-run but ran at {call.service}'
        for call in history.calls
        if call.outcome == 'not-run' and (call.trace_id, call.service) in ran
    ]


@register_checker('at-most-once')
def check_idempotency(history: History) -> list[str]:
    """No two executions have the same idempotency key."""
    counts = collections.Counter(
        execution.idempotency_key
        for execution in history.executions
        if execution.idempotency_key
    )
    return [
        f'{key} was executed {count} times'
        for key, count in counts.items()
        if count > 1
    ]


def check_rate(
    history: History,
    organisation: str,
    limit: RateLimit,
) -> list[str]:
    """No time window contains more calls than rate and burst allow.

    A call is admitted at some time between its sending and the start of its
    execution.  Only calls for which this interval lies entirely within the
    window are counted, so there are no false positives.
    """
    intervals = _admission_intervals(history, organisation)
    return [
        f'{count} calls of {organisation} from {start:.0f} to {end:.0f} ms, '
        f'{allowed:.1f} allowed'
        for start, end, count, allowed in _densest_windows(intervals, limit)
        if count > allowed + _ROUNDING_TOLERANCE
    ]


def max_excess(
    history: History,
    organisation: str,
    limit: RateLimit,
) -> float:
    """Return the largest excess of calls over the limit in any time window.

    It is negative if all windows are below the limit, and 0 without calls.
    """
    intervals = _admission_intervals(history, organisation)
    return max(
        (
            count - allowed
            for _, _, count, allowed in _densest_windows(intervals, limit)
        ),
        default=0.0,
    )


def check_retries(
    history: History,
    chain: Sequence[str],
    allowance: int,
) -> list[str]:
    """The retries made for one root request do not exceed its allowance.

    Each execution at a service makes one call to the next service of the
    chain, so executions beyond the number at the previous service are
    retries.  Calls repeated because of a retry further up the chain do not
    count as retries.
    """
    executions: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter,
    )
    for execution in history.executions:
        if execution.trace_id:
            executions[execution.trace_id][execution.service] += 1
    violations = []
    for trace_id, by_service in executions.items():
        retries = 0
        previous = 1
        for service in chain:
            retries += max(0, by_service[service] - previous)
            previous = by_service[service]
        if retries > allowance:
            violations.append(
                f'{trace_id}: {retries} retries, {allowance} allowed'
            )
    return violations


def check_importance(decisions: Sequence[Decision]) -> list[str]:
    """No request is rejected while a less important one is admitted."""
    by_vm: dict[str, list[Decision]] = collections.defaultdict(list)
    for decision in decisions:
        by_vm[decision.vm].append(decision)
    violations: list[str] = []
    for vm, vm_decisions in by_vm.items():
        admitted = [decision for decision in vm_decisions if decision.admitted]
        for rejected in vm_decisions:
            if rejected.admitted:
                continue
            admitted_instead = [
                other
                for other in admitted
                if other.importance < rejected.importance
                and _admitted_instead(other, rejected)
            ]
            violations.extend(
                f'{vm}: importance {rejected.importance} rejected, '
                f'{other.importance} admitted instead'
                for other in admitted_instead
            )
    return violations


def _admitted_instead(other: Decision, rejected: Decision) -> bool:
    """Return whether ``other`` was admitted at the expense of ``rejected``.

    Either it was admitted while ``rejected`` was queued, or it was still
    queued, and admitted later, when ``rejected`` was rejected.  Timestamps
    have a resolution of one millisecond.
    """
    if (
        rejected.decided_ms - rejected.waited_ms
        < other.decided_ms
        < rejected.decided_ms
    ):
        return True
    arrived_ms = other.decided_ms - other.waited_ms
    return (
        arrived_ms + _STAMP_RESOLUTION_MS
        < rejected.decided_ms
        < other.decided_ms - _STAMP_RESOLUTION_MS
    )


def check_draining(
    history: History,
    vm: str,
    drain_started_ms: float,
    grace_ms: float,
) -> list[str]:
    """A draining target starts no execution after the grace period."""
    return [
        f'{vm} started {execution.trace_id} '
        f'{execution.started_ms - drain_started_ms:.0f} ms after drain'
        for execution in history.executions
        if execution.vm == vm
        and execution.started_ms > drain_started_ms + grace_ms
    ]


def check_withdrawn_key(
    calls: Iterable[CallRecord],
    withdrawn_ms: float,
    grace_ms: float,
) -> list[str]:
    """A withdrawn key is rejected by all nodes after the grace period."""
    return [
        f'{call.trace_id} was served {call.sent_ms - withdrawn_ms:.0f} ms '
        'after the withdrawal'
        for call in calls
        if call.sent_ms > withdrawn_ms + grace_ms and call.status == _OK
    ]


def _admission_intervals(
    history: History,
    organisation: str,
) -> list[tuple[float, float]]:
    """Return the interval in which each executed call was admitted.

    It ends with the start of the first execution.
    """
    first_executions: dict[str, ExecutionRecord] = {}
    for execution in history.executions:
        earliest = first_executions.get(execution.trace_id)
        if earliest is None or execution.started_ms < earliest.started_ms:
            first_executions[execution.trace_id] = execution
    return sorted(
        (call.sent_ms, first_executions[call.trace_id].started_ms)
        for call in history.calls
        if call.organisation == organisation
        and call.trace_id in first_executions
    )


def _densest_windows(
    intervals: list[tuple[float, float]],
    limit: RateLimit,
) -> Iterable[tuple[float, float, int, float]]:
    """Yield, for each possible start, the window with the largest excess.

    Yields:
        Start and end in ms, the number of calls, and the number allowed.
    """
    for index, (start_ms, _) in enumerate(intervals):
        ends = sorted(end for _, end in intervals[index:])
        densest: tuple[float, float, int, float] | None = None
        for count, end_ms in enumerate(ends, 1):
            span_s = (end_ms - start_ms) / _MS_PER_S
            allowed = limit.rate_per_s * span_s + limit.burst_requests
            if densest is None or count - allowed > densest[2] - densest[3]:
                densest = (start_ms, end_ms, count, allowed)
        if densest is not None:
            yield densest
