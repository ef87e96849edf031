"""Departures of targets that nodes published before they restarted.

The store may lose what a node has saved there, or be away when the node would
save it.  Other nodes still know, from the entry of the earlier start.
"""

from chivelead_protocol import Member, TargetDeparture

# As many as a node publishes.
MAX_DEPARTURES = 8


class FormerDepartures:
    """Keep departures until the next start of their node publishes them."""

    def __init__(self) -> None:
        """Start without departures."""
        self._by_vm: dict[str, tuple[TargetDeparture, ...]] = {}

    def find(self, vm: str) -> tuple[TargetDeparture, ...]:
        """Return what the present start of a node has not published yet."""
        return self._by_vm.get(vm, ())

    def note_replaced(self, known: Member | None, member: Member) -> None:
        """Note that the entry of a node replaces a known one.

        Only the present start of a node may drop departures.
        """
        former = self._by_vm.pop(member.vm, ())
        if known is not None and known.boot_id != member.boot_id:
            former = (*former, *known.departures)
        if not former or len(member.departures) >= MAX_DEPARTURES:
            return
        missing = tuple(
            departure
            for departure in former
            if not _is_published(departure, member)
        )
        if missing:
            self._by_vm[member.vm] = missing[-MAX_DEPARTURES:]

    def forget(self, vm: str) -> None:
        """Forget a node that is gone for good."""
        self._by_vm.pop(vm, None)


def _is_published(departure: TargetDeparture, member: Member) -> bool:
    return any(
        published.target_id == departure.target_id
        and published.latest_start_ms >= departure.latest_start_ms
        for published in member.departures
    )
