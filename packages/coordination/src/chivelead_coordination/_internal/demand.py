"""Estimates of how fast tokens of a limit are asked for."""

import math

_TIME_CONSTANT_MS = 500.0
_REPORT_VALID_MS = 300.0
_MS_PER_S = 1000


class DemandMeter:
    """Exponentially fading rate of calls at the node where they enter."""

    def __init__(self, now_ms: float) -> None:
        """Start with no demand."""
        self._per_s = 0.0
        self._updated_ms = now_ms

    def note(self, now_ms: float, count: int) -> None:
        """Count calls."""
        gained = count * _MS_PER_S / _TIME_CONSTANT_MS
        self._per_s = self.per_s(now_ms) + gained

    def per_s(self, now_ms: float) -> float:
        """Return the present rate."""
        gone_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        self._per_s *= math.exp(-gone_ms / _TIME_CONSTANT_MS)
        return self._per_s


class DemandReports:
    """Sum of what the nodes where calls enter reported of late."""

    def __init__(self) -> None:
        """Start with no reports."""
        self._reports: dict[str, tuple[float, float]] = {}

    def note(self, now_ms: float, vm: str, per_s: float) -> None:
        """Take in the report of a node."""
        self._reports[vm] = (now_ms, per_s)

    def per_s(self, now_ms: float) -> float:
        """Return the sum of the reports that are still fresh."""
        horizon_ms = now_ms - _REPORT_VALID_MS
        for vm, (at_ms, _) in tuple(self._reports.items()):
            if at_ms < horizon_ms:
                self._reports.pop(vm)
        return sum(per_s for _, per_s in self._reports.values())
