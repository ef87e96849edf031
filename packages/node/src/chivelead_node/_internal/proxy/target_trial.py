"""Trial of a target that has failed: one call at a time."""

import asyncio
import random

from chivelead_policy import Admission
from chivelead_protocol import loop_ms

from chivelead_node._internal.call_failures import CallFailure

# Of a target that answers some calls, most fail.
_ANSWERS_TO_PASS = 3
_FIRST_PAUSE_MS = 1000.0
_MAX_PAUSE_MS = 8000.0
_PAUSE_GROWTH = 2.0
# Largest part of a pause that is added to it.
_MAX_JITTER = 0.25
# A target that fails sooner after a trial begins with the next pause.
_SOUND_MS = 30_000.0


class TrialPause:
    """Pauses before trials: none at first, then growing up to a limit."""

    def __init__(self) -> None:
        """Start without a pause."""
        self._next_ms = 0.0
        self._passed_ms: float | None = None

    def reset(self) -> None:
        """Start again without a pause, as for another target."""
        self._next_ms = 0
        self._passed_ms = None

    def record_passed(self) -> None:
        """Note that the target is in full use from now on."""
        self._passed_ms = loop_ms()

    def take_ms(self) -> float:
        """Return the pause before the next trial."""
        if (
            self._passed_ms is not None
            and loop_ms() - self._passed_ms > _SOUND_MS
        ):
            self.reset()
        self._passed_ms = None
        pause_ms = self._next_ms
        self._next_ms = min(
            _MAX_PAUSE_MS, max(_FIRST_PAUSE_MS, pause_ms * _PAUSE_GROWTH)
        )
        return pause_ms * (1 + random.random() * _MAX_JITTER)  # noqa: S311


class TargetTrial:
    """Let one call at a time to the target, and judge it by the first few.

    Args:
        admission: Admission control at the target.
    """

    def __init__(self, admission: Admission) -> None:
        """Create a trial that is not running; all calls are admitted."""
        self._admission = admission
        self._ended: asyncio.Future[CallFailure | None] | None = None
        self._attempt_ids: set[str] = set()
        self._answer_count = 0

    def close_gate(self) -> None:
        """Admit no calls."""
        self._admission.cap_in_flight(0)

    def open_gate(self) -> None:
        """Admit all calls."""
        self.abort()
        self._admission.cap_in_flight(None)

    async def run(self) -> CallFailure | None:
        """Wait until some calls were answered or one failed.

        Admits no calls after a failure.

        Returns:
            The failure; None if the target passed, or if the trial was aborted.
        """
        self._ended = asyncio.get_running_loop().create_future()
        self._attempt_ids.clear()
        self._answer_count = 0
        self._admission.cap_in_flight(1)
        try:
            return await self._ended
        finally:
            self._ended = None

    def abort(self) -> None:
        """End a trial without a result, if one is running."""
        self._finish(None)

    def record_start(self, attempt_id: str) -> None:
        """Record a call that was admitted."""
        if self._ended is not None:
            self._attempt_ids.add(attempt_id)

    def record_end(
        self, attempt_id: str, *, answered: bool, failure: CallFailure | None
    ) -> None:
        """Record the end of a call; those from before the trial do not count.

        A call that was given up says nothing about the target.
        """
        if attempt_id not in self._attempt_ids:
            return
        self._attempt_ids.discard(attempt_id)
        if answered:
            self._answer_count += 1
            if self._answer_count >= _ANSWERS_TO_PASS:
                self._finish(None)
        elif failure is not None:
            self.close_gate()
            self._finish(failure)

    def _finish(self, failure: CallFailure | None) -> None:
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(failure)
