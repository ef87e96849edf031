"""Estimates of the demand for the tokens of a rate limit."""

import math

_TIME_CONSTANT_MS = 500.0
_REPORT_LIFETIME_MS = 300.0
_MS_PER_S = 1000


class DemandMeter:
    """Exponentially decaying average of the rate at which calls enter."""

    def __init__(self, now_ms: float) -> None:
        """Start with no demand."""
        self._calls_per_s = 0.0
        self._updated_ms = now_ms

    def record(self, now_ms: float, count: int) -> None:
        """Add calls to the average."""
        increase_per_s = count * _MS_PER_S / _TIME_CONSTANT_MS
        self._calls_per_s = self.calls_per_s(now_ms) + increase_per_s

    def calls_per_s(self, now_ms: float) -> float:
        """Return the average call rate, decayed to the given time."""
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        self._calls_per_s *= math.exp(-elapsed_ms / _TIME_CONSTANT_MS)
        return self._calls_per_s


class DemandReports:
    """Sum of the call rates that nodes last reported."""

    def __init__(self) -> None:
        """Start with no reports."""
        self._reports: dict[str, tuple[float, float]] = {}

    def record(self, now_ms: float, vm: str, calls_per_s: float) -> None:
        """Replace the report of a node."""
        self._reports[vm] = (now_ms, calls_per_s)

    def calls_per_s(self, now_ms: float) -> float:
        """Return the sum of the reports that have not expired."""
        oldest_valid_ms = now_ms - _REPORT_LIFETIME_MS
        for vm, (reported_ms, _) in tuple(self._reports.items()):
            if reported_ms < oldest_valid_ms:
                self._reports.pop(vm)
        return sum(calls_per_s for _, calls_per_s in self._reports.values())
