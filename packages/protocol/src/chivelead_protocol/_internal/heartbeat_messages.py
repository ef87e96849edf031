"""Heartbeats between nodes, and the transfer of the traffic plan."""

import dataclasses

from chivelead_protocol._internal.codec import message
from chivelead_protocol._internal.membership_messages import Member


@dataclasses.dataclass(frozen=True)
class RequestCounts:
    """Request counters of one node for an organisation since its start.

    Attributes:
        requested: Requests received, including refused ones.
        admitted: Requests admitted.
    """

    organisation: str
    requested: int
    admitted: int


@message(70)
@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Periodic message that carries frequently changing state of a node.

    The reply to a heartbeat is the heartbeat of the other node.

    Attributes:
        member: Entry of the sender in the membership table.
        plan_version: Version of the traffic plan in force at the sender.
        call_routes: Pairs of a route and a route that its requests call, as
            estimated by the sender.
        call_factors: For each pair, the number of calls per request.
        shed_part: Fraction of the demand for the target's service that the
            ingress nodes, where requests enter the fleet, should shed.
        load: Requests running and waiting, divided by the concurrency limit.
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
    """Ask for the text of the newest traffic plan that the peer has."""


@message(72)
@dataclasses.dataclass(frozen=True)
class PlanText:
    """The text of a traffic plan; empty if there is none yet."""

    version: int
    text: str
