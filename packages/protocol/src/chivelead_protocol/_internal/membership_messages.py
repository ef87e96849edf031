"""The messages by which nodes learn of each other."""

import dataclasses

from chivelead_protocol._internal.codec import message


@dataclasses.dataclass(frozen=True)
class Member:
    """What the fleet knows of one node and its target.

    Attributes:
        boot_id: Random at each start of the process.
        incarnation: Grows whenever the node corrects what others say of it.
        version: Grows with each change made by the node itself.
        alive: False once the node left or was found dead.
        relay: Whether the node holds a relay key in the store.
        target_slots: Requests the target serves at once.
        target_connections: Connections the target accepts.
        shares: Numbers of the shares the node owns.
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

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Return the order in which news of a node replaces older news."""
        return (self.incarnation, self.version, not self.alive)


@message(20)
@dataclasses.dataclass(frozen=True)
class Gossip:
    """Changes of membership and the digest of what the sender knows.

    Attributes:
        table_digest: Order-independent hash over all members.
        config_version: Version of the documents in force at the sender.
    """

    members: tuple[Member, ...]
    table_digest: int
    config_version: int


@message(21)
@dataclasses.dataclass(frozen=True)
class MemberSummary:
    """Rank of each member the sender knows, to find what differs."""

    vms: tuple[str, ...]
    incarnations: tuple[int, ...]
    versions: tuple[int, ...]


@message(22)
@dataclasses.dataclass(frozen=True)
class MemberTable:
    """Members that the receiver asked for or lacks."""

    members: tuple[Member, ...]
