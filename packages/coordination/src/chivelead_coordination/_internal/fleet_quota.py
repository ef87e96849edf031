"""Rates of organisations, counted over the whole fleet by every node.

Each node keeps a copy of one token bucket for each organisation.  Nodes tell
each other how many requests they were asked for and have admitted since they
started; between two reports a node goes on as the peer did before.  What is
left in the bucket is shared out by demand, so that a lag of the reports costs
at most what the bucket holds.  A peer that cannot be heard keeps its part
until it is known to be gone: a cut never lets both sides have the whole rate.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from chivelead_protocol import RequestCounts, loop_ms

_MS_PER_S = 1000
# One step of sharing out, about as long as nearby nodes take to report.
_INTERVAL_MS = 500.0
# A demand is averaged over this time.  The own demand is averaged like that of
# peers: who knew the own surge sooner than theirs would take too much.
_DEMAND_TIME_CONSTANT_MS = 1500.0
# Changes of a demand below this are chance.
_DEMAND_NOISE_PER_S = 0.5
# A single request in a step is no surge.
_ONE_PER_INTERVAL_PER_S = 2.0
# Assumed demand of a node without any, so that its first requests pass.
_MIN_DEMAND_PER_S = 0.2
# Chance brings a node more than its part.  All nodes together may take this
# much in one step; the bound over five seconds (a tenth more than rate and
# burst, and 20) holds then at five times the rate, for levels fall in the next.
_HEADROOM_BURSTS = 2.0
_HEADROOM_REQUESTS = 20.0
# Without a report for this long a peer may be cut off, and so may this node;
# beyond the longest time between reports.
_REPORT_TIMEOUT_MS = 2000.0
# Part of a burst that is there after a restart; should all nodes restart at
# once, this much is given twice, inside the tenth that is tolerated.
_RESTART_BURST_FRACTION = 0.1
_MIN_RETRY_MS = 100.0
_MAX_RETRY_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class FleetRate:
    """Rate and burst of an organisation over the whole fleet."""

    rate_per_s: float
    burst_requests: float


@dataclasses.dataclass
class _PeerUsage:
    """What is known and assumed of one peer's use of one bucket.

    Attributes:
        asked: Count in its last report.
        admitted: Count in its last report.
        is_heard: Whether there was a report.
        asked_per_s: Demand that its reports show.
        own_asked_per_s: Own demand when it was last heard.
        assumed: Requests that it is assumed to have admitted since.
        assumed_per_s: Rate at which that grows.
    """

    last_report_ms: float
    requested: int = 0
    admitted: int = 0
    has_reported: bool = False
    requested_per_s: float = 0
    local_requested_per_s: float = 0
    estimated_admitted: float = 0
    estimated_admitted_per_s: float = 0
    estimated_until_ms: float = 0

    def extrapolate(self, time_ms: float) -> None:
        """Add what it is assumed to have admitted up to now."""
        elapsed_s = (time_ms - self.estimated_until_ms) / _MS_PER_S
        self.estimated_admitted += self.estimated_admitted_per_s * elapsed_s
        self.estimated_until_ms = time_ms

    def demand_per_s(self, local_per_s: float) -> float:
        """Return its demand, grown since its report as the own one has."""
        demand = max(_MIN_DEMAND_PER_S, self.requested_per_s)
        if not self.has_reported:
            return max(demand, local_per_s)
        local_before = max(_MIN_DEMAND_PER_S, self.local_requested_per_s)
        growth = (local_per_s + _DEMAND_NOISE_PER_S) / (
            local_before + _DEMAND_NOISE_PER_S
        )
        return demand * max(1.0, growth)


@dataclasses.dataclass
class _LocalUsage:
    """This node's use of one bucket, in all and in the present step."""

    requested: int = 0
    admitted: int = 0
    requested_per_s: float = 0
    interval_requested: int = 0
    interval_admitted: int = 0
    interval_allowance: float = 1


