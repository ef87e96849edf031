"""Choice of the node that relays state for a failure domain."""

from chivelead_protocol import Member, loop_ms

from chivelead_coordination._internal.membership import Membership
from chivelead_coordination._internal.rendezvous import rank_members

# A node that did not respond is not asked again for this long.
_AVOIDANCE_MS = 2000.0


class RelayRanking:
    """Rank the nodes of a failure domain as its relay.

    All nodes that know the same members rank them alike, so no agreement is
    needed.  A node that cannot reach the first one uses the next.

    Args:
        membership: Nodes of the fleet.
    """

    def __init__(self, membership: Membership) -> None:
        """Create a ranking of the known nodes."""
        self._membership = membership
        self._ranked_by_domain: dict[str, list[str]] = {}
        self._avoided_until_ms: dict[str, float] = {}
        membership.listen(self._forget_ranking)

    @property
    def is_first(self) -> bool:
        """Return whether this node ranks first among the reachable ones."""
        own = self._membership.own
        return self.candidates(own.failure_domain)[:1] == [own.vm]

    @property
    def own_rank(self) -> int | None:
        """Return how many reachable nodes rank before this one.

        None if this node does not offer to relay.
        """
        own = self._membership.own
        candidates = self.candidates(own.failure_domain)
        return candidates.index(own.vm) if own.vm in candidates else None

    def candidates(self, failure_domain: str) -> list[str]:
        """Return the reachable nodes of a failure domain, the best first."""
        time_ms = loop_ms()
        ranked = self.ranked(failure_domain)
        reachable = [
            vm for vm in ranked if self._avoided_until_ms.get(vm, 0) <= time_ms
        ]
        return reachable or ranked

    def ranked(self, failure_domain: str) -> list[str]:
        """Return the nodes of a failure domain, the best first."""
        ranked = self._ranked_by_domain.get(failure_domain)
        if ranked is None:
            members = self._membership.alive_members(failure_domain)
            # During shutdown, nodes do not offer to relay.
            offering = [member.vm for member in members if member.relay]
            ranked = rank_members(
                f'relay {failure_domain}',
                offering or [member.vm for member in members],
            )
            self._ranked_by_domain[failure_domain] = ranked
        return ranked

    def failure_domains(self) -> set[str]:
        """Return the failure domains of all live members."""
        return {
            member.failure_domain for member in self._membership.alive_members()
        }

    def record_failure(self, vm: str) -> None:
        """Avoid a node that did not respond."""
        self._avoided_until_ms[vm] = loop_ms() + _AVOIDANCE_MS

    def record_success(self, vm: str) -> None:
        """Stop avoiding a node."""
        self._avoided_until_ms.pop(vm, None)

    def _forget_ranking(self, member: Member) -> None:
        self._ranked_by_domain.pop(member.failure_domain, None)
