"""Era of the store: how often it has come back from an older copy.

A store that comes back from a copy has lost what it acknowledged since the copy
was made, and gives out revisions and leases again.  Nothing that a node knows
of an earlier era may be taken for stored.
"""

from collections.abc import Callable

# Called with the new era, the one before and where it was learned.
EraListener = Callable[[int, int, str], None]

STORE_SOURCE = 'store'


class StoreEra:
    """Keep the newest era of the store that this node has heard of.

    One object of a process is shared by all that stands on a revision or on an
    earlier write.  Nodes that do not call the store learn of an era from their
    peers.

    Attributes:
        number: Newest era; zero before the first one is known.
    """

    def __init__(self) -> None:
        """Start without a known era."""
        self.number = 0
        self._listeners: list[EraListener] = []

    def listen(self, listener: EraListener) -> None:
        """Call ``listener`` when the store has come back from a copy."""
        self._listeners.append(listener)

    def observe(self, number: int, source: str) -> None:
        """Record an era that was seen; an earlier one changes nothing.

        Args:
            number: The era; zero if the source knows none.
            source: VM that told of it, or ``STORE_SOURCE``.
        """
        before = self.number
        if number <= before:
            return
        self.number = number
        # What was written before the first known era may be lost too: the node
        # may have learned of that era too late.
        for listener in self._listeners:
            listener(number, before, source)
