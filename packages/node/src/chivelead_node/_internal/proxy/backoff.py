"""Delays between calls to a store that does not answer."""

import random

# Entries are back within 2 s of the store's return: the longest delay, a call
# that is just under way and the calls that write the entry fit into that.
_INITIAL_DELAY_S = 0.3
_MAX_DELAY_S = 0.9
_GROWTH_FACTOR = 1.7
_MAX_JITTER_S = 0.2


class Backoff:
    """Grow the delay while calls fail, at another moment on each node."""

    def __init__(self) -> None:
        """Start with the shortest delay."""
        self._delay_s = _INITIAL_DELAY_S

    def reset(self) -> None:
        """Start anew, since the store has answered."""
        self._delay_s = _INITIAL_DELAY_S

    def next_delay_s(self) -> float:
        """Return the next delay in seconds."""
        delay_s = self._delay_s
        self._delay_s = min(_MAX_DELAY_S, delay_s * _GROWTH_FACTOR)
        return delay_s + random.random() * _MAX_JITTER_S  # noqa: S311
