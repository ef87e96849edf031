"""Fleet-wide rate limits of organisations, enforced without a coordinator.

Each node keeps a copy of one token bucket for each organisation.  Nodes report
to each other how many requests they have received and admitted since they
started.  Between two reports, a node estimates what a peer admits from the
peer's earlier demand.  The tokens in the bucket are divided among the nodes
by demand, so the excess due to delayed reports is at most what the bucket
holds.  A peer that cannot be reached keeps its allocation until it is known to
have left the fleet, so the two sides of a network partition never both use the
whole rate.

Unlike the limits in rates.py, these need no owners of shares.  In return, the
fleet may exceed a rate, within the bound stated at ``_HEADROOM_BURSTS``.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from chivelead_protocol import RequestCounts, loop_ms

_MS_PER_S = 1000
# Time between two allocations; about the report interval of nearby nodes.
_INTERVAL_MS = 500.0
# Time constant of the average of a demand.  Local demand is averaged like that
# of peers: a node that saw its own surge before theirs would take too much.
_DEMAND_TIME_CONSTANT_MS = 1500.0
# Smaller changes of a demand are treated as random variation.
_DEMAND_NOISE_PER_S = 0.5
# One request per interval, which is not a surge.
_ONE_PER_INTERVAL_PER_S = 2.0
# Demand assumed for an idle node, so that its first requests are admitted.
_MIN_DEMAND_PER_S = 0.2
# Random arrivals can exceed a node's allocation, so in one interval all nodes
# together may admit this multiple of the tokens in the bucket, plus this number
# of requests.  The level is lower in the next interval, so the bound over 5 s
# (a tenth more than rate and burst, plus 20 requests) still holds when demand
# is five times the rate.
_HEADROOM_BURSTS = 2.0
_HEADROOM_REQUESTS = 20.0
# A peer without a report for this long may be partitioned from this node.
# Longer than the longest interval between reports.
_REPORT_TIMEOUT_MS = 2000.0
# Fraction of the burst in the bucket after a restart.  If all nodes restart at
# once, this much is granted twice, which is within the tenth that the bound
# above allows.
_RESTART_BURST_FRACTION = 0.1
_MIN_RETRY_MS = 100.0
_MAX_RETRY_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class FleetRate:
    """Rate and burst of an organisation, for the whole fleet together."""

    rate_per_s: float
    burst_requests: float


@dataclasses.dataclass
class _PeerUsage:
    """Reported and estimated use of one bucket by one peer.

    Attributes:
        last_report_ms: Time of the peer's last report.
        requested: Requests that the peer has received since it started,
            according to its last report.
        admitted: Requests that the peer has admitted since it started,
            according to its last report.
        has_reported: Whether the peer has sent a report.
        requested_per_s: Average demand at the peer, from its reports.
        local_requested_per_s: Demand at this node at the last report.
        estimated_admitted: Estimate of the requests that the peer has
            admitted since its last report.
        estimated_admitted_per_s: Rate at which that estimate grows.
        estimated_until_ms: Time up to which it has been computed.
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
        """Advance the estimate of admitted requests to the given time."""
        elapsed_s = (time_ms - self.estimated_until_ms) / _MS_PER_S
        self.estimated_admitted += self.estimated_admitted_per_s * elapsed_s
        self.estimated_until_ms = time_ms

    def demand_per_s(self, local_per_s: float) -> float:
        """Return the peer's demand, scaled by the growth of local demand."""
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
    """Use of one bucket by this node, in total and in this interval.

    Attributes:
        interval_allowance: Requests that may be admitted in this interval.
    """

    requested: int = 0
    admitted: int = 0
    requested_per_s: float = 0
    interval_requested: int = 0
    interval_admitted: int = 0
    interval_allowance: float = 1


