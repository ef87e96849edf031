"""Suspension of a target that does not respond or fails, and its return."""

import asyncio
import contextlib
import dataclasses

from chivelead_policy import RefusalReason
from chivelead_protocol import CallRequest, loop_ms

from chivelead_node._internal.call_failures import NO_RESPONSE, CallFailure
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.inbound import AdmissionObserver
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.probe import TargetProber
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.proxy.target_state import TargetStatePublisher
from chivelead_node._internal.proxy.target_trial import (
    TargetTrial,
    TrialPause,
)
from chivelead_node._internal.targets import LocalTarget

_CHECK_PERIOD_S = 0.25
# The target is unresponsive if it has responded to no call for this time and
# at least _MIN_OVERDUE_CALLS have been running for longer. Even a slow target
# responds to one of several calls in flight within this time.
_RESPONSE_WAIT_LIMIT_MS = 1000.0
_MIN_OVERDUE_CALLS = 2
# The target is also unresponsive after this many consecutive failures with no
# response within the window, as when it refuses connections. If only some
# calls fail, the responses to the others reset the count.
_FAILURE_THRESHOLD = 3
_FAILURE_WINDOW_MS = 300.0
_MS_PER_S = 1000
_REFUSALS_OF_NO_OVERLOAD = frozenset(
    (
        RefusalReason.draining,
        RefusalReason.suspended,
        RefusalReason.target_rate,
    )
)


@dataclasses.dataclass
class _CallHistory:
    """Latest response of the target, and the failures since then."""

    last_response_ms: float = 0
    consecutive_failures: int = 0
    last_failure: CallFailure = NO_RESPONSE


class TargetCallMonitor(AdmissionObserver):
    """Track calls at the target for overload control and health checks.

    Args:
        overload: Receives which calls are admitted and refused.
        trial: Receives the calls that are admitted and their ends; optional.

    Attributes:
        has_answered: Whether the target has responded since it was last in
            use again.
    """

    def __init__(
        self, overload: FleetOverload, trial: TargetTrial | None = None
    ) -> None:
        """Create a monitor without calls."""
        self.has_answered = True
        self._overload = overload
        self._trial = trial
        self._started_ms: dict[str, float] = {}
        self._history = _CallHistory()

    def admitted(self, request: CallRequest) -> None:
        """Record a call that is sent to the target."""
        self._overload.call_graph_learner.record_request(request.route)
        self._overload.shed_controller.record(refused=False)
        self._started_ms[request.attempt_id] = loop_ms()
        if self._trial is not None:
            self._trial.record_start(request.attempt_id)

    def refused(self, request: CallRequest, reason: RefusalReason) -> None:
        """Record a call that was refused because of overload.

        A target that names a rate is no sign that its service is overloaded:
        others may have room.  The same holds for a target that has failed.
        """
        if reason not in _REFUSALS_OF_NO_OVERLOAD:
            self._overload.shed_controller.record(refused=True)

    def ended(
        self,
        request: CallRequest,
        *,
        answered: bool,
        failure: CallFailure | None = None,
    ) -> None:
        """Record the end of a call at the target."""
        is_current = self._started_ms.pop(request.attempt_id, None) is not None
        if answered:
            self.has_answered = True
            self._history = _CallHistory(loop_ms())
        elif is_current:
            self._history.consecutive_failures += 1
            self._history.last_failure = failure or NO_RESPONSE
        if self._trial is not None:
            self._trial.record_end(
                request.attempt_id, answered=answered, failure=failure
            )

    def is_unresponsive(self) -> bool:
        """Return whether the target has stopped responding to calls."""
        last_response_ms = self._history.last_response_ms
        if self._history.consecutive_failures >= _FAILURE_THRESHOLD:
            return last_response_ms < loop_ms() - _FAILURE_WINDOW_MS
        cutoff_ms = loop_ms() - _RESPONSE_WAIT_LIMIT_MS
        overdue_calls = sum(
            started_ms < cutoff_ms for started_ms in self._started_ms.values()
        )
        return (
            overdue_calls >= _MIN_OVERDUE_CALLS and last_response_ms < cutoff_ms
        )

    def last_failure(self) -> CallFailure:
        """Return why the target counts as unresponsive."""
        return self._history.last_failure

    def reset(self) -> None:
        """Clear the failures and set the last response to the current time.

        Calls that are running say nothing about the target from now on, unless
        they are answered.
        """
        self._started_ms.clear()
        self._history = _CallHistory(loop_ms())