class _Bucket:
    """The copy of one organisation's bucket."""

    def __init__(self, rate: FleetRate, burst_fraction: float) -> None:
        self.rate = rate
        self.level = rate.burst_requests * burst_fraction
        self.local = _LocalUsage()
        self.peers: dict[str, _PeerUsage] = {}
        self._peers_per_s = 0.0
        self._refilled_ms = loop_ms()
        self._interval_start_ms = 0.0

    def take(self) -> float:
        """Admit one request, or return how long to wait."""
        self._refill(loop_ms())
        local = self.local
        local.requested += 1
        local.interval_requested += 1
        if (
            self.level >= 1
            and local.interval_admitted + 1 <= local.interval_allowance
        ):
            local.admitted += 1
            local.interval_admitted += 1
            self.level -= 1
            return 0
        return self._retry_after_ms()

    def add_peer(self, vm: str) -> None:
        """Reckon with a peer of which nothing is known yet."""
        self.peers[vm] = _PeerUsage(
            last_report_ms=-math.inf, estimated_until_ms=loop_ms()
        )

    def apply_report(self, vm: str, report: RequestCounts) -> None:
        """Replace what was assumed of a peer by what it says."""
        time_ms = loop_ms()
        self._refill(time_ms)
        peer = self.peers.get(vm)
        if (
            peer is None
            or not peer.has_reported
            or report.requested < peer.requested
        ):
            # A first report, or a restart of the peer: no past to charge.
            self.add_peer(vm)
            self.peers[vm].requested = report.requested
            self.peers[vm].admitted = report.admitted
            self.peers[vm].has_reported = True
            self.peers[vm].last_report_ms = time_ms
            return
        elapsed_ms = time_ms - peer.last_report_ms
        if elapsed_ms < 1:
            return
        peer.extrapolate(time_ms)
        admitted = report.admitted - peer.admitted
        self.level = min(
            self.level + peer.estimated_admitted - admitted,
            self.rate.burst_requests,
        )
        requested_per_s = (
            (report.requested - peer.requested) / elapsed_ms * _MS_PER_S
        )
        change_per_s = requested_per_s - peer.requested_per_s
        peer.requested_per_s += change_per_s * _smoothing_weight(elapsed_ms)
        peer.local_requested_per_s = self.local.requested_per_s
        peer.estimated_admitted = 0
        peer.last_report_ms = time_ms
        peer.requested = report.requested
        peer.admitted = report.admitted

    def _refill(self, time_ms: float) -> None:
        """Bring the level up to the present time."""
        elapsed_s = (time_ms - self._refilled_ms) / _MS_PER_S
        self._refilled_ms = time_ms
        accrued = (self.rate.rate_per_s - self._peers_per_s) * elapsed_s
        self.level = min(self.level + accrued, self.rate.burst_requests)
        if time_ms - self._interval_start_ms >= _INTERVAL_MS:
            self._start_interval(time_ms)

    def _start_interval(self, time_ms: float) -> None:
        """Share out what is left, by demand."""
        local = self.local
        elapsed_ms = max(_INTERVAL_MS, time_ms - self._interval_start_ms)
        requested_per_s = local.interval_requested / elapsed_ms * _MS_PER_S
        local.requested_per_s += (
            requested_per_s - local.requested_per_s
        ) * _smoothing_weight(elapsed_ms)
        surge_factor = (requested_per_s + _ONE_PER_INTERVAL_PER_S) / (
            local.requested_per_s + _ONE_PER_INTERVAL_PER_S
        )
        local.interval_requested = 0
        # A part of a request that was not used is there in the next step.
        unused = min(
            1.0, max(0.0, local.interval_allowance - local.interval_admitted)
        )
        local.interval_admitted = 0
        demand = max(_MIN_DEMAND_PER_S, local.requested_per_s)
        allocation = self._allocate(demand, max(1.0, surge_factor), time_ms)
        allowance = max(allocation, self._headroom(time_ms))
        local.interval_allowance = allowance + unused
        self._interval_start_ms = time_ms

    def _allocate(
        self,
        local_demand: float,
        surge_factor: float,
        time_ms: float,
    ) -> float:
        """Assume what peers will admit, and return the own part.

        Args:
            own_demand: Averaged, requests a second.
            surge: How far the own demand is above its average just now; that
                of peers, whose reports lag, may be as well.
            time_ms: The present time.
        """
        demands = {
            vm: peer.demand_per_s(local_demand)
            for vm, peer in self.peers.items()
        }
        total_demand = local_demand + sum(demands.values())
        accrued = self.rate.rate_per_s * _INTERVAL_MS / _MS_PER_S
        available = max(0.0, self.level) + accrued
        # A peer admits what it is asked for, and no more than its part.
        demand_scale = min(
            surge_factor, available / _INTERVAL_MS * _MS_PER_S / total_demand
        )
        self._peers_per_s = 0
        for vm, peer in self.peers.items():
            peer.extrapolate(time_ms)
            peer.estimated_admitted_per_s = demands[vm] * demand_scale
            self._peers_per_s += peer.estimated_admitted_per_s
        return local_demand / total_demand * available

    def _headroom(self, time_ms: float) -> float:
        """Return what a clump of requests may take beyond the own part."""
        oldest_ms = time_ms - _REPORT_TIMEOUT_MS
        reachable_peers = sum(
            peer.last_report_ms > oldest_ms for peer in self.peers.values()
        )
        node_count = len(self.peers) + 1
        headroom = max(0.0, self.level) * _HEADROOM_BURSTS + _HEADROOM_REQUESTS
        # Peers that are not heard may be taking their spare as well.
        return headroom / node_count * (reachable_peers + 1) / node_count

    def _retry_after_ms(self) -> float:
        missing_tokens = max(1.0, 1 - self.level)
        wait_ms = missing_tokens / self.rate.rate_per_s * _MS_PER_S
        return min(max(wait_ms, _MIN_RETRY_MS), _MAX_RETRY_MS)


