"""Estimate of the importance below which requests are shed."""

import collections

from chivelead_protocol import loop_ms

_SHED_WINDOW_MS = 400
_IMPORTANCE_LEVELS = 10


class ShedLevelEstimator:
    """Estimate the shed level from recent admissions and refusals."""

    def __init__(self) -> None:
        """Create an estimator without admissions or refusals."""
        self._events: collections.deque[tuple[float, int, bool]] = (
            collections.deque()
        )
        self._admitted = [0 for _ in range(_IMPORTANCE_LEVELS)]
        self._refused = [0 for _ in range(_IMPORTANCE_LEVELS)]

    def record(self, importance: int, refused: bool) -> None:
        """Count a request that was admitted or refused."""
        self._events.append((loop_ms(), importance, refused))
        counts = self._refused if refused else self._admitted
        counts[importance] += 1

    def current_level(self) -> float:
        """Return the shed level of the latest requests."""
        window_start_ms = loop_ms() - _SHED_WINDOW_MS
        while self._events and self._events[0][0] < window_start_ms:
            _, importance, refused = self._events.popleft()
            counts = self._refused if refused else self._admitted
            counts[importance] -= 1
        return self._compute_level()

    def _compute_level(self) -> float:
        """Return the shed level at which the offered requests fit capacity.

        The capacity is the number of requests admitted within the window; it
        is assigned to the most important requests first.  A single refusal
        thus raises the level by one request of the lowest importance, not to
        the importance of the refused request.
        """
        capacity = sum(self._admitted)
        if not sum(self._refused):
            return 0
        for importance in reversed(range(_IMPORTANCE_LEVELS)):
            offered = self._admitted[importance] + self._refused[importance]
            if offered > capacity:
                return importance + 1 - capacity / offered
            capacity -= offered
        return 0
