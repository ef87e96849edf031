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


class TargetPublisher:
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
        current_plan: Callable[[], TrafficPlan],
        events: EventLog,
    ) -> None:
        """Keep the parts."""
        self._own_service = own_service
        self._registration = registration
        self._inbound = inbound
        self._membership = membership
        self._current_plan = current_plan
        self._events = events

    async def take(self, news: TargetAnnouncement) -> None:
        """Take in an announcement of the target.

        Raises:
            ConfigurationError: It names a service that nobody knows.
        """
        services = self._current_plan().services
        service = services.get(news.service)
        if service is None and news.service != self._own_service:
            raise ConfigurationError(
                'read announcement',
                f'unknown service {news.service!r:.40}',
            )
        connections = service.max_connections if service else 0
        await self._registration.take(
            news,
            connections or news.slots * _CONNECTIONS_PER_SLOT,
        )
        self.publish()

    def leave(self, target_id: str) -> None:
        """Give a target that is leaving no new work."""
        self._registration.leave(target_id)
        self.publish()

    def publish(self) -> None:
        """Tell the fleet the state of the target, if it changed."""
        state = self._registration.state
        if self._inbound.draining:
            state = TargetState.draining
        news = self._registration.news
        before = self._membership.own
        self._membership.update_own(
            service=news.service if news else '',
            target_state=str(state),
            target_slots=news.slots if news else 0,
        )
        if before.target_state != state:
            self._events.node(
                'target-state',
                state=state,
                before=before.target_state,
                target=self._registration.target_id,
            )
