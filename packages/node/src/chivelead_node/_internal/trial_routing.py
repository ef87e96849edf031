"""Which calls of this node go to targets on trial."""

import dataclasses
import random
from collections.abc import Sequence

from chivelead_protocol import Member, loop_ms

# A target on trial takes one call at a time from all nodes together, so each
# node waits for its turn, the longer the more nodes there are.
_TURN_MS_PER_NODE = 20.0
_MAX_TURN_MS = 1000.0
_FAILURE_DELAY_MS = 500.0
# Then calls that must run at most once are sent too.
_SAFE_CALLS_ONLY_MS = 2000.0


@dataclasses.dataclass
class _Turn:
    rank: tuple[object, ...]
    since_ms: float
    next_ms: float


class TrialRouting:
    """Send a few calls to targets on trial while others are in full use.

    Idempotent calls go first, since those that fail run again elsewhere.

    Args:
        seed: Seed for the random delays.
    """

    def __init__(self, seed: int) -> None:
        """Create a routing that knows no targets."""
        self._random = random.Random(seed)  # noqa: S311
        self._turns: dict[str, _Turn] = {}

    def find(
        self, members: Sequence[Member], *, idempotent: bool, node_count: int
    ) -> Member | None:
        """Return the target on trial that a call goes to, or None.

        Args:
            members: Targets on trial that run no call of this node.
            idempotent: Whether the call may be repeated.
            node_count: Nodes that may send calls.
        """
        time_ms = loop_ms()
        for member in members:
            turn = self._find_turn(member, node_count)
            is_allowed = (
                idempotent or time_ms - turn.since_ms >= _SAFE_CALLS_ONLY_MS
            )
            if is_allowed and time_ms >= turn.next_ms:
                turn.next_ms = time_ms + self._delay_ms(node_count)
                return member
        return None

    def record_end(self, vm: str, *, answered: bool) -> None:
        """Record the end of a call; after an answer the next may follow.

        After a failure, the target is no longer on trial; after a refusal,
        another node has the turn.
        """
        turn = self._turns.get(vm)
        if turn is not None:
            turn.next_ms = loop_ms()
            if not answered:
                turn.next_ms += _FAILURE_DELAY_MS

    def _find_turn(self, member: Member, node_count: int) -> _Turn:
        turn = self._turns.get(member.vm)
        if turn is None or turn.rank != member.rank:
            time_ms = loop_ms()
            turn = _Turn(
                member.rank, time_ms, time_ms + self._delay_ms(node_count)
            )
            self._turns[member.vm] = turn
        return turn

    def _delay_ms(self, node_count: int) -> float:
        turn_ms = min(_MAX_TURN_MS, node_count * _TURN_MS_PER_NODE)
        return self._random.uniform(0, turn_ms)
