"""Publication of the state of the target to the fleet."""

import time
from collections.abc import Callable

from chivelead_config import TargetAnnouncement, TrafficPlan
from chivelead_coordination import Membership
from chivelead_protocol import (
    ConfigurationError,
    TargetDeparture,
    TargetState,
)

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.inbound import InboundCalls
from chivelead_node._internal.proxy.registration import TargetRegistration

# Connections per slot to a target whose service sets no limit.
_CONNECTIONS_PER_SLOT = 2
# More than clocks differ.  A start that is later than the true one would make
# all true announcements stale.
_MAX_FUTURE_MS = 3_600_000
_MS_PER_S = 1000


class TargetStatePublisher:
    """Publish the state of the target in the membership entry of this node.

    Args:
        own_service: Service configured for this VM.
        registration: State of the target.
        inbound: Inbound calls; tells whether this node is draining.
        membership: Table with the entry of this node.
        get_plan: Returns the traffic plan in force.
        events: Event log.
    """

    def __init__(  # noqa: WPS211
        self,
        own_service: str,
        registration: TargetRegistration,
        inbound: InboundCalls,
        membership: Membership,
        get_plan: Callable[[], TrafficPlan],
        events: EventLog,
    ) -> None:
        """Create a publisher; nothing is published yet."""
        self._own_service = own_service
        self._registration = registration
        self._inbound = inbound
        self._membership = membership
        self._get_plan = get_plan
        self._events = events
        registration.listen(self.publish)

    async def apply_announcement(
        self, announcement: TargetAnnouncement
    ) -> None:
        """Apply an announcement of the target and publish the new state.

        Raises:
            ConfigurationError: The service is unknown, or the start is in the
                future.
        """
        if announcement.started_ms > time.time() * _MS_PER_S + _MAX_FUTURE_MS:
            raise ConfigurationError(
                'read announcement',
                f'start in the future: {announcement.started_ms}',
            )
        services = self._get_plan().services
        service = services.get(announcement.service)
        if service is None and announcement.service != self._own_service:
            raise ConfigurationError(
                'read announcement',
                f'unknown service {announcement.service!r:.40}',
            )
        connections = service.max_connections if service else 0
        await self._registration.apply_announcement(
            announcement,
            connections or announcement.slots * _CONNECTIONS_PER_SLOT,
        )
        self.publish()

    def mark_leaving(self, target_id: str) -> None:
        """Stop sending new calls to a target that is about to shut down."""
        self._registration.mark_leaving(target_id)

    def publish(self) -> None:
        """Publish the state of the target if it changed."""
        state = self._registration.state
        if self._inbound.draining:
            state = TargetState.draining
        announcement = self._registration.latest_announcement
        slots = announcement.slots if announcement else 0
        if state is TargetState.trial:
            slots = 1
        previous = self._membership.own
        self._membership.update_own(
            service=announcement.service if announcement else '',
            target_state=str(state),
            target_slots=slots,
            departures=tuple(
                TargetDeparture(target_id, latest_start_ms)
                for target_id, latest_start_ms in (
                    self._registration.departures.items()
                )
            ),
        )
        if previous.target_state != state:
            self._events.record_node_event(
                'target-state',
                state=state,
                before=previous.target_state,
                target=self._registration.target_id,
            )