def _smoothing_weight(elapsed_ms: float) -> float:
    """Return the weight of a measurement over some time."""
    return 1 - math.exp(-elapsed_ms / _DEMAND_TIME_CONSTANT_MS)


class FleetQuota:
    """Admit requests of organisations within their rates.

    Args:
        first_start: Whether the whole fleet starts now.  Else a burst may have
            been used up just before, and only a part of it is there.
    """

    def __init__(self, *, first_start: bool = True) -> None:
        """Start without any rates."""
        self._buckets: dict[str, _Bucket] = {}
        self._peers: set[str] = set()
        self._initial_burst_fraction = (
            1.0 if first_start else _RESTART_BURST_FRACTION
        )

    def apply(self, rates: Mapping[str, FleetRate]) -> None:
        """Take in the rates in force; counts go on."""
        for name in tuple(self._buckets):
            if name not in rates:
                self._buckets.pop(name)
        for name, rate in rates.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = _Bucket(rate, self._initial_burst_fraction)
                self._buckets[name] = bucket
                for vm in self._peers:
                    bucket.add_peer(vm)
            elif bucket.rate != rate:
                bucket.rate = rate
                bucket.level = min(bucket.level, rate.burst_requests)

    def take(self, organisation: str) -> float:
        """Count one request against the rate of an organisation.

        Returns:
            Zero if it is admitted, else how long to wait, in milliseconds.
        """
        bucket = self._buckets.get(organisation)
        return bucket.take() if bucket else 0

    def report(self) -> tuple[RequestCounts, ...]:
        """Return what this node has done since it started."""
        return tuple(
            RequestCounts(name, bucket.local.requested, bucket.local.admitted)
            for name, bucket in self._buckets.items()
            if bucket.local.requested
        )

    def add_peer(self, vm: str) -> None:
        """Reckon with a peer that is known to be there."""
        if vm not in self._peers:
            self._peers.add(vm)
            for bucket in self._buckets.values():
                bucket.add_peer(vm)

    def apply_report(self, vm: str, counts: Iterable[RequestCounts]) -> None:
        """Take in the report of a peer; what it leaves out is zero."""
        reports = {report.organisation: report for report in counts}
        for name, bucket in self._buckets.items():
            bucket.apply_report(
                vm, reports.get(name, RequestCounts(name, 0, 0))
            )

    def remove_peer(self, vm: str) -> None:
        """Drop a peer that is known to be gone."""
        self._peers.discard(vm)
        for bucket in self._buckets.values():
            bucket.peers.pop(vm, None)

    def level(self, organisation: str) -> float:
        """Return what the bucket of an organisation holds, for the log."""
        bucket = self._buckets.get(organisation)
        return bucket.level if bucket else 0
