"""Messages that operators' tools exchange with nodes."""

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
    """Members known to a node, and its status fields.

    Attributes:
        fields: Name and value of each status field.
    """

    vm: str
    members: tuple[Member, ...]
    fields: tuple[tuple[str, str], ...]


@message(62)
@dataclasses.dataclass(frozen=True)
class TimelineQuery:
    """Ask a node for its recent events.

    Attributes:
        request_id: Request whose events are wanted; empty for all events.
        max_events: Maximum number of events to return.
    """

    request_id: str
    max_events: int


@dataclasses.dataclass(frozen=True)
class TimelineEvent:
    """One event recorded by a node."""

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
    """Ask a node to stop sending new requests to its target, or to resume."""

    draining: bool
