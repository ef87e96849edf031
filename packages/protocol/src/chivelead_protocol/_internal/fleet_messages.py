"""Reports of nodes to relays, their digests, and the traffic plan.

Each node reports to one node of its failure domain, its relay.  The relay
replies with the state of the fleet, and exchanges the state of its own failure
domain with the relays of the others.
"""

import dataclasses

from chivelead_protocol._internal.codec import message
from chivelead_protocol._internal.membership_messages import (
    Member,
    TargetDeparture,
)


@dataclasses.dataclass(frozen=True)
class RequestCounts:
    """Request counters of an organisation since the start of the sender.

    Attributes:
        requested: Requests received, including refused ones.
        admitted: Requests admitted.
    """

    organisation: str
    requested: int
    admitted: int


@dataclasses.dataclass(frozen=True)
class CountReport:
    """Counters of several organisations.

    Attributes:
        is_full: Whether organisations that are missing have counts of zero;
            otherwise they have not changed recently.
    """

    is_full: bool
    counts: tuple[RequestCounts, ...]


@dataclasses.dataclass(frozen=True)
class ServiceShedding:
    """How much of the demand for a service its targets want to shed.

    Attributes:
        slots: Slots of all targets that were counted.
        shed_slots: The same sum, each target weighted by the fraction of its
            demand that should be shed.
    """

    service: str
    slots: int
    shed_slots: float


@dataclasses.dataclass(frozen=True)
class FanOutSum:
    """Calls for each request, summed over the nodes that estimated them.

    Attributes:
        route: Route of the requests.
        called_route: Route that they call.
        calls: Sum of the estimated calls for each request.
        nodes: Number of estimates in the sum.
    """

    route: str
    called_route: str
    calls: float
    nodes: int


@dataclasses.dataclass(frozen=True)
class TargetLoad:
    """Load of the target on a VM, as a multiple of its concurrency limit."""

    vm: str
    load: float


@dataclasses.dataclass(frozen=True)
class ChangePosition:
    """How far a receiver has followed the member changes of a sender.

    Attributes:
        boot_id: Start of the sender that numbered the changes; empty if the
            receiver has not heard from it.
        number: Number of the last change received.
    """

    boot_id: str
    number: int


@message(73)
@dataclasses.dataclass(frozen=True)
class NodeReport:
    """Periodic report of a node to the relay of its failure domain.

    The reply is a ``FleetDigest``.

    Attributes:
        member: Entry of the sender in the membership table.
        members: Entries that the relay seems to lack; usually empty.
        plan_version: Version of the traffic plan in force at the sender.
        plan_age_ms: Time since the sender read or watched the plan in the
            store.
        store_era: Newest era of the store that the sender has heard of.
        counts: Counters of the organisations whose requests the node received.
        fan_outs: Calls for each request, as estimated by the sender.
        shed_fraction: Fraction of the demand for the target's service that the
            ingress nodes, where requests enter the fleet, should shed.
        load: Requests running and waiting, divided by the concurrency limit.
        position: Changes of the relay that the sender has received.
        departures: Targets that have left, as an earlier start of the relay has
            published them; empty once the relay publishes them.
    """

    member: Member
    members: tuple[Member, ...]
    plan_version: int
    plan_age_ms: float
    store_era: int
    counts: CountReport
    fan_outs: tuple[FanOutSum, ...]
    shed_fraction: float
    load: float
    position: ChangePosition
    departures: tuple[TargetDeparture, ...]


@message(74)
@dataclasses.dataclass(frozen=True)
class FleetDigest:
    """State of the fleet, from a relay to a node of its failure domain.

    Attributes:
        position: Last member change that the receiver has now received.
        members: Entries that have changed.
        table_digest: Order-independent hash over the table of the relay.
        plan_version: Version of the traffic plan in force at the relay.
        plan_age_ms: Least time since the relay, or a node that ranks before
            the receiver, read or watched the plan in the store.
        store_era: Newest era of the store that the relay has heard of.
        heard_count: Nodes whose reports the relay received in time, directly
            or through relays of other failure domains.
        is_settled: Whether the relay has run long enough to have heard of the
            other failure domains.
        is_counted: Whether the relay has the counters of the receiver;
            otherwise it needs a full report.
        counts: Counters over all nodes but the receiver, since the relay
            started.
        sheddings: Overload of each service.
        fan_outs: Calls for each request, over all nodes.
        busy_targets: Targets with little or no capacity left.
        silent_vms: Nodes that have not reported for some time.
        departures: Targets that have left, as an earlier start of the receiver
            has published them; empty once the receiver publishes them.
    """

    position: ChangePosition
    members: tuple[Member, ...]
    table_digest: int
    plan_version: int
    plan_age_ms: float
    store_era: int
    heard_count: int
    is_settled: bool
    is_counted: bool
    counts: CountReport
    sheddings: tuple[ServiceShedding, ...]
    fan_outs: tuple[FanOutSum, ...]
    busy_targets: tuple[TargetLoad, ...]
    silent_vms: tuple[str, ...]
    departures: tuple[TargetDeparture, ...]


@message(75)
@dataclasses.dataclass(frozen=True)
class DomainDigest:
    """State of the nodes that report to one relay, for another relay.

    The reply to a ``DomainDigest`` is that of the other relay.

    Attributes:
        position: Last member change of the sender that is included.
        received: Changes of the receiver that the sender has received.
        members: Changed entries of the sender's failure domain.
        plan_version: Version of the traffic plan in force at the sender.
        store_era: Newest era of the store that the sender has heard of.
        heard_count: Nodes whose reports the sender received in time.
        counts: Counters over these nodes since the sender started.
        sheddings: Overload of the services of these nodes' targets.
        fan_outs: Calls for each request, over these nodes.
        busy_targets: Targets of these nodes with little or no capacity left.
        silent_vms: Nodes that have not reported to the sender for some time.
        departures: Targets that have left, as an earlier start of the receiver
            has published them; empty once the receiver publishes them.
    """

    position: ChangePosition
    received: ChangePosition
    members: tuple[Member, ...]
    plan_version: int
    store_era: int
    heard_count: int
    counts: CountReport
    sheddings: tuple[ServiceShedding, ...]
    fan_outs: tuple[FanOutSum, ...]
    busy_targets: tuple[TargetLoad, ...]
    silent_vms: tuple[str, ...]
    departures: tuple[TargetDeparture, ...]


@message(76)
@dataclasses.dataclass(frozen=True)
class MemberNotice:
    """Changed entry of the sender, which is the relay of the receiver.

    Other nodes report their changes to their relay.  The reply is a ``Pong``.
    """

    member: Member


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
