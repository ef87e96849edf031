"""Checkers of histories, one for each promise.

A checker knows nothing of the code under test: it reads what callers sent
and got, what targets ran, and, where a promise is about a decision inside,
the events that nodes stamped.  It returns one line for each violation.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Sequence

from chivelead_standins._internal.records import (
    CallRecord,
    History,
    ExecutionRecord,
)

Checker = Callable[[History], list[str]]
CHECKERS: dict[str, Checker] = {}

_OK = 200
_MS_PER_S = 1000
_ROUNDING_TOLERANCE = 1e-6
_STAMP_RESOLUTION_MS = 1


def register_checker(promise: str) -> Callable[[Checker], Checker]:
    """Register a checker that needs nothing but the history."""

    def register(check: Checker) -> Checker:
        CHECKERS[promise] = check
        return check

    return register


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """Rate and burst of an organisation."""

    rate_per_s: float
    burst_requests: int


@dataclasses.dataclass(frozen=True)
class Decision:
    """A decision of admission at a target's node.

    Attributes:
        waited_ms: Time that the request waited for the decision.
    """

    vm: str
    decided_ms: float
    importance: int
    admitted: bool
    waited_ms: float


@register_checker('key-never-at-target')
def check_key_exposure(history: History) -> list[str]:
    """No target ever sees a key."""
    return [
        f'{execution.vm} saw a key'
        for execution in history.executions
        if execution.received_key
    ]


@register_checker('right-organisation')
def check_organisation(history: History) -> list[str]:
    """A request runs only for the organisation whose key came with it."""
    sent = {call.trace_id: call.organisation for call in history.calls}
    return [
        f'{execution.trace_id} of {sent[execution.trace_id]} '
        f'ran for {execution.organisation}'
        for execution in history.executions
        if execution.trace_id in sent
        and sent[execution.trace_id] != execution.organisation
    ]


@register_checker('whole-answers')
def check_responses(history: History) -> list[str]:
    """Every answer with status 200 is whole and belongs to its request."""
    return [
        f'{call.trace_id} got a wrong or partial answer'
        for call in history.calls
        if call.status == _OK and not call.valid
    ]


@register_checker('not-run-is-true')
def check_not_run(history: History) -> list[str]:
    """No request that was answered with not-run has run."""
    ran = {
        (execution.trace_id, execution.service)
        for execution in history.executions
    }
    return [
        f'{call.trace_id} was not-run and ran at {call.service}'
        for call in history.calls
        if call.outcome == 'not-run' and (call.trace_id, call.service) in ran
    ]


@register_checker('at-most-once')
def check_idempotency(history: History) -> list[str]:
    """No idempotency key has run twice."""
    counts = collections.Counter(
        execution.idempotency_key
        for execution in history.executions
        if execution.idempotency_key
    )
    return [
        f'{key} ran {count} times' for key, count in counts.items() if count > 1
    ]


def check_rate(
    history: History,
    organisation: str,
    limit: RateLimit,
) -> list[str]:
    """No window holds more calls than rate and burst allow.

    A call is admitted at some moment between its sending and the start of
    its run.  Calls whose whole interval lies in a window were surely
    admitted in it, so the check reports no window wrongly.
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
    """Return the largest excess over the allowed count; negative if none."""
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
    """The retries made for one root request stay inside its allowance.

    Each run at a service makes one call to the next service of the chain.
    What a service got beyond the runs of the one before it were retries; a
    retry higher up makes the calls below it anew, which are none.
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
    """No request is refused while a less important one goes before it."""
    by_vm: dict[str, list[Decision]] = collections.defaultdict(list)
    for decision in decisions:
        by_vm[decision.vm].append(decision)
    violations: list[str] = []
    for vm, vm_decisions in by_vm.items():
        admitted = [decision for decision in vm_decisions if decision.admitted]
        for refused in vm_decisions:
            if refused.admitted:
                continue
            admitted_instead = [
                other
                for other in admitted
                if other.importance < refused.importance
                and _admitted_instead(other, refused)
            ]
            violations.extend(
                f'{vm}: importance {refused.importance} refused, '
                f'{other.importance} admitted before'
                for other in admitted_instead
            )
    return violations


def _admitted_instead(other: Decision, refused: Decision) -> bool:
    """Tell whether one was admitted while the other was there.

    Either it was admitted while the other waited, or it kept its place in
    the queue when the other was refused.  Stamps are whole milliseconds.
    """
    if (
        refused.decided_ms - refused.waited_ms
        < other.decided_ms
        < refused.decided_ms
    ):
        return True
    arrived_ms = other.decided_ms - other.waited_ms
    return (
        arrived_ms + _STAMP_RESOLUTION_MS
        < refused.decided_ms
        < other.decided_ms - _STAMP_RESOLUTION_MS
    )


def check_draining(
    history: History,
    vm: str,
    drain_started_ms: float,
    grace_ms: float,
) -> list[str]:
    """A leaving target starts no work after the grace."""
    return [
        f'{vm} started {execution.trace_id} '
        f'{execution.started_ms - drain_started_ms:.0f} ms after'
        for execution in history.executions
        if execution.vm == vm
        and execution.started_ms > drain_started_ms + grace_ms
    ]


def check_withdrawn_key(
    calls: Iterable[CallRecord],
    withdrawn_ms: float,
    grace_ms: float,
) -> list[str]:
    """A withdrawn key is refused everywhere after the grace."""
    return [
        f'{call.trace_id} was served {call.sent_ms - withdrawn_ms:.0f} ms after'
        for call in calls
        if call.sent_ms > withdrawn_ms + grace_ms and call.status == _OK
    ]


def _admission_intervals(
    history: History,
    organisation: str,
) -> list[tuple[float, float]]:
    first_runs: dict[str, ExecutionRecord] = {}
    for execution in history.executions:
        known = first_runs.get(execution.trace_id)
        if known is None or execution.started_ms < known.started_ms:
            first_runs[execution.trace_id] = execution
    return sorted(
        (call.sent_ms, first_runs[call.trace_id].started_ms)
        for call in history.calls
        if call.organisation == organisation and call.trace_id in first_runs
    )


def _densest_windows(
    intervals: list[tuple[float, float]],
    limit: RateLimit,
) -> Iterable[tuple[float, float, int, float]]:
    """Yield, for each start, the window with the largest excess."""
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
