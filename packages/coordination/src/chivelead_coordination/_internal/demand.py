"""Estimate of how fast tokens of a limit are asked for at a node."""

import math

_TIME_CONSTANT_MS = 1000.0
_MS_PER_S = 1000


class DemandMeter:
    """Exponentially fading rate of events."""

    def __init__(self, now_ms: float) -> None:
        """Start with no demand."""
        self._per_s = 0.0
        self._updated_ms = now_ms

    def note(self, now_ms: float, count: int) -> None:
        """Count requests."""
        self._per_s = self.per_s(now_ms) + count * (
            _MS_PER_S / _TIME_CONSTANT_MS
        )

    def per_s(self, now_ms: float) -> float:
        """Return the present rate."""
        gone_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        self._per_s *= math.exp(-gone_ms / _TIME_CONSTANT_MS)
        return self._per_s
