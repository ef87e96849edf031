"""Choice of the nodes that watch the traffic plan in the store."""

from chivelead_coordination import RelayRanking
from chivelead_protocol import loop_ms

from chivelead_node._internal.events import EventLog
from chivelead_node._internal.proxy.plan_feed import PlanFeed

# Nodes of a failure domain that may watch besides the first one.
_MAX_STANDBYS = 2
# Beyond the duration of a watch: its calls, and the time until the reply to the
# next report brings the age of the plan.
_STANDBY_MARGIN_MS = 800.0
# Gives the standby before this one time to read the plan and to report that.
_STANDBY_STEP_MS = 700.0


class PlanWatchRole:
    """Decide whether this node watches the plan for its failure domain.

    The node that ranks first watches.  It may be cut off from the store while
    the others are not, so the next ones watch too, as standbys, while no node
    that ranks before them hears from the store.

    Args:
        ranking: Ranks the nodes of the failure domain.
        plan_feed: Tells how long a watch takes.
        events: Event log.
    """

    def __init__(
        self,
        ranking: RelayRanking,
        plan_feed: PlanFeed,
        events: EventLog,
    ) -> None:
        """Create the role; the nodes that rank before count as watching."""
        self._ranking = ranking
        self._events = events
        self._standby_after_ms = plan_feed.watch_timeout_ms + _STANDBY_MARGIN_MS
        self._heard_ms = loop_ms()
        self._is_standby = False

    def record_age(self, plan_age_ms: float) -> None:
        """Record the least age of the plan at the nodes that rank before."""
        self._heard_ms = loop_ms() - plan_age_ms

    def should_watch(self) -> bool:
        """Return whether this node is to watch the plan."""
        rank = self._ranking.own_rank
        if rank is None:
            return False
        is_standby = 0 < rank <= _MAX_STANDBYS and self._is_plan_old(rank)
        if is_standby != self._is_standby:
            self._is_standby = is_standby
            self._events.record_node_event(
                'plan-standby-started' if is_standby else 'plan-standby-ended',
                rank=rank,
                plan_age_ms=round(self._age_ms()),
            )
        return is_standby or not rank

    def _is_plan_old(self, rank: int) -> bool:
        limit_ms = self._standby_after_ms + (rank - 1) * _STANDBY_STEP_MS
        return self._age_ms() > limit_ms

    def _age_ms(self) -> float:
        return loop_ms() - self._heard_ms