class _Bucket:
    """Local copy of the token bucket of one organisation."""

    def __init__(self, rate: FleetRate, burst_fraction: float) -> None:
        self.rate = rate
        self.level = rate.burst_requests * burst_fraction
        self.local = _LocalUsage()
        self.peers: dict[str, _PeerUsage] = {}
        self._peers_admitted_per_s = 0.0
        self._refilled_ms = loop_ms()
        self._interval_start_ms = 0.0

    def take(self) -> float:
        """Admit one request and return 0, or return how long to wait in ms."""
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
        """Add a peer that has not reported yet."""
        self.peers[vm] = _PeerUsage(
            last_report_ms=-math.inf, estimated_until_ms=loop_ms()
        )

    def apply_report(self, vm: str, report: RequestCounts) -> None:
        """Replace the estimate for a peer by the counts it reports."""
        time_ms = loop_ms()
        self._refill(time_ms)
        peer = self.peers.get(vm)
        if (
            peer is None
            or not peer.has_reported
            or report.requested < peer.requested
        ):
            # First report, or the peer has restarted: there is no earlier count
            # to take the difference from, so nothing is charged.
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
        """Update the level, and start a new interval when one is due."""
        elapsed_s = (time_ms - self._refilled_ms) / _MS_PER_S
        self._refilled_ms = time_ms
        accrued = (
            self.rate.rate_per_s - self._peers_admitted_per_s
        ) * elapsed_s
        self.level = min(self.level + accrued, self.rate.burst_requests)
        if time_ms - self._interval_start_ms >= _INTERVAL_MS:
            self._start_interval(time_ms)

    def _start_interval(self, time_ms: float) -> None:
        """Divide the available tokens by demand for the next interval."""
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
        # An unused fraction of a request carries over to the next interval.
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
        """Estimate what peers will admit, and return the local allocation.

        Args:
            local_demand: Average local demand in requests per second.
            surge_factor: Ratio, at least 1, of current to average local demand.
                Demand at peers, whose reports are delayed, may have risen by
                the same factor.
            time_ms: Current time.

        Returns:
            Requests that this node may admit in the interval.
        """
        demands = {
            vm: peer.demand_per_s(local_demand)
            for vm, peer in self.peers.items()
        }
        total_demand = local_demand + sum(demands.values())
        accrued = self.rate.rate_per_s * _INTERVAL_MS / _MS_PER_S
        available = max(0.0, self.level) + accrued
        # A peer admits its demand, but not more than its allocation.
        demand_scale = min(
            surge_factor, available / _INTERVAL_MS * _MS_PER_S / total_demand
        )
        self._peers_admitted_per_s = 0
        for vm, peer in self.peers.items():
            peer.extrapolate(time_ms)
            peer.estimated_admitted_per_s = demands[vm] * demand_scale
            self._peers_admitted_per_s += peer.estimated_admitted_per_s
        return local_demand / total_demand * available

    def _headroom(self, time_ms: float) -> float:
        """Return the minimum allowance of an interval.

        Several requests that arrive together by chance are then admitted even
        if the allocation is small.
        """
        oldest_ms = time_ms - _REPORT_TIMEOUT_MS
        reachable_peers = sum(
            peer.last_report_ms > oldest_ms for peer in self.peers.values()
        )
        node_count = len(self.peers) + 1
        headroom = max(0.0, self.level) * _HEADROOM_BURSTS + _HEADROOM_REQUESTS
        # Unreachable peers may be using their headroom as well.
        return headroom / node_count * (reachable_peers + 1) / node_count

    def _retry_after_ms(self) -> float:
        missing_tokens = max(1.0, 1 - self.level)
        wait_ms = missing_tokens / self.rate.rate_per_s * _MS_PER_S
        return min(max(wait_ms, _MIN_RETRY_MS), _MAX_RETRY_MS)


def _smoothing_weight(elapsed_ms: float) -> float:
    """Return the weight of a new sample in the average of a demand."""
    return 1 - math.exp(-elapsed_ms / _DEMAND_TIME_CONSTANT_MS)


class FleetQuota:
    """Admit requests of organisations within their fleet-wide rates.

    Args:
        first_start: Whether the fleet starts for the first time.  Otherwise
            the burst may have been used just before the restart, and buckets
            start with only a fraction of it.
    """

    def __init__(self, *, first_start: bool = True) -> None:
        """Start without any rates."""
        self._buckets: dict[str, _Bucket] = {}
        self._peers: set[str] = set()
        self._initial_burst_fraction = (
            1.0 if first_start else _RESTART_BURST_FRACTION
        )

    def apply(self, rates: Mapping[str, FleetRate]) -> None:
        """Replace the rates, keeping the counts of known organisations."""
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
        """Return the counts of this node since it started."""
        return tuple(
            RequestCounts(name, bucket.local.requested, bucket.local.admitted)
            for name, bucket in self._buckets.items()
            if bucket.local.requested
        )

    def add_peer(self, vm: str) -> None:
        """Add a live peer, which may use the buckets before it reports."""
        if vm not in self._peers:
            self._peers.add(vm)
            for bucket in self._buckets.values():
                bucket.add_peer(vm)

    def apply_report(self, vm: str, counts: Iterable[RequestCounts]) -> None:
        """Apply the report of a peer; missing organisations count as zero."""
        reports = {report.organisation: report for report in counts}
        for name, bucket in self._buckets.items():
            bucket.apply_report(
                vm, reports.get(name, RequestCounts(name, 0, 0))
            )

    def remove_peer(self, vm: str) -> None:
        """Remove a peer that is known to have left the fleet."""
        self._peers.discard(vm)
        for bucket in self._buckets.values():
            bucket.peers.pop(vm, None)

    def level(self, organisation: str) -> float:
        """Return the tokens in the bucket of an organisation, for errors."""
        bucket = self._buckets.get(organisation)
        return bucket.level if bucket else 0
