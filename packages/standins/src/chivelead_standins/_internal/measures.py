"""Measures of a run, from the records of callers and targets."""

import collections
import dataclasses
from collections.abc import Sequence

from chivelead_standins._internal.records import CallRecord, History

_RECOVERY_WINDOW_MS = 500
_RECOVERY_STEP_MS = 100
_RECOVERED_RATIO = 0.9
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Phase:
    """A span of time of a run, by the clock of the loop."""

    start_ms: float
    end_ms: float

    def calls(self, history: History) -> list[CallRecord]:
        """Return the calls that were sent in the phase."""
        return [
            call
            for call in history.calls
            if self.start_ms <= call.sent_ms < self.end_ms
        ]


def goodput_per_s(history: History, phase: Phase) -> float:
    """Return the whole answers in time for calls sent in a phase."""
    valid = sum(call.valid for call in phase.calls(history))
    return valid * _MS_PER_S / (phase.end_ms - phase.start_ms)


def recovery_ms(calls: Sequence[CallRecord], trigger_ended_ms: float) -> float:
    """Return when nine of ten requests were served again, and stayed so.

    Args:
        calls: All calls of the run.
        ended_ms: When the trigger of the overload ended.

    Returns:
        Infinity if they never were.
    """
    last_window_ms = max(call.sent_ms for call in calls) - _RECOVERY_WINDOW_MS
    recovered_ms = float('inf')
    start_ms = last_window_ms
    while start_ms >= trigger_ended_ms:
        window = [
            call.valid
            for call in calls
            if start_ms <= call.sent_ms < start_ms + _RECOVERY_WINDOW_MS
        ]
        if window and sum(window) < _RECOVERED_RATIO * len(window):
            break
        recovered_ms = start_ms - trigger_ended_ms
        start_ms -= _RECOVERY_STEP_MS
    return recovered_ms


def success_ratios(calls: Sequence[CallRecord]) -> dict[str, float]:
    """Return the part of its calls that each organisation was served."""
    sent: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for call in calls:
        sent[call.organisation] += 1
        served[call.organisation] += call.valid
    return {name: served[name] / sent[name] for name in sorted(sent)}


def importance_success_ratio(
    calls: Sequence[CallRecord], importance: int
) -> float:
    """Return the part of the calls of an importance that were served."""
    successes = [call.valid for call in calls if call.importance == importance]
    return sum(successes) / len(successes) if successes else 1


def wasted_time_ratio(history: History) -> float:
    """Return the part of the targets' time spent for calls that failed."""
    valid_trace_ids = {call.trace_id for call in history.calls if call.valid}
    total_ms = 0.0
    wasted_ms = 0.0
    for execution in history.executions:
        if execution.trace_id and execution.ended_ms:
            time_ms = execution.ended_ms - execution.started_ms
            total_ms += time_ms
            if execution.trace_id not in valid_trace_ids:
                wasted_ms += time_ms
    return wasted_ms / total_ms if total_ms else 0


def executions_per_call(history: History, service: str) -> float:
    """Return the runs at a service for each call that was sent."""
    executions = sum(
        execution.service == service and bool(execution.trace_id)
        for execution in history.executions
    )
    return executions / len(history.calls)
