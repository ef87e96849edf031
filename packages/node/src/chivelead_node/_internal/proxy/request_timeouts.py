"""Timeouts of the requests at an ingress, which a shutdown makes earlier."""

import asyncio
import math
from collections.abc import Coroutine
from typing import Any, TypeVar

_MS_PER_S = 1000
_OutcomeT = TypeVar('_OutcomeT')


class RequestTimeouts:
    """Run the steps of requests until their deadlines or a common end."""

    def __init__(self) -> None:
        """Create timeouts without a common end."""
        self._end_ms = math.inf
        self._running: set[asyncio.Timeout] = set()

    def limit(self, end_ms: float) -> None:
        """Set the common end, also for the steps that run already.

        Args:
            end_ms: Event loop time.
        """
        self._end_ms = end_ms
        for timeout in self._running:
            _make_earlier(timeout, end_ms)

    async def run(
        self,
        step: Coroutine[Any, Any, _OutcomeT],
        deadline_ms: float = math.inf,
    ) -> _OutcomeT:
        """Return the result of a step.

        Args:
            step: Coroutine that is cancelled if it takes too long.
            deadline_ms: Event loop time; by default only the common end holds.

        Raises:
            TimeoutError: The step did not end in time.
        """
        timeout = asyncio.timeout_at(min(deadline_ms, self._end_ms) / _MS_PER_S)
        self._running.add(timeout)
        try:
            async with timeout:
                return await step
        finally:
            self._running.discard(timeout)


def _make_earlier(timeout: asyncio.Timeout, end_ms: float) -> None:
    end_s = end_ms / _MS_PER_S
    planned_s = timeout.when() or math.inf
    if planned_s > end_s and not timeout.expired():
        timeout.reschedule(end_s)
