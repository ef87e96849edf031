"""Table of the known members, and the rules for merging updates."""

import collections
import dataclasses
import zlib
from collections.abc import Callable, Iterable

from chivelead_protocol import Member, TargetState, now_ms

from chivelead_coordination._internal.former_departures import (
    FormerDepartures,
)
from chivelead_coordination._internal.rendezvous import rank_members

_MAX_UPDATES_PER_MESSAGE = 24
_TRANSMISSIONS_PER_UPDATE = 8
_DEAD_RETENTION_MS = 600_000
_DIGEST_MASK = 0xFFFFFFFF
_TIER_COUNT = 3

Listener = Callable[[Member], None]


def distance_tier(own: Member, member: Member) -> int:
    """Return 0 in the same failure domain, 1 in the same region, else 2."""
    if member.region != own.region:
        return 2
    return int(member.failure_domain != own.failure_domain)


def _entry_checksum(member: Member) -> int:
    text = f'{member.vm}|{member.boot_id}|{member.rank}'
    return zlib.crc32(text.encode())


class Membership:
    """All members known to this node, including its own entry.

    Args:
        own: Initial entry of this node.

    Attributes:
        former_departures: Departures that earlier starts of nodes published.
    """

    def __init__(self, own: Member) -> None:
        """Start with only the entry of this node."""
        self.former_departures = FormerDepartures()
        self._own_vm = own.vm
        self._members = {own.vm: own}
        self._digest = _entry_checksum(own)
        self._pending_updates: collections.deque[list[int | str]] = (
            collections.deque()
        )
        self._dead_since_ms: dict[str, float] = {}
        self._listeners: list[Listener] = []
        # Cached results of queries on the request path; cleared on each change.
        self._member_cache: dict[tuple[str, str], tuple[Member, ...]] = {}
        self._owner_cache: dict[tuple[str, str], tuple[str, ...]] = {}
        self._ready_cache: dict[str, tuple[tuple[Member, ...], ...]] = {}

    @property
    def own(self) -> Member:
        """Return the entry of this node."""
        return self._members[self._own_vm]

    @property
    def digest(self) -> int:
        """Return a hash over all entries, independent of their order."""
        return self._digest

    @property
    def has_pending_updates(self) -> bool:
        """Return whether an update has transmissions left."""
        return bool(self._pending_updates)

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each entry that is added or changed."""
        self._listeners.append(listener)

    def find(self, vm: str) -> Member | None:
        """Return the entry of a node, or None if it is not known."""
        return self._members.get(vm)

    def all_members(self) -> tuple[Member, ...]:
        """Return all entries, including those of dead members."""
        return tuple(self._members.values())

    def alive_members(self, failure_domain: str = '') -> tuple[Member, ...]:
        """Return the live members of a failure domain, or of all if empty."""
        members = self._member_cache.get(('failure_domain', failure_domain))
        if members is None:
            members = tuple(
                member
                for member in self._members.values()
                if member.alive
                and failure_domain in {'', member.failure_domain}
            )
            self._member_cache[('failure_domain', failure_domain)] = members
        return members

    def count_alive(self) -> int:
        """Return the number of live members, including this node."""
        return len(self.alive_members())

    def count_alive_within(self, period_ms: float) -> int:
        """Return the number of members that were alive within a period."""
        cutoff_ms = now_ms() - period_ms
        return self.count_alive() + sum(
            since_ms >= cutoff_ms for since_ms in self._dead_since_ms.values()
        )

    def service_members(self, service: str) -> tuple[Member, ...]:
        """Return the live members whose targets belong to a service."""
        members = self._member_cache.get(('service', service))
        if members is None:
            members = tuple(
                member
                for member in self.alive_members()
                if member.service == service
            )
            self._member_cache[('service', service)] = members
        return members

    def ready_by_distance(self, service: str) -> tuple[tuple[Member, ...], ...]:
        """Return the live members with ready targets of a service.

        Returns:
            Those of this node's failure domain, of the rest of its region, and
            of other regions.
        """
        tiers = self._ready_cache.get(service)
        if tiers is None:
            own = self.own
            ready = [
                member
                for member in self.service_members(service)
                if member.target_state == TargetState.ready
            ]
            tiers = tuple(
                tuple(
                    member
                    for member in ready
                    if distance_tier(own, member) == tier
                )
                for tier in range(_TIER_COUNT)
            )
            self._ready_cache[service] = tiers
        return tiers

    def members_on_trial(self, service: str) -> tuple[Member, ...]:
        """Return the live members with targets of a service on trial."""
        members = self._member_cache.get(('trial', service))
        if members is None:
            members = tuple(
                member
                for member in self.service_members(service)
                if member.target_state == TargetState.trial
            )
            self._member_cache[('trial', service)] = members
        return members

    def share_owners(
        self, failure_domain: str, subject: str
    ) -> tuple[str, ...]:
        """Return the VMs that own shares, ranked by rendezvous hashing.

        Args:
            failure_domain: Failure domain of the VMs; any if empty.
            subject: Hashed with each VM to rank it.
        """
        cache_key = (failure_domain, subject)
        owner_vms = self._owner_cache.get(cache_key)
        if owner_vms is None:
            owners = (
                member.vm
                for member in self.alive_members(failure_domain)
                if member.shares
            )
            owner_vms = tuple(rank_members(subject, owners))
            self._owner_cache[cache_key] = owner_vms
        return owner_vms

    def update_own(self, **changes: object) -> None:
        """Update this node's entry, with a new version if a field differs."""
        changed = dataclasses.replace(
            self.own,
            **changes,  # type: ignore[arg-type]
        )
        if changed != self.own:
            self._replace_entry(
                dataclasses.replace(changed, version=self.own.version + 1),
            )

    def merge(self, members: Iterable[Member]) -> None:
        """Merge entries received from a peer, where they are newer."""
        for member in members:
            if member.vm == self._own_vm:
                self._refute(member)
            else:
                self._merge_other(member)

    def merge_self_reported(self, member: Member) -> None:
        """Merge an entry that was sent or written by the member itself.

        Unlike ``merge``, this accepts an entry of the known version, so that
        a member marked as dead by mistake becomes alive again.
        """
        known = self._members.get(member.vm)
        if member.vm == self._own_vm:
            self._refute(member)
        elif known is None or (
            member != known
            and (member.incarnation, member.version)
            >= (known.incarnation, known.version)
        ):
            self._replace_entry(member)

    def mark_dead(self, vm: str) -> None:
        """Mark a member as dead, keeping the version of its entry."""
        member = self._members.get(vm)
        if member is not None and member.alive and vm != self._own_vm:
            self._replace_entry(dataclasses.replace(member, alive=False))

    def take_updates(self) -> tuple[Member, ...]:
        """Return changed entries to send, each a limited number of times."""
        updates = []
        for _ in range(
            min(_MAX_UPDATES_PER_MESSAGE, len(self._pending_updates))
        ):
            update = self._pending_updates.popleft()
            vm, sent_count = str(update[0]), int(update[1])
            updates.append(self._members[vm])
            if sent_count + 1 < _TRANSMISSIONS_PER_UPDATE:
                self._pending_updates.append([vm, sent_count + 1])
        return tuple(updates)

    def purge_dead(self) -> None:
        """Remove members that have been dead for the retention time."""
        cutoff_ms = now_ms() - _DEAD_RETENTION_MS
        for vm, since_ms in tuple(self._dead_since_ms.items()):
            if since_ms < cutoff_ms:
                self._dead_since_ms.pop(vm)
                member = self._members.pop(vm)
                self.former_departures.forget(vm)
                self._digest ^= _entry_checksum(member)
                self._pending_updates = collections.deque(
                    update
                    for update in self._pending_updates
                    if update[0] != vm
                )

    def _merge_other(self, member: Member) -> None:
        known = self._members.get(member.vm)
        if known is None and not member.alive:
            return
        if known is None or member.rank > known.rank:
            self._replace_entry(member)

    def _refute(self, claimed: Member) -> None:
        """Supersede an entry of this VM that this process did not write."""
        own = self.own
        if claimed.rank < own.rank or claimed == own:
            return
        # The entry is of an earlier process on this VM, or a peer has marked
        # this node as dead by mistake.
        self._replace_entry(
            dataclasses.replace(
                own,
                incarnation=claimed.incarnation + 1,
                version=own.version + 1,
            ),
        )

    def _replace_entry(self, member: Member) -> None:
        self._member_cache.clear()
        self._owner_cache.clear()
        self._ready_cache.clear()
        known = self._members.get(member.vm)
        self.former_departures.note_replaced(known, member)
        if known is not None:
            self._digest ^= _entry_checksum(known)
        self._digest = (self._digest ^ _entry_checksum(member)) & _DIGEST_MASK
        self._members[member.vm] = member
        if member.alive:
            self._dead_since_ms.pop(member.vm, None)
        else:
            self._dead_since_ms[member.vm] = now_ms()
        self._pending_updates = collections.deque(
            update for update in self._pending_updates if update[0] != member.vm
        )
        self._pending_updates.appendleft([member.vm, 0])
        for listener in self._listeners:
            listener(member)
