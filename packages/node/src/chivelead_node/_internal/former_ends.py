"""Counts of ended requests at processes that are gone."""

import collections

from chivelead_protocol.request_ends import EndCounts, EndCountsHandover

from chivelead_node._internal.request_ends import RequestEnds, describe_counts

# Rows that a node keeps; the oldest ones are dropped.
_MAX_ROWS = 1000


class FormerEnds:
    """Keeps the counts that processes hand over when they end.

    Those of a process that is killed are lost.

    Args:
        ends: Counts of this process.
    """

    def __init__(self, ends: RequestEnds) -> None:
        """Create an object that keeps no counts."""
        self._ends = ends
        self._rows: dict[tuple[str, str], EndCounts] = {}

    def keep(self, handover: EndCountsHandover) -> None:
        """Keep the counts of processes that are gone."""
        for row in handover.rows:
            self._rows[row.vm, row.boot_id] = row
        while len(self._rows) > _MAX_ROWS:
            self._rows.pop(next(iter(self._rows)))

    def make_handover(self, vm: str, boot_id: str) -> EndCountsHandover:
        """Return what another node has to keep when this process ends.

        Args:
            vm: VM of this process.
            boot_id: Start of this process.
        """
        own = EndCounts(vm, boot_id, tuple(self._ends.counts().items()))
        return EndCountsHandover((*self._rows.values(), own))

    def describe(self) -> str:
        """Return the sums over these processes as text."""
        sums: collections.Counter[str] = collections.Counter()
        for row in self._rows.values():
            sums.update(dict(row.counts))
        return describe_counts(sums)
