"""State of the target on this VM, as derived from its announcements."""

import dataclasses
import time
from collections.abc import Callable, Mapping

from chivelead_config import TargetAnnouncement
from chivelead_coordination import MAX_DEPARTURES
from chivelead_policy import Admission
from chivelead_protocol import TargetState, now_ms

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.undated_departures import (
    UndatedDepartures,
)
from chivelead_node._internal.targets import Announcement, LocalTarget

# The target counts as gone after this many periods without an announcement.
_MAX_MISSED_ANNOUNCEMENTS = 4
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class TargetIdentity:
    """One start of a target.

    Attributes:
        target_id: ID of the target; may stay the same over a restart.
        started_ms: Unix time of the start; zero if it is unknown, as for a
            target that was found by a probe.
    """

    target_id: str
    started_ms: int

    def matches(self, other: 'TargetIdentity') -> bool:
        """Return whether both may be the same start of the same target."""
        if self.target_id != other.target_id:
            return False
        is_unknown = not self.started_ms or not other.started_ms
        return is_unknown or self.started_ms == other.started_ms


class TargetRegistration:
    """Keep the newest announcement of the target and derive its state.

    Announcements are ordered by the start time of the target and their sequence
    number; those that arrive late are ignored.

    Args:
        target: Connections to the target.
        admission: Admission control; receives the number of slots.
        events: Event log.
        announcement_period_ms: Time between two announcements.

    Attributes:
        departures: For the ID of each target that drains or has left, the Unix
            time of its start, or of the departure if the start is unknown.
            Later starts under the same ID have not left, once they are
            confirmed if the start was unknown.
        on_trial: Whether the target must answer some calls, one at a time,
            before it counts as ready.
    """

    def __init__(
        self,
        target: LocalTarget,
        admission: Admission,
        events: EventLog,
        announcement_period_ms: float,
    ) -> None:
        """Create a registration without a target."""
        self.latest_announcement: TargetAnnouncement | None = None
        self.unresponsive = False
        self.on_trial = False
        self.departures: dict[str, int] = {}
        self._target = target
        self._admission = admission
        self._events = events
        self._gone_after_ms = announcement_period_ms * _MAX_MISSED_ANNOUNCEMENTS
        self._undated = UndatedDepartures(self._gone_after_ms)
        self._listeners: list[Callable[[], None]] = []

    @property
    def identity(self) -> TargetIdentity:
        """Return the identity of the target; empty if none is known."""
        announcement = self.latest_announcement
        if announcement is None:
            return TargetIdentity('', 0)
        return TargetIdentity(announcement.target_id, announcement.started_ms)

    @property
    def target_id(self) -> str:
        """Return the ID of the target; empty before its first announcement."""
        return (
            self.latest_announcement.target_id
            if self.latest_announcement
            else ''
        )

    @property
    def state(self) -> TargetState:
        """Return the state of the target."""
        if self.latest_announcement is None or self.unresponsive:
            return TargetState.gone
        since_announcement_ms = now_ms() - self._target.last_announced_ms
        if since_announcement_ms > self._gone_after_ms:
            return TargetState.gone
        if self._has_left(self.identity):
            return TargetState.draining
        state = self.latest_announcement.state
        if self.on_trial and state is TargetState.ready:
            return TargetState.trial
        return state

    def listen(self, on_change: Callable[[], None]) -> None:
        """Add a listener for the arrival and the departure of a target."""
        self._listeners.append(on_change)

    async def apply_announcement(
        self, announcement: TargetAnnouncement, connections: int
    ) -> bool:
        """Apply an announcement unless it is stale.

        Returns:
            Whether the announcement is newer than all earlier ones.
        """
        previous = self.latest_announcement
        if previous is not None and _sort_key(announcement) <= _sort_key(
            previous
        ):
            self._events.record_node_event(
                'stale-announcement',
                target=announcement.target_id,
                started_ms=announcement.started_ms,
                sequence=announcement.sequence,
                newest=previous.sequence,
            )
            return False
        identity = TargetIdentity(
            announcement.target_id, announcement.started_ms
        )
        is_new_instance = previous is None or not self.identity.matches(
            identity
        )
        state = announcement.state
        if self._is_bound(identity, state):
            state = TargetState.draining
        else:
            self.departures.pop(identity.target_id, None)
            self._undated.discard(identity.target_id)
        self.latest_announcement = announcement
        await self._target.apply_announcement(
            Announcement(
                service=announcement.service,
                host=announcement.host,
                port=announcement.port,
                slots=announcement.slots,
                connections=connections,
                state=state,
                in_flight=0,
            ),
        )
        self._admission.update_slots(
            announcement.slots,
            warm=is_new_instance and announcement.warmup_left_ms <= 0,
        )
        if (
            is_new_instance
            or previous is None
            or previous.state != announcement.state
        ):
            self._events.record_node_event(
                'target-announced',
                target=announcement.target_id,
                state=state,
                started_ms=announcement.started_ms,
                sequence=announcement.sequence,
                slots=announcement.slots,
            )
        if announcement.state is TargetState.draining:
            # A target never returns from its drain without a new start.
            self.mark_leaving(announcement.target_id)
        if is_new_instance:
            self._notify_listeners()
        return True

    def mark_leaving(self, target_id: str) -> None:
        """Stop sending new calls to a target that is about to shut down."""
        identity = self.identity
        is_dated = identity.target_id == target_id and identity.started_ms > 0
        if target_id in self.departures and (
            is_dated or target_id in self._undated
        ):
            return
        latest_start_ms = int(time.time() * _MS_PER_S)
        if is_dated:
            latest_start_ms = identity.started_ms
        else:
            self._undated.add(target_id)
        self._events.record_node_event(
            'target-leaves', target=target_id, started_ms=latest_start_ms
        )
        self._set_departures({**self.departures, target_id: latest_start_ms})

    def restore_departures(self, departures: Mapping[str, int]) -> None:
        """Add the departures that an earlier start of the node knew."""
        restored = {**departures, **self.departures}
        for target_id, latest_start_ms in departures.items():
            restored[target_id] = max(restored[target_id], latest_start_ms)
        self._set_departures(restored)

    def _set_departures(self, departures: dict[str, int]) -> None:
        latest = list(departures.items())[-MAX_DEPARTURES:]
        self.departures = dict(latest)
        self._undated.keep_only(self.departures)
        if self._has_left(self.identity):
            self._target.mark_draining()
        self._notify_listeners()

    def _is_bound(self, identity: TargetIdentity, state: TargetState) -> bool:
        """Return whether a target that announces itself has left before."""
        if identity.target_id not in self._undated:
            return self._has_left(identity)
        return state is not TargetState.ready or not self._undated.confirm(
            identity.target_id, identity.started_ms
        )

    def _has_left(self, identity: TargetIdentity) -> bool:
        if identity.target_id in self._undated:
            return True
        latest_start_ms = self.departures.get(identity.target_id)
        return (
            latest_start_ms is not None
            and identity.started_ms <= latest_start_ms
        )

    def _notify_listeners(self) -> None:
        for on_change in self._listeners:
            on_change()


def _sort_key(announcement: TargetAnnouncement) -> tuple[int, int]:
    return (announcement.started_ms, announcement.sequence)
