"""Detection of an unresponsive target before its announcements time out."""

import asyncio
import dataclasses

from chivelead_policy import RefusalReason
from chivelead_protocol import CallRequest, loop_ms

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.inbound import AdmissionObserver
from chivelead_node._internal.proxy.overload import FleetOverload
from chivelead_node._internal.proxy.probe import TargetProber
from chivelead_node._internal.proxy.registration import TargetRegistration
from chivelead_node._internal.proxy.target_state import TargetStatePublisher
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
_REFUSALS_OF_NO_OVERLOAD = frozenset(
    (RefusalReason.draining, RefusalReason.target_rate)
)


@dataclasses.dataclass
class _CallHistory:
    """Latest response of the target, and the failures since then."""

    last_response_ms: float = 0
    consecutive_failures: int = 0


class TargetCallMonitor(AdmissionObserver):
    """Track calls at the target for overload control and health checks.

    Args:
        overload: Receives which calls are admitted and refused.
    """

    def __init__(self, overload: FleetOverload) -> None:
        """Create a monitor without calls."""
        self._overload = overload
        self._started_ms: dict[str, float] = {}
        self._history = _CallHistory()

    def admitted(self, request: CallRequest) -> None:
        """Record a call that is sent to the target."""
        self._overload.call_graph_learner.record_request(request.route)
        self._overload.shed_controller.record(refused=False)
        self._started_ms[request.attempt_id] = loop_ms()

    def refused(self, request: CallRequest, reason: RefusalReason) -> None:
        """Record a call that was refused because of overload.

        A target that names a rate is no sign that its service is overloaded:
        others may have room.
        """
        if reason not in _REFUSALS_OF_NO_OVERLOAD:
            self._overload.shed_controller.record(refused=True)

    def ended(self, request: CallRequest, *, answered: bool) -> None:
        """Record the end of a call at the target."""
        self._started_ms.pop(request.attempt_id, None)
        if answered:
            self._history = _CallHistory(loop_ms())
        else:
            self._history.consecutive_failures += 1

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

    def reset(self) -> None:
        """Clear the failures and set the last response to the current time."""
        self._history = _CallHistory(loop_ms())


class TargetHealthMonitor:
    """Take an unresponsive target out of service until it responds to a probe.

    Args:
        call_monitor: Calls at the target.
        target: Connections to the target.
        registration: State of the target.
        publisher: Publishes the state to the fleet.
        prober: Sends health probes to the target.
        events: Event log.
    """

    def __init__(  # noqa: WPS211
        self,
        call_monitor: TargetCallMonitor,
        target: LocalTarget,
        registration: TargetRegistration,
        publisher: TargetStatePublisher,
        prober: TargetProber,
        events: EventLog,
    ) -> None:
        """Create a monitor of a target that counts as healthy."""
        self._call_monitor = call_monitor
        self._target = target
        self._registration = registration
        self._publisher = publisher
        self._prober = prober
        self._events = events

    async def run(self) -> None:
        """Check the target until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_PERIOD_S)
            is_unresponsive = (
                self._registration.target_id
                and self._call_monitor.is_unresponsive()
            )
            # Still set if an error ended the wait for the target.
            if is_unresponsive or self._registration.unresponsive:
                await self._suspend()

    async def _suspend(self) -> None:
        target_id = self._registration.target_id
        self._events.record_node_event('target-silent', target=target_id)
        self._registration.unresponsive = True
        self._publisher.publish()
        answered = await self._prober.wait_until_answered(target_id)
        # The probe used a connection of its own.
        self._target.close_idle_connections()
        self._call_monitor.reset()
        self._registration.unresponsive = False
        self._publisher.publish()
        self._events.record_node_event(
            'target-answers', target=target_id, probe=answered
        )
