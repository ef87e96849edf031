"""Local copy of a fleet-wide token bucket, and the allocation of its tokens."""

import collections
import math

from chivelead_protocol import RequestCounts, loop_ms

from chivelead_coordination._internal.quota_usage import (
    MIN_DEMAND_PER_S,
    FleetRate,
    FleetSize,
    FleetUsage,
    LocalUsage,
)

_MS_PER_S = 1000
# Time between two allocations; about the interval of digests.
_INTERVAL_MS = 500.0
_INTERVALS_PER_WINDOW = 10
# Age of the counts in a digest: they pass from a node through two relays.
_DIGEST_LAG_INTERVALS = 3
# Time constant of the average of a demand.  Local demand is averaged like that
# of the others: a node that saw its own surge before theirs would take too
# much.
_DEMAND_TIME_CONSTANT_MS = 1500.0
# One request per interval, which is not a surge.
_ONE_PER_INTERVAL_PER_S = 2.0
# Random arrivals can exceed a node's allocation, so in one interval all nodes
# together may admit this multiple of the tokens in the bucket, plus this number
# of requests.  The level is lower in the next interval, so the bound over 5 s
# (a tenth more than rate and burst, plus 20 requests) still holds when demand
# is five times the rate.
_HEADROOM_BURSTS = 1.5
_HEADROOM_REQUESTS = 20.0
# Without a digest for this long, this node may be cut off from the others.
# Longer than the longest interval between digests.
_DIGEST_TIMEOUT_MS = 2000.0
# Below this fraction of its rate, an organisation is far from its limit.
_CALM_DEMAND_FRACTION = 0.9
_MIN_RETRY_MS = 100.0
_MAX_RETRY_MS = 2000.0


