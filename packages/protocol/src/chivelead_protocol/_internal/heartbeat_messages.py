"""Messages between nodes that count for themselves and follow one plan."""

import dataclasses

from chivelead_protocol._internal.codec import message
from chivelead_protocol._internal.membership_messages import Member


@dataclasses.dataclass(frozen=True)
class RequestCounts:
    """What one node has done for an organisation since it started.

    Attributes:
        asked: Requests that came, refused ones included.
        admitted: Requests that were let in.
    """

    organisation: str
    requested: int
    admitted: int


@message(70)
@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Sign of life between nodes, with what changes all the time.

    The reply to a pulse is the pulse of the other side.

    Attributes:
        plan_version: Version of the traffic plan in force at the sender.
        call_routes: Routes of requests and of the calls they lead to, in
            pairs, as the sender has learned them.
        call_factors: How many calls, for each pair.
        shed_part: Part of the demand for the target's service that entries
            should refuse.
        load: As in a call reply.
    """

    member: Member
    plan_version: int
    counts: tuple[RequestCounts, ...]
    call_routes: tuple[tuple[str, str], ...]
    call_factors: tuple[float, ...]
    shed_part: float
    load: float


@message(71)
@dataclasses.dataclass(frozen=True)
class PlanPull:
    """Ask for the text of the newest traffic plan that the peer holds."""


@message(72)
@dataclasses.dataclass(frozen=True)
class PlanText:
    """The text of a traffic plan; empty if there is none yet."""

    version: int
    text: str
