"""Notice a target that no longer answers, before its announcements stop."""

import asyncio
import dataclasses

from chivelead_protocol import CallRequest, loop_ms

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.inbound import AdmissionObserver
from chivelead_node._internal.proxy.overload import OverloadView
from chivelead_node._internal.proxy.probe import TargetProbe
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.proxy.target_state import TargetPublisher

_PERIOD_S = 0.25
# With several calls in flight even a slow target answers one within this.
_SILENCE_MS = 1000.0
_CALLS_LEAST = 2
# Failures in a row without any answer for this long, as when connections are
# refused; a target that loses a part of its answers gives others in between.
_FAILURES_MOST = 3
_FAILING_MS = 300.0


@dataclasses.dataclass
class _Seen:
    """What the calls at the target show."""

    answered_ms: float = 0
    failures: int = 0


class RunWatch(AdmissionObserver):
    """Follow the calls at the target, for overload and for its health.

    Args:
        overload: Learns what is admitted and refused.
    """

    def __init__(self, overload: OverloadView) -> None:
        """Start with no calls."""
        self._overload = overload
        self._started: dict[str, float] = {}
        self._seen = _Seen()

    def admitted(self, request: CallRequest) -> None:
        """Note a call that goes to the target."""
        self._overload.learner.note_run(request.route)
        self._overload.gate.note(refused=False)
        self._started[request.attempt_id] = loop_ms()

    def refused(self, request: CallRequest) -> None:
        """Note a call that was refused for overload."""
        self._overload.gate.note(refused=True)

    def ended(self, request: CallRequest, *, answered: bool) -> None:
        """Note a call that has left the target."""
        self._started.pop(request.attempt_id, None)
        if answered:
            self._seen = _Seen(loop_ms())
        else:
            self._seen.failures += 1

    def is_silent(self) -> bool:
        """Tell whether the target has stopped to answer."""
        answered_ms = self._seen.answered_ms
        if self._seen.failures >= _FAILURES_MOST:
            return answered_ms < loop_ms() - _FAILING_MS
        horizon_ms = loop_ms() - _SILENCE_MS
        waiting = sum(at < horizon_ms for at in self._started.values())
        return waiting >= _CALLS_LEAST and answered_ms < horizon_ms

    def begin_anew(self) -> None:
        """Forget failures, since the target has answered a probe."""
        self._seen = _Seen(loop_ms())


class TargetWatch:
    """Take a silent target out, and bring it back when it answers a probe.

    Args:
        runs: Calls at the target.
        registration: Holds the state of the target.
        publisher: Tells the fleet.
        probe: Asks the target itself.
        events: Log of events.
    """

    def __init__(
        self,
        runs: RunWatch,
        registration: TargetRegistration,
        publisher: TargetPublisher,
        probe: TargetProbe,
        events: EventLog,
    ) -> None:
        """Start with a target in good standing."""
        self._runs = runs
        self._registration = registration
        self._publisher = publisher
        self._probe = probe
        self._events = events

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            if self._registration.target_id and self._runs.is_silent():
                await self._suspend()

    async def _suspend(self) -> None:
        target_id = self._registration.target_id
        self._events.record_node_event('target-silent', target=target_id)
        self._registration.silent = True
        self._publisher.publish()
        answered = await self._probe.until_answered(target_id)
        self._runs.begin_anew()
        self._registration.silent = False
        self._publisher.publish()
        self._events.record_node_event(
            'target-answers', target=target_id, probe=answered
        )
