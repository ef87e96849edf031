"""Detection of requests that end the targets that run them.

Each end of a target names the requests that were running.  A request is harmful
if it was running at several ends and no target has answered it since.  Ends
that a harmful request explains are no evidence against those that ran beside
it, so the requests with the most ends are judged first.
"""

import collections
import dataclasses
import math
from collections.abc import Collection, Iterable

# Fewer would condemn requests that ran beside a harmful one and were sent
# again together with it.
ENDS_UNTIL_HARMFUL = 3
# After this time without a further end, a harmful request may run again.
HOLD_MS = 300_000.0
# For requests that ran at the same ends: the next one tells them apart.
AMBIGUOUS_HOLD_MS = 30_000.0
# A request that may prove harmful runs at one target only, so that it does not
# end several while nodes tell each other.
_ENDS_UNTIL_CONFINED = 2
_CONFINED_MS = 2000.0
# A request that ends a target within this time is harmful again at once.
RETENTION_MS = 1_800_000.0
MAX_ENDS = 256
MAX_REQUESTS_PER_END = 128
_MAX_ANSWERS = 4096


@dataclasses.dataclass(frozen=True)
class TargetEnd:
    """The end of a target for which there was no known reason.

    Attributes:
        end_id: Unique for this start of the target.
        version: Version of the software of the target; empty if unknown.
        ended_ms: Time of the end on the clock of this process.
        fingerprints: Requests that were running.
    """

    end_id: str
    version: str
    ended_ms: float
    fingerprints: frozenset[str]


@dataclasses.dataclass(frozen=True)
class HarmfulRequest:
    """A request that ends the targets that run it.

    Attributes:
        ends: The ends that are evidence, in order of time.
        is_ambiguous: Whether others ran at the same ends.
    """

    fingerprint: str
    ends: tuple[TargetEnd, ...]
    is_ambiguous: bool

    def is_held(self, version: str, time_ms: float) -> bool:
        """Return whether targets of a version must not run the request.

        A new version may no longer end under it, and gets one trial.

        Args:
            version: Version of the target; empty if unknown.
            time_ms: Current time.
        """
        hold_ms = AMBIGUOUS_HOLD_MS if self.is_ambiguous else HOLD_MS
        if self.ends[-1].ended_ms + hold_ms <= time_ms:
            return False
        return not version or any(
            end.version in {version, ''} for end in self.ends
        )


