"""From news of the target to the entry that the fleet sees."""

from collections.abc import Callable

from chivelead_config import TargetAnnouncement, TrafficPlan
from chivelead_coordination import Membership
from chivelead_protocol import ConfigurationError, TargetState

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.inbound import InboundCalls
from chivelead_node._internal.proxy.registration import TargetRegistration

# Connections to a target whose service sets no bound, for each slot.
_CONNECTIONS_PER_SLOT = 2


class TargetStatePublisher:
    """Keep the own entry of the membership true to the target.

    Args:
        own_service: Service that the settings name for this VM.
        registration: What is known of the target.
        inbound: Whether the node itself is leaving.
        membership: Holds the own entry.
        current_plan: Returns the plan in force.
        events: Log of events.
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
        """Keep the parts."""
        self._own_service = own_service
        self._registration = registration
        self._inbound = inbound
        self._membership = membership
        self._get_plan = get_plan
        self._events = events

    async def apply_announcement(
        self, announcement: TargetAnnouncement
    ) -> None:
        """Take in an announcement of the target.

        Raises:
            ConfigurationError: It names a service that nobody knows.
        """
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
        """Give a target that is leaving no new work."""
        self._registration.mark_leaving(target_id)
        self.publish()

    def publish(self) -> None:
        """Tell the fleet the state of the target, if it changed."""
        state = self._registration.state
        if self._inbound.draining:
            state = TargetState.draining
        announcement = self._registration.latest_announcement
        previous = self._membership.own
        self._membership.update_own(
            service=announcement.service if announcement else '',
            target_state=str(state),
            target_slots=announcement.slots if announcement else 0,
        )
        if previous.target_state != state:
            self._events.record_node_event(
                'target-state',
                state=state,
                before=previous.target_state,
                target=self._registration.target_id,
            )
