"""What the node believes of the target beside it."""

from chivelead_config import TargetAnnouncement
from chivelead_policy import Admission
from chivelead_protocol import TargetState, now_ms

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.targets import Announcement, LocalTarget

# A target is taken for gone after this many announcements are missing.
_PERIODS_MISSED = 4


class TargetRegistration:
    """Order the news of targets and keep the newest.

    Args:
        target: Connections to the target.
        admission: Learns the slots.
        events: Log of events.
        period_ms: Time between announcements.
    """

    def __init__(
        self,
        target: LocalTarget,
        admission: Admission,
        events: EventLog,
        period_ms: float,
    ) -> None:
        """Start without a target."""
        self.news: TargetAnnouncement | None = None
        self.silent = False
        self._target = target
        self._admission = admission
        self._events = events
        self._period_ms = period_ms
        self._left: set[str] = set()

    @property
    def target_id(self) -> str:
        """Return the identity of the target; empty if there is none."""
        return self.news.target_id if self.news else ''

    @property
    def state(self) -> TargetState:
        """Return the state of the target."""
        if self.news is None or self.silent:
            return TargetState.gone
        silent_ms = now_ms() - self._target.announced_ms
        if silent_ms > self._period_ms * _PERIODS_MISSED:
            return TargetState.gone
        if self.news.target_id in self._left:
            return TargetState.draining
        return self.news.state

    async def take(self, news: TargetAnnouncement, connections: int) -> bool:
        """Take in an announcement.

        Returns:
            Whether it is the newest so far.
        """
        known = self.news
        if known is not None and _order(news) <= _order(known):
            self._events.node(
                'stale-announcement',
                target=news.target_id,
                started_ms=news.started_ms,
                sequence=news.sequence,
                newest=known.sequence,
            )
            return False
        is_new_start = (
            known is None
            or known.target_id != news.target_id
            or known.started_ms != news.started_ms
        )
        if is_new_start:
            self._left.discard(news.target_id)
        state = news.state
        if news.target_id in self._left:
            state = TargetState.draining
        self.news = news
        await self._target.announce(
            Announcement(
                service=news.service,
                host=news.host,
                port=news.port,
                slots=news.slots,
                connections=connections,
                state=state,
                in_flight=0,
            ),
        )
        self._admission.update_slots(
            news.slots,
            warm=is_new_start and news.warmup_left_ms <= 0,
        )
        if is_new_start or known is None or known.state != news.state:
            self._events.node(
                'target-announced',
                target=news.target_id,
                state=state,
                started_ms=news.started_ms,
                sequence=news.sequence,
                slots=news.slots,
            )
        return True

    def leave(self, target_id: str) -> None:
        """Give a target that is leaving no new work."""
        self._left.add(target_id)
        self._events.node('target-leaves', target=target_id)
        announcement = self._target.announcement
        if announcement is not None and self.target_id == target_id:
            self._target.close_for_new_work()


def _order(news: TargetAnnouncement) -> tuple[int, int]:
    return (news.started_ms, news.sequence)
