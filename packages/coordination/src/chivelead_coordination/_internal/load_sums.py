"""Sums of the load and overload that nodes report."""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from chivelead_protocol import (
    DomainDigest,
    FanOutSum,
    NodeReport,
    ServiceShedding,
    TargetLoad,
)

# Lower loads are not reported: such a target has capacity.
_MIN_REPORTED_LOAD = 0.5


@dataclasses.dataclass(frozen=True)
class CombinedState:
    """State of a set of nodes at one moment."""

    heard_count: int
    plan_version: int
    sheddings: tuple[ServiceShedding, ...]
    fan_outs: tuple[FanOutSum, ...]
    busy_targets: tuple[TargetLoad, ...]
    silent_vms: tuple[str, ...]


def combine_reports(
    reports: Sequence[NodeReport],
    silent_vms: tuple[str, ...],
    *,
    heard_count: int,
) -> CombinedState:
    """Combine the reports of nodes.

    Args:
        reports: Recent reports.
        silent_vms: Nodes that have not reported for some time.
        heard_count: Number of the others.
    """
    return CombinedState(
        heard_count=heard_count,
        plan_version=max(
            (report.plan_version for report in reports), default=0
        ),
        sheddings=_sum_sheddings(
            _report_shedding(report) for report in reports
        ),
        fan_outs=_sum_fan_outs(
            fan_out for report in reports for fan_out in report.fan_outs
        ),
        busy_targets=tuple(
            TargetLoad(report.member.vm, report.load)
            for report in reports
            if report.load >= _MIN_REPORTED_LOAD
        ),
        silent_vms=silent_vms,
    )


def merge_states(
    parts: Iterable[CombinedState | DomainDigest],
) -> CombinedState:
    """Combine the states of several sets of nodes."""
    parts = tuple(parts)
    return CombinedState(
        heard_count=sum(part.heard_count for part in parts),
        plan_version=max(part.plan_version for part in parts),
        sheddings=_sum_sheddings(
            shedding for part in parts for shedding in part.sheddings
        ),
        fan_outs=_sum_fan_outs(
            fan_out for part in parts for fan_out in part.fan_outs
        ),
        busy_targets=tuple(
            target for part in parts for target in part.busy_targets
        ),
        silent_vms=tuple(vm for part in parts for vm in part.silent_vms),
    )


def _report_shedding(report: NodeReport) -> ServiceShedding:
    slots = report.member.target_slots
    return ServiceShedding(
        report.member.service, slots, slots * report.shed_fraction
    )


def _sum_sheddings(
    sheddings: Iterable[ServiceShedding],
) -> tuple[ServiceShedding, ...]:
    slots: dict[str, int] = collections.defaultdict(int)
    shed_slots: dict[str, float] = collections.defaultdict(float)
    for shedding in sheddings:
        if shedding.service and shedding.slots:
            slots[shedding.service] += shedding.slots
            shed_slots[shedding.service] += shedding.shed_slots
    return tuple(
        ServiceShedding(service, slots[service], shed_slots[service])
        for service in slots
    )


def _sum_fan_outs(fan_outs: Iterable[FanOutSum]) -> tuple[FanOutSum, ...]:
    calls: dict[tuple[str, str], float] = collections.defaultdict(float)
    nodes: dict[tuple[str, str], int] = collections.defaultdict(int)
    for fan_out in fan_outs:
        routes = (fan_out.route, fan_out.called_route)
        calls[routes] += fan_out.calls
        nodes[routes] += fan_out.nodes
    return tuple(
        FanOutSum(*routes, calls[routes], nodes[routes]) for routes in calls
    )
