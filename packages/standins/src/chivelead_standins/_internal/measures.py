"""Metrics of a test run, computed from request and execution records."""

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
    """A time interval of a test run, on the clock of ``now_ms``."""

    start_ms: float
    end_ms: float

    def calls(self, history: History) -> list[CallRecord]:
        """Return the calls sent during the phase."""
        return [
            call
            for call in history.calls
            if self.start_ms <= call.sent_ms < self.end_ms
        ]


def goodput_per_s(history: History, phase: Phase) -> float:
    """Return the rate of valid responses to the calls sent during a phase."""
    valid = sum(call.valid for call in phase.calls(history))
    return valid * _MS_PER_S / (phase.end_ms - phase.start_ms)


def recovery_ms(calls: Sequence[CallRecord], trigger_ended_ms: float) -> float:
    """Return how long recovery took after the cause of an overload ended.

    Recovery ends at the start of the first time window from which on at least
    nine of ten calls succeed in each window.

    Args:
        calls: All calls of the run.
        trigger_ended_ms: Time at which the cause of the overload ended.

    Returns:
        Time in ms, or infinity if the system did not recover.
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
    """Return the ratio of successful calls by organisation."""
    sent: collections.Counter[str] = collections.Counter()
    succeeded: collections.Counter[str] = collections.Counter()
    for call in calls:
        sent[call.organisation] += 1
        succeeded[call.organisation] += call.valid
    return {name: succeeded[name] / sent[name] for name in sorted(sent)}


def importance_success_ratio(
    calls: Sequence[CallRecord], importance: int
) -> float:
    """Return the ratio of successful calls among those of one importance."""
    successes = [call.valid for call in calls if call.importance == importance]
    return sum(successes) / len(successes) if successes else 1


def wasted_time_ratio(history: History) -> float:
    """Return the ratio of target execution time spent on failed calls."""
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
    """Return the mean number of executions at a service per call."""
    executions = sum(
        execution.service == service and bool(execution.trace_id)
        for execution in history.executions
    )
    return executions / len(history.calls)
