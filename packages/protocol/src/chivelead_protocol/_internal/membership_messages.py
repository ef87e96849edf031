"""Messages by which nodes exchange their membership tables."""

import dataclasses

from chivelead_protocol._internal.codec import message


@dataclasses.dataclass(frozen=True)
class TargetDeparture:
    """A target that has left, and gets no more calls.

    Attributes:
        target_id: ID of the target.
        latest_start_ms: Unix time; later starts under this ID have not left.
    """

    target_id: str
    latest_start_ms: int


@dataclasses.dataclass(frozen=True)
class Member:
    """The entry of one node and its target in the membership table.

    Attributes:
        boot_id: Random identifier, new at each start of the process.
        incarnation: Increased by the node to refute what others report of it.
        version: Increased by the node with each change of its own entry.
        alive: False once the node has left or was declared dead.
        relay: With documents: whether the node holds a relay key in the store
            and watches it for new documents.  On the platform: whether the
            node may be chosen as the relay of its failure domain.
        target_slots: Number of requests that the target handles concurrently.
        target_connections: Number of connections that the target accepts.
        shares: Numbers of the shares that the node owns; each share is a
            fixed part of all rate limits.
        departures: On the platform: targets of this VM that have left.
    """

    vm: str
    boot_id: str
    incarnation: int
    version: int
    alive: bool
    relay: bool
    host: str
    peer_port: int
    failure_domain: str
    region: str
    service: str
    target_state: str
    target_slots: int
    target_connections: int
    shares: tuple[int, ...]
    departures: tuple[TargetDeparture, ...] = ()

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Return a key that sorts the entries of a node, the newest last."""
        return (self.incarnation, self.version, not self.alive)


@message(20)
@dataclasses.dataclass(frozen=True)
class Gossip:
    """Membership changes and a digest of the table of the sender.

    Attributes:
        members: Entries that have changed.
        table_digest: Order-independent hash over all members.
        config_version: Version of the documents in force at the sender.
    """

    members: tuple[Member, ...]
    table_digest: int
    config_version: int


@message(21)
@dataclasses.dataclass(frozen=True)
class MemberSummary:
    """Versions of all members that the sender knows, to find differences."""

    vms: tuple[str, ...]
    incarnations: tuple[int, ...]
    versions: tuple[int, ...]


@message(22)
@dataclasses.dataclass(frozen=True)
class MemberTable:
    """Reply to a ``MemberSummary``: newer entries, and all of dead members."""

    members: tuple[Member, ...]
