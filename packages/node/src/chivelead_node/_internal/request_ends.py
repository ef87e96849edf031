"""The owner of the ends of requests that get no answer of a target."""

import collections
from collections.abc import Mapping

from chivelead_protocol import CallReply, Outcome

from chivelead_node._internal.end_causes import EndCause, find_cause
from chivelead_node._internal.events import EventLog
from chivelead_node._internal.metrics import CallMetrics


class RequestEnds:
    """Counts and logs the requests that end without the answer of a target.

    Refusals are answers of their own: they say that nothing has run.

    Args:
        events: Event log.
        metrics: Counters.
    """

    def __init__(self, events: EventLog, metrics: CallMetrics) -> None:
        """Create an owner that has recorded nothing."""
        self._events = events
        self._metrics = metrics
        self._counts: collections.Counter[EndCause] = collections.Counter()

    def record_cut(
        self, request_id: str, cause: EndCause, **inputs: object
    ) -> None:
        """Record that a connection ends before an answer is with its reader.

        Args:
            request_id: ID of the request; empty if it has none.
            cause: Why the request ends.
            inputs: How far the request came, for the log.
        """
        self._count(cause)
        self._events.record_decision(
            'failed', 'answer-cut', request_id, why=cause.value, **inputs
        )

    def record_reply(self, reply: CallReply) -> None:
        """Record an answer of the node to a request that may have run."""
        if reply.reason and reply.outcome == Outcome.unknown:
            self._count(find_cause(reply.reason))

    def counts(self) -> dict[str, int]:
        """Return the number of ends by cause, without those that are zero."""
        return {
            cause.value: self._counts[cause]
            for cause in EndCause
            if self._counts[cause]
        }

    def describe(self) -> str:
        """Return the counts as text."""
        return describe_counts(self.counts())

    def _count(self, cause: EndCause) -> None:
        self._counts[cause] += 1
        self._metrics.count_end(cause)


def describe_counts(counts: Mapping[str, int]) -> str:
    """Return counts by name as text."""
    return ','.join(f'{name}:{count}' for name, count in counts.items())
