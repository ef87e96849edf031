"""Rates of organisations, counted over the whole fleet by every node.

Each node keeps a copy of one token bucket for each organisation.  Nodes tell
each other how many requests they were asked for and have admitted since they
started; between two reports a node goes on as the peer did before.  What is
left in the bucket is shared out by demand, so that a lag of the reports costs
at most what the bucket holds.  A peer that cannot be heard keeps its part
until it is known to be gone: a cut never lets both sides have the whole rate.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from chivelead_protocol import PulseCounts, now_ms

_MS_PER_S = 1000
# One step of sharing out; nearby nodes report about twice as often as this.
_STEP_MS = 500.0
# Weight of a new measurement of a demand, once a step.
_DEMAND_WEIGHT = 0.4
# Assumed demand of a node without any, so that its first requests pass.
_DEMAND_LEAST_PER_S = 0.2
# Chance brings a node more than its part; a full bucket can bear that.
_SPARE_PART = 0.25
_SPARE_MOST = 4.0
_RETRY_LEAST_MS = 100.0
_RETRY_MOST_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class FleetRate:
    """Rate and burst of an organisation over the whole fleet."""

    rate_per_s: float
    burst_requests: float


@dataclasses.dataclass
class _PeerUse:
    """What is known and assumed of one peer's use of one bucket."""

    asked: int
    admitted: int
    heard_ms: float
    asked_per_s: float = 0
    admitted_per_s: float = 0
    assumed: float = 0


@dataclasses.dataclass
class _OwnUse:
    """This node's use of one bucket."""

    asked: int = 0
    admitted: int = 0
    asked_per_s: float = 0
    step_asked: int = 0
    step_admitted: int = 0
    step_share: float = 0


class _Bucket:
    """The copy of one organisation's bucket."""

    def __init__(self, rate: FleetRate) -> None:
        self.rate = rate
        self.level = rate.burst_requests
        self.own = _OwnUse()
        self.peers: dict[str, _PeerUse] = {}
        self._tended_ms = now_ms()
        self._step_ms = 0.0

    def take(self) -> float:
        """Admit one request, or return how long to wait."""
        self.tend()
        own = self.own
        own.asked += 1
        own.step_asked += 1
        spare = min(_SPARE_MOST, self.level * _SPARE_PART)
        share = max(1.0, spare, own.step_share)
        if self.level >= 1 and own.step_admitted + 1 <= share:
            own.admitted += 1
            own.step_admitted += 1
            self.level -= 1
            return 0
        return self._wait_ms()

    def tend(self) -> None:
        """Bring the level up to the present time."""
        time_ms = now_ms()
        passed_s = (time_ms - self._tended_ms) / _MS_PER_S
        self._tended_ms = time_ms
        self.level += self.rate.rate_per_s * passed_s
        for peer in self.peers.values():
            used = peer.admitted_per_s * passed_s
            peer.assumed += used
            self.level -= used
        self.level = min(self.level, self.rate.burst_requests)
        if time_ms - self._step_ms >= _STEP_MS:
            self._begin_step(time_ms)

    def learn(self, vm: str, report: PulseCounts) -> None:
        """Replace what was assumed of a peer by what it says."""
        self.tend()
        time_ms = now_ms()
        known = self.peers.get(vm)
        if known is None or report.asked < known.asked:
            # A first report, or a restart of the peer: no past to charge.
            self.peers[vm] = _PeerUse(report.asked, report.admitted, time_ms)
            return
        passed_s = max(_STEP_MS, time_ms - known.heard_ms) / _MS_PER_S
        admitted = report.admitted - known.admitted
        self.level = min(
            self.level + known.assumed - admitted,
            self.rate.burst_requests,
        )
        known.assumed = 0
        known.heard_ms = time_ms
        known.asked_per_s += _DEMAND_WEIGHT * (
            (report.asked - known.asked) / passed_s - known.asked_per_s
        )
        known.admitted_per_s += _DEMAND_WEIGHT * (
            admitted / passed_s - known.admitted_per_s
        )
        known.asked = report.asked
        known.admitted = report.admitted

    def _begin_step(self, time_ms: float) -> None:
        own = self.own
        passed_s = max(_STEP_MS, time_ms - self._step_ms) / _MS_PER_S
        gap = own.step_asked / passed_s - own.asked_per_s
        own.asked_per_s += _DEMAND_WEIGHT * gap
        own.step_asked = 0
        own.step_admitted = 0
        demand = max(_DEMAND_LEAST_PER_S, own.asked_per_s)
        total = demand + sum(
            max(_DEMAND_LEAST_PER_S, peer.asked_per_s)
            for peer in self.peers.values()
        )
        gain = self.rate.rate_per_s * _STEP_MS / _MS_PER_S
        own.step_share = demand / total * (max(0.0, self.level) + gain)
        self._step_ms = time_ms

    def _wait_ms(self) -> float:
        missing = max(1.0, 1 - self.level)
        rate = max(1e-3, self.rate.rate_per_s)
        wait_ms = missing / rate * _MS_PER_S
        return min(max(wait_ms, _RETRY_LEAST_MS), _RETRY_MOST_MS)


class FleetQuota:
    """Admit requests of organisations within their rates."""

    def __init__(self) -> None:
        """Start without any rates."""
        self._buckets: dict[str, _Bucket] = {}

    def apply(self, rates: Mapping[str, FleetRate]) -> None:
        """Take in the rates in force; counts go on."""
        for name in tuple(self._buckets):
            if name not in rates:
                self._buckets.pop(name)
        for name, rate in rates.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = _Bucket(rate)
            elif bucket.rate != rate:
                bucket.rate = rate
                bucket.level = min(bucket.level, rate.burst_requests)

    def take(self, organisation: str) -> float:
        """Count one request against the rate of an organisation.

        Returns:
            Zero if it is admitted, else how long to wait, in milliseconds.
        """
        bucket = self._buckets.get(organisation)
        return bucket.take() if bucket is not None else 0

    def report(self) -> tuple[PulseCounts, ...]:
        """Return what this node has done since it started."""
        return tuple(
            PulseCounts(name, bucket.own.asked, bucket.own.admitted)
            for name, bucket in self._buckets.items()
            if bucket.own.asked
        )

    def learn(self, vm: str, counts: Iterable[PulseCounts]) -> None:
        """Take in the report of a peer."""
        for report in counts:
            bucket = self._buckets.get(report.organisation)
            if bucket is not None:
                bucket.learn(vm, report)

    def forget(self, vm: str) -> None:
        """Drop a peer that is known to be gone."""
        for bucket in self._buckets.values():
            bucket.peers.pop(vm, None)

    def level(self, organisation: str) -> float:
        """Return what the bucket of an organisation holds, for the log."""
        bucket = self._buckets.get(organisation)
        return bucket.level if bucket is not None else 0
