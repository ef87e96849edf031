"""The messages of operators to nodes."""

import dataclasses

from chivelead_protocol._internal.codec import message
from chivelead_protocol._internal.membership_messages import Member


@message(60)
@dataclasses.dataclass(frozen=True)
class StatusQuery:
    """Ask a node for its status."""


@message(61)
@dataclasses.dataclass(frozen=True)
class StatusReport:
    """Status of a node as its members and counters, as text pairs."""

    vm: str
    members: tuple[Member, ...]
    fields: tuple[tuple[str, str], ...]


@message(62)
@dataclasses.dataclass(frozen=True)
class TimelineQuery:
    """Ask a node for its recent events.

    Attributes:
        request_id: Only events of this request; all when empty.
        most: Number of events at the most.
    """

    request_id: str
    max_events: int


@dataclasses.dataclass(frozen=True)
class TimelineEvent:
    """One event of one node."""

    stamp: int
    vm: str
    event: str
    fields: tuple[tuple[str, str], ...]


@message(63)
@dataclasses.dataclass(frozen=True)
class TimelineEvents:
    """Recent events of a node, oldest first."""

    events: tuple[TimelineEvent, ...]


@message(64)
@dataclasses.dataclass(frozen=True)
class DrainRequest:
    """Ask a node to give its target no new work, or to resume."""

    draining: bool