class TargetEndLedger:
    """Ends of targets, and the answers that clear requests of them.

    Ends and answers may be added in any order and more than once; ledgers with
    the same entries agree.  Times are passed in, in milliseconds.
    """

    def __init__(self) -> None:
        """Create an empty ledger."""
        self._ends: dict[str, TargetEnd] = {}
        # Time of the last answer to each request that was ever suspected.
        self._answered_ms: dict[str, float] = {}
        # The ends after the last answer, for each request.
        self._evidence: dict[str, list[TargetEnd]] = {}
        self._harmful: dict[str, HarmfulRequest] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell other nodes."""
        return not self._ends

    @property
    def harmful(self) -> tuple[HarmfulRequest, ...]:
        """Return the harmful requests, including those no longer held."""
        return tuple(self._harmful.values())

    @property
    def ends(self) -> tuple[TargetEnd, ...]:
        """Return the ends in order of time."""
        return tuple(sorted(self._ends.values(), key=_end_order))

    @property
    def answers(self) -> tuple[tuple[str, float], ...]:
        """Return suspected requests with the times of their last answers."""
        return tuple(self._answered_ms.items())

    def add_end(self, end: TargetEnd, time_ms: float) -> bool:
        """Add an end; return whether it is new.

        Args:
            end: The end.
            time_ms: Current time; an end that is too old is not added.
        """
        if end.end_id in self._ends or end.ended_ms <= time_ms - RETENTION_MS:
            return False
        self._ends[end.end_id] = end
        latest = self.ends[-MAX_ENDS:]
        self._ends = {kept.end_id: kept for kept in latest}
        self._judge()
        return end.end_id in self._ends

    def add_answer(self, fingerprint: str, answered_ms: float) -> None:
        """Note that a target answered a request and did not end under it."""
        if answered_ms <= self._answered_ms.get(fingerprint, -math.inf):
            return
        self._answered_ms.pop(fingerprint, None)
        self._answered_ms[fingerprint] = answered_ms
        while len(self._answered_ms) > _MAX_ANSWERS:
            self._answered_ms.pop(next(iter(self._answered_ms)))
        if fingerprint in self._evidence:
            self._judge()

    def expire(self, time_ms: float) -> None:
        """Forget what is too old.

        Args:
            time_ms: Current time.
        """
        oldest_ms = time_ms - RETENTION_MS
        expired = [
            end.end_id
            for end in self._ends.values()
            if end.ended_ms <= oldest_ms
        ]
        for end_id in expired:
            self._ends.pop(end_id)
        self._answered_ms = {
            fingerprint: answered_ms
            for fingerprint, answered_ms in self._answered_ms.items()
            if answered_ms > oldest_ms
        }
        if expired:
            self._judge()

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether a request was running at an end and not answered."""
        return fingerprint in self._evidence

    def count_ends(self, fingerprint: str) -> int:
        """Return the ends under a request since its last answer."""
        return len(self._evidence.get(fingerprint, ()))

    def is_confined(self, fingerprint: str, time_ms: float) -> bool:
        """Return whether a request may run at one target of the service only.

        Args:
            fingerprint: Identifies the request.
            time_ms: Current time.
        """
        if fingerprint in self._harmful:
            return True
        ends = self._evidence.get(fingerprint, [])
        return (
            len(ends) >= _ENDS_UNTIL_CONFINED
            and ends[-1].ended_ms + _CONFINED_MS > time_ms
        )

    def find_held(
        self, fingerprint: str, version: str, time_ms: float
    ) -> HarmfulRequest | None:
        """Return a request if it is harmful to targets of a version.

        Args:
            fingerprint: Identifies the request.
            version: Version of the target; empty if unknown.
            time_ms: Current time.
        """
        harmful = self._harmful.get(fingerprint)
        if harmful is None or not harmful.is_held(version, time_ms):
            return None
        return harmful

    def _judge(self) -> None:
        evidence = collections.defaultdict(list)
        for end in self.ends:
            for fingerprint in end.fingerprints:
                answered_ms = self._answered_ms.get(fingerprint, -math.inf)
                if end.ended_ms > answered_ms:
                    evidence[fingerprint].append(end)
        self._evidence = dict(evidence)
        self._harmful = {
            harmful.fingerprint: harmful
            for harmful in _find_harmful(self._evidence)
        }


def select_fingerprints(
    running: Collection[str], ledger: TargetEndLedger
) -> frozenset[str]:
    """Return the requests to record with an end; at most a fixed number.

    Args:
        running: Fingerprints of the running requests, the latest last.
        ledger: Requests with earlier ends go before others.
    """
    latest_first = sorted(
        reversed(tuple(running)), key=ledger.count_ends, reverse=True
    )
    return frozenset(latest_first[:MAX_REQUESTS_PER_END])


def _find_harmful(
    evidence: dict[str, list[TargetEnd]],
) -> Iterable[HarmfulRequest]:
    """Explain the ends by as few requests as possible, greedily."""
    unexplained = {
        fingerprint: ends
        for fingerprint, ends in evidence.items()
        if len(ends) >= ENDS_UNTIL_HARMFUL
    }
    while unexplained:
        most = max(map(len, unexplained.values()))
        found = [
            fingerprint
            for fingerprint, ends in unexplained.items()
            if len(ends) == most
        ]
        explained: set[str] = set()
        for fingerprint in found:
            yield HarmfulRequest(
                fingerprint,
                tuple(evidence[fingerprint]),
                is_ambiguous=len(found) > 1,
            )
            explained.update(end.end_id for end in evidence[fingerprint])
        unexplained = {
            fingerprint: left
            for fingerprint, ends in unexplained.items()
            if len(left := [end for end in ends if end.end_id not in explained])
            >= ENDS_UNTIL_HARMFUL
        }


def _end_order(end: TargetEnd) -> tuple[float, str]:
    return (end.ended_ms, end.end_id)