class TargetHealthMonitor:
    """Take an unresponsive or faulty target out of service until it is sound.

    One that was silent is in full use when it responds to a probe.  One whose
    responses were invalid, or that has been silent again without a response
    between, is on trial then.

    Args:
        call_monitor: Calls at the target.
        target: Connections to the target.
        registration: State of the target.
        publisher: Publishes the state to the fleet.
        prober: Sends health probes to the target.
        trial: Admits calls for trial.
        events: Event log.

    Attributes:
        suspension_count: Suspensions, without those after failed trials.
        failed_trial_count: Trials that the target failed.
    """

    def __init__(  # noqa: WPS211
        self,
        call_monitor: TargetCallMonitor,
        target: LocalTarget,
        registration: TargetRegistration,
        publisher: TargetStatePublisher,
        prober: TargetProber,
        trial: TargetTrial,
        events: EventLog,
    ) -> None:
        """Create a monitor of a target that counts as healthy."""
        self.suspension_count = 0
        self.failed_trial_count = 0
        self._call_monitor = call_monitor
        self._target = target
        self._registration = registration
        self._publisher = publisher
        self._prober = prober
        self._trial = trial
        self._events = events
        self._pause = TrialPause()
        self._restarted = asyncio.Event()
        registration.listen(self._check_restart)
        self._identity = registration.identity

    async def run(self) -> None:
        """Check the target until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_PERIOD_S)
            # Its start may have become known.
            self._identity = self._registration.identity
            is_unresponsive = (
                self._registration.target_id
                and self._call_monitor.is_unresponsive()
            )
            # Still set if an error ended the wait for the target.
            if is_unresponsive or self._registration.unresponsive:
                await self._suspend()

    def _check_restart(self) -> None:
        identity = self._registration.identity
        if not identity.matches(self._identity):
            self._pause.reset()
            self._call_monitor.reset()
            self._call_monitor.has_answered = True
            self._restarted.set()
            self._trial.abort()
        self._identity = identity

    async def _suspend(self) -> None:
        target_id = self._registration.target_id
        failure = self._call_monitor.last_failure()
        needs_trial = failure.is_response or not self._call_monitor.has_answered
        self.suspension_count += 1
        self._restarted.clear()
        self._events.record_node_event(
            'target-silent',
            target=target_id,
            reason='failed-responses' if failure.is_response else 'no-response',
            why=failure.why,
            trial=needs_trial,
        )
        try:
            if needs_trial:
                answered = await self._wait_for_trials(target_id)
            else:
                answered = await self._wait_for_probe(target_id)
        finally:
            self._registration.on_trial = False
            self._trial.open_gate()
        self._call_monitor.reset()
        self._call_monitor.has_answered = self._restarted.is_set()
        self._registration.unresponsive = False
        self._publisher.publish()
        self._events.record_node_event(
            'target-answers', target=target_id, probe=answered
        )

    async def _wait_for_probe(self, target_id: str) -> bool:
        """Return whether the target answered a probe."""
        self._registration.unresponsive = True
        self._publisher.publish()
        answered = await self._prober.wait_until_answered(target_id)
        # The probe used a connection of its own.
        self._target.close_idle_connections()
        return answered

    async def _wait_for_trials(self, target_id: str) -> bool:
        """Try the target until it passes or starts again.

        Returns:
            Whether it passed.
        """
        pause_ms = self._pause.take_ms()
        while True:
            self._identity = self._registration.identity
            self._trial.close_gate()
            self._registration.on_trial = False
            self._registration.unresponsive = True
            self._publisher.publish()
            await self._sleep(pause_ms)
            answered = await self._wait_for_probe(target_id)
            if not answered or self._restarted.is_set():
                return False
            failure = await self._run_trial(target_id)
            if self._restarted.is_set():
                return False
            if failure is None:
                self._pause.record_passed()
                self._events.record_node_event(
                    'target-trial-passed', target=target_id
                )
                return True
            pause_ms = self._pause.take_ms()
            self.failed_trial_count += 1
            self._events.record_node_event(
                'target-trial-failed',
                target=target_id,
                why=failure.why,
                pause_ms=round(pause_ms),
            )

    async def _run_trial(self, target_id: str) -> CallFailure | None:
        self._events.record_node_event('target-trial', target=target_id)
        self._registration.unresponsive = False
        self._registration.on_trial = True
        self._publisher.publish()
        return await self._trial.run()

    async def _sleep(self, pause_ms: float) -> None:
        """Wait for a pause, or until the target starts again."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_ms / _MS_PER_S):
                await self._restarted.wait()
