"""Turns in which connections parse what takes long."""

import asyncio
import collections
from collections.abc import Callable

# What a connection may parse of heads and chunks at once, and in a turn.
FREE_BYTES = 2048
TURN_BYTES = 4096


class ParseTurns:
    """Let one connection go on in each iteration of the event loop.

    Small pieces take long to parse.  Connections that have received many of
    them wait for each other, so that the others need not wait for all.
    """

    def __init__(self) -> None:
        """Create an order in which nobody waits."""
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def wait(self, go_on: Callable[[], None]) -> None:
        """Call a function in a later iteration of the event loop.

        Args:
            go_on: Parses a part of what a connection has received.
        """
        self._waiting.append(go_on)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._run_first)

    def _run_first(self) -> None:
        try:
            self._waiting[0]()
        finally:
            self._waiting.popleft()
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._run_first)