class QuotaBucket:
    """Local copy of the token bucket of one organisation.

    In any window, an organisation is due its rate and one burst.  The bucket is
    refilled fast enough for that, and ``_room`` holds the sum to it.

    Args:
        rate: Rate and burst.
        burst_fraction: Part of the burst that is in the bucket at first.
        fleet: Nodes that share the bucket.
    """

    def __init__(
        self, rate: FleetRate, burst_fraction: float, fleet: FleetSize
    ) -> None:
        """Create a bucket that nobody has used."""
        self.rate = rate
        self.level = rate.burst_requests * burst_fraction
        self.local = LocalUsage()
        # Requests that the fleet is known or assumed to have admitted, and the
        # same number at the start of each interval of the window.
        self._charged = (1 - burst_fraction) * rate.burst_requests
        self._charged_history: collections.deque[float] = collections.deque(
            [0.0], maxlen=_INTERVALS_PER_WINDOW
        )
        self._fleet = fleet
        self._others = FleetUsage(loop_ms())
        # Rate at which all other nodes are assumed to use the bucket.
        self._others_admitted_per_s = 0.0
        # Local demand at the start of the last intervals, the newest last.
        self._local_history_per_s: collections.deque[float] = collections.deque(
            maxlen=_DIGEST_LAG_INTERVALS
        )
        self._refilled_ms = loop_ms()
        self._interval_start_ms = 0.0

    def take(self) -> float:
        """Admit one request and return 0, or return how long to wait in ms."""
        self._refill(loop_ms())
        local = self.local
        local.requested += 1
        local.interval_requested += 1
        if (
            self._room() >= 1
            and local.interval_admitted + 1 <= local.interval_allowance
        ):
            local.admitted += 1
            local.interval_admitted += 1
            self._charge(1)
            return 0
        return self._retry_after_ms()

    def rebase(self, counts: RequestCounts) -> None:
        """Start from the counts of another relay, without charging anything.

        What the others have admitted since the last digest stays as estimated.
        """
        self._refill(loop_ms())
        others = self._others
        others.extrapolate(loop_ms())
        others.estimated_admitted = 0
        others.has_reported = True
        others.reported_ms = loop_ms()
        others.requested = counts.requested
        others.admitted = counts.admitted

    def apply_counts(self, counts: RequestCounts | None) -> None:
        """Replace the estimate for the others by what they report.

        Args:
            counts: Their counts; None if these have not changed.
        """
        time_ms = loop_ms()
        self._refill(time_ms)
        others = self._others
        elapsed_ms = time_ms - others.reported_ms
        if elapsed_ms < 1:
            return
        others.extrapolate(time_ms)
        requested = 0
        admitted = 0
        if counts is not None:
            requested = max(0, counts.requested - others.requested)
            admitted = max(0, counts.admitted - others.admitted)
            others.requested = counts.requested
            others.admitted = counts.admitted
        self._charge(admitted - others.estimated_admitted)
        change_per_s = requested / elapsed_ms * _MS_PER_S - (
            others.requested_per_s
        )
        others.requested_per_s += change_per_s * _smoothing_weight(elapsed_ms)
        others.estimated_admitted = 0
        others.reported_ms = time_ms

    def describe(self) -> str:
        """Return the limit, what is left of it, and the known demand."""
        return (
            f'{self.rate.rate_per_s:g}/s and {self.rate.burst_requests:g}'
            f' at once; {self._room():.1f} left,'
            f' {self.local.interval_allowance:.1f} here;'
            f' demand {self.local.requested_per_s:.2f}/s here,'
            f' {self._others.requested_per_s:.2f}/s elsewhere'
        )

    def _refill(self, time_ms: float) -> None:
        """Update the level, and start a new interval when one is due."""
        elapsed_s = (time_ms - self._refilled_ms) / _MS_PER_S
        self._refilled_ms = time_ms
        self.level += self.rate.refill_per_s * elapsed_s
        self._charge(self._others_admitted_per_s * elapsed_s)
        if time_ms - self._interval_start_ms >= _INTERVAL_MS:
            self._start_interval(time_ms)

    def _charge(self, admitted: float) -> None:
        """Charge admitted requests, or return some that were not."""
        self._charged += admitted
        self.level = min(self.level - admitted, self.rate.burst_requests)

    def _room(self) -> float:
        """Return how many requests the fleet may admit now."""
        in_window = self._charged - self._charged_history[0]
        return min(self.level, self.rate.per_window - in_window)

    def _start_interval(self, time_ms: float) -> None:
        """Divide the available tokens by demand for the next interval."""
        local = self.local
        self._charged_history.append(self._charged)
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
        demand = max(MIN_DEMAND_PER_S, local.requested_per_s)
        allocation = self._allocate(demand, max(1.0, surge_factor), time_ms)
        allowance = max(allocation, self._headroom(time_ms)) + unused
        if self._is_calm(time_ms):
            allowance = max(1.0, allowance)
        local.interval_allowance = allowance
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
                Demand at the other nodes, whose reports are delayed, may have
                risen by the same factor.
            time_ms: Current time.

        Returns:
            Requests that this node may admit in the interval.
        """
        others = self._others
        history = self._local_history_per_s
        node_count = self._fleet.node_count - 1
        others_demand = others.demand_per_s(
            local_demand, history[0] if history else 0, node_count
        )
        history.append(local_demand)
        # Idle nodes count as well: a surge may begin at all nodes at once.
        total_demand = local_demand + max(
            others_demand, MIN_DEMAND_PER_S * node_count
        )
        accrued = self.rate.refill_per_s * _INTERVAL_MS / _MS_PER_S
        available = max(0.0, self._room()) + accrued
        # Nodes that are not heard may be using their part.
        shared = available * self._fleet.heard_fraction
        # The others admit their demand, but not more than their allocation.
        demand_scale = min(
            surge_factor, shared / _INTERVAL_MS * _MS_PER_S / total_demand
        )
        others.extrapolate(time_ms)
        others.estimated_admitted_per_s = others_demand * demand_scale
        # Those that are not heard are assumed to have as much demand each.
        heard = self._fleet.heard_fraction
        unheard_per_s = min(
            (available - shared) / _INTERVAL_MS * _MS_PER_S,
            (local_demand + others_demand) * surge_factor * (1 - heard) / heard,
        )
        self._others_admitted_per_s = (
            others.estimated_admitted_per_s + unheard_per_s
        )
        return local_demand / total_demand * shared

    def _headroom(self, time_ms: float) -> float:
        """Return the minimum allowance of an interval.

        Several requests that arrive together by chance are then admitted even
        if the allocation is small.
        """
        node_count = self._fleet.node_count
        heard_fraction = 1 / node_count
        if self._is_in_touch(time_ms):
            heard_fraction = self._fleet.heard_fraction
        headroom = (
            max(0.0, self._room()) * _HEADROOM_BURSTS + _HEADROOM_REQUESTS
        )
        # Nodes that are not heard may be using their headroom as well.
        return headroom / node_count * heard_fraction

    def _is_in_touch(self, time_ms: float) -> bool:
        return self._others.reported_ms > time_ms - _DIGEST_TIMEOUT_MS

    def _is_calm(self, time_ms: float) -> bool:
        """Return whether the fleet as a whole is far from the limit.

        One request in an interval is then no reason to refuse it, however
        small the part of this node is in a large fleet.
        """
        demand = self._others.requested_per_s + self.local.requested_per_s
        return (
            self._is_in_touch(time_ms)
            and self._room() >= self.rate.burst_requests / 2
            and demand < self.rate.rate_per_s * _CALM_DEMAND_FRACTION
        )

    def _retry_after_ms(self) -> float:
        missing_tokens = max(1.0, 1 - self._room())
        wait_ms = missing_tokens / self.rate.refill_per_s * _MS_PER_S
        return min(max(wait_ms, _MIN_RETRY_MS), _MAX_RETRY_MS)


def _smoothing_weight(elapsed_ms: float) -> float:
    """Return the weight of a new sample in the average of a demand."""
    return 1 - math.exp(-elapsed_ms / _DEMAND_TIME_CONSTANT_MS)
