"""Retry delays for calls to an unreachable store."""

import random

# Nodes must restore their entries within 2 s of the recovery of the store. The
# longest delay, a call in progress and the calls that write the entry must fit
# into this time.
_INITIAL_DELAY_S = 0.3
_MAX_DELAY_S = 0.9
_GROWTH_FACTOR = 1.7
_MAX_JITTER_S = 0.2


class Backoff:
    """Exponential backoff with jitter."""

    def __init__(self) -> None:
        """Create a backoff with the initial delay."""
        self._delay_s = _INITIAL_DELAY_S

    def reset(self) -> None:
        """Return to the initial delay after a successful call."""
        self._delay_s = _INITIAL_DELAY_S

    def next_delay_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = self._delay_s
        self._delay_s = min(_MAX_DELAY_S, delay_s * _GROWTH_FACTOR)
        return delay_s + random.random() * _MAX_JITTER_S  # noqa: S311
