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
        self._running: dict[object, asyncio.Timeout] = {}

    def limit(self, end_ms: float) -> None:
        """Set the common end, also for the steps that run already.

        Args:
            end_ms: Event loop time.
        """
        self._end_ms = end_ms
        for timeout in self._running.values():
            _make_earlier(timeout, end_ms)

    def limit_step(self, owner: object, end_ms: float) -> None:
        """Set an earlier end for a step that runs; others have no effect.

        Args:
            owner: Owner of the step.
            end_ms: Event loop time.
        """
        timeout = self._running.get(owner)
        if timeout is not None:
            _make_earlier(timeout, end_ms)

    async def run(
        self,
        step: Coroutine[Any, Any, _OutcomeT],
        deadline_ms: float = math.inf,
        owner: object = None,
    ) -> _OutcomeT:
        """Return the result of a step.

        Args:
            step: Coroutine that is cancelled if it takes too long.
            deadline_ms: Event loop time; by default only the common end holds.
            owner: Identifies the step for ``limit_step``; it owns no other
                step meanwhile.

        Raises:
            TimeoutError: The step did not end in time.
        """
        timeout = asyncio.timeout_at(min(deadline_ms, self._end_ms) / _MS_PER_S)
        owner = owner or timeout
        self._running[owner] = timeout
        try:
            async with timeout:
                return await step
        finally:
            self._running.pop(owner)


def _make_earlier(timeout: asyncio.Timeout, end_ms: float) -> None:
    end_s = end_ms / _MS_PER_S
    planned_s = timeout.when() or math.inf
    if planned_s > end_s and not timeout.expired():
        timeout.reschedule(end_s)
