"""Departures of targets whose start the node does not know.

The departure gives only the ID of the target, and the clocks of node and target
may differ.  So it binds each start under this ID, until one has announced
itself for longer than announcements arrive late.
"""

import dataclasses
from collections.abc import Container

from chivelead_protocol import now_ms


@dataclasses.dataclass(frozen=True)
class _FirstAnnouncement:
    """When a start of a target was first heard of after the departure.

    Attributes:
        started_ms: Unix time of the start.
        received_ms: Time of the announcement, by ``now_ms``.
    """

    started_ms: int
    received_ms: float


class UndatedDepartures:
    """Departures that bind all starts of a target which are not confirmed.

    Args:
        confirmed_after_ms: Time over which the announcements of a start must
            arrive.  Those of a target that has left may be late.
    """

    def __init__(self, confirmed_after_ms: float) -> None:
        """Create a record without departures."""
        self._confirmed_after_ms = confirmed_after_ms
        self._first: dict[str, _FirstAnnouncement | None] = {}

    def __contains__(self, target_id: str) -> bool:
        """Return whether a departure binds all starts of a target."""
        return target_id in self._first

    def add(self, target_id: str) -> None:
        """Add the departure of a target."""
        self._first.pop(target_id, None)
        self._first[target_id] = None

    def discard(self, target_id: str) -> None:
        """Remove the departure of a target, if there is one."""
        self._first.pop(target_id, None)

    def keep_only(self, target_ids: Container[str]) -> None:
        """Remove the departures of other targets."""
        for target_id in tuple(self._first):
            if target_id not in target_ids:
                self._first.pop(target_id)

    def confirm(self, target_id: str, started_ms: int) -> bool:
        """Record that a target is ready; return whether its start is later.

        Args:
            target_id: ID of a target with a departure.
            started_ms: Unix time of its start; zero if it is unknown.
        """
        first = self._first[target_id]
        if not started_ms:
            return False
        if first is None or first.started_ms != started_ms:
            self._first[target_id] = _FirstAnnouncement(started_ms, now_ms())
            return False
        return now_ms() - first.received_ms > self._confirmed_after_ms
