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

from chivelead_protocol import PulseCounts, loop_ms

_MS_PER_S = 1000
# One step of sharing out, about as long as nearby nodes take to report.
_STEP_MS = 500.0
# A demand is averaged over this time.  The own demand is averaged like that of
# peers: who knew the own surge sooner than theirs would take too much.
_DEMAND_MEMORY_MS = 1500.0
# Changes of a demand below this are chance.
_NOISE_PER_S = 0.5
# A single request in a step is no surge.
_ONE_A_STEP_PER_S = 2.0
# Assumed demand of a node without any, so that its first requests pass.
_DEMAND_LEAST_PER_S = 0.2
# Chance brings a node more than its part.  All nodes together may take this
# much in one step; the bound over five seconds (a tenth more than rate and
# burst, and 20) holds then at five times the rate, for levels fall in the next.
_SPARE_BURSTS = 2.0
_SPARE_REQUESTS = 20.0
# Without a report for this long a peer may be cut off, and so may this node;
# beyond the longest time between reports.
_SILENT_MS = 2000.0
# Part of a burst that is there after a restart; should all nodes restart at
# once, this much is given twice, inside the tenth that is tolerated.
_RESTART_PART = 0.1
_RETRY_LEAST_MS = 100.0
_RETRY_MOST_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class FleetRate:
    """Rate and burst of an organisation over the whole fleet."""

    rate_per_s: float
    burst_requests: float


@dataclasses.dataclass
class _PeerUse:
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

    heard_ms: float
    asked: int = 0
    admitted: int = 0
    is_heard: bool = False
    asked_per_s: float = 0
    own_asked_per_s: float = 0
    assumed: float = 0
    assumed_per_s: float = 0
    assumed_ms: float = 0

    def settle(self, time_ms: float) -> None:
        """Add what it is assumed to have admitted up to now."""
        passed_s = (time_ms - self.assumed_ms) / _MS_PER_S
        self.assumed += self.assumed_per_s * passed_s
        self.assumed_ms = time_ms

    def demand_per_s(self, own_per_s: float) -> float:
        """Return its demand, grown since its report as the own one has."""
        demand = max(_DEMAND_LEAST_PER_S, self.asked_per_s)
        if not self.is_heard:
            return max(demand, own_per_s)
        own_before = max(_DEMAND_LEAST_PER_S, self.own_asked_per_s)
        growth = (own_per_s + _NOISE_PER_S) / (own_before + _NOISE_PER_S)
        return demand * max(1.0, growth)


@dataclasses.dataclass
class _OwnUse:
    """This node's use of one bucket, in all and in the present step."""

    asked: int = 0
    admitted: int = 0
    asked_per_s: float = 0
    step_asked: int = 0
    step_admitted: int = 0
    step_room: float = 1


class _Bucket:
    """The copy of one organisation's bucket."""

    def __init__(self, rate: FleetRate, burst_part: float) -> None:
        self.rate = rate
        self.level = rate.burst_requests * burst_part
        self.own = _OwnUse()
        self.peers: dict[str, _PeerUse] = {}
        self._others_per_s = 0.0
        self._tended_ms = loop_ms()
        self._step_ms = 0.0

    def take(self) -> float:
        """Admit one request, or return how long to wait."""
        self._tend(loop_ms())
        own = self.own
        own.asked += 1
        own.step_asked += 1
        if self.level >= 1 and own.step_admitted + 1 <= own.step_room:
            own.admitted += 1
            own.step_admitted += 1
            self.level -= 1
            return 0
        return self._wait_ms()

    def expect(self, vm: str) -> None:
        """Reckon with a peer of which nothing is known yet."""
        self.peers[vm] = _PeerUse(heard_ms=-math.inf, assumed_ms=loop_ms())

    def learn(self, vm: str, report: PulseCounts) -> None:
        """Replace what was assumed of a peer by what it says."""
        time_ms = loop_ms()
        self._tend(time_ms)
        known = self.peers.get(vm)
        if known is None or not known.is_heard or report.asked < known.asked:
            # A first report, or a restart of the peer: no past to charge.
            self.expect(vm)
            self.peers[vm].asked = report.asked
            self.peers[vm].admitted = report.admitted
            self.peers[vm].is_heard = True
            self.peers[vm].heard_ms = time_ms
            return
        passed_ms = time_ms - known.heard_ms
        if passed_ms < 1:
            return
        known.settle(time_ms)
        admitted = report.admitted - known.admitted
        self.level = min(
            self.level + known.assumed - admitted,
            self.rate.burst_requests,
        )
        asked_per_s = (report.asked - known.asked) / passed_ms * _MS_PER_S
        gap = asked_per_s - known.asked_per_s
        known.asked_per_s += gap * _weight(passed_ms)
        known.own_asked_per_s = self.own.asked_per_s
        known.assumed = 0
        known.heard_ms = time_ms
        known.asked = report.asked
        known.admitted = report.admitted

    def _tend(self, time_ms: float) -> None:
        """Bring the level up to the present time."""
        passed_s = (time_ms - self._tended_ms) / _MS_PER_S
        self._tended_ms = time_ms
        gain = (self.rate.rate_per_s - self._others_per_s) * passed_s
        self.level = min(self.level + gain, self.rate.burst_requests)
        if time_ms - self._step_ms >= _STEP_MS:
            self._begin_step(time_ms)

    def _begin_step(self, time_ms: float) -> None:
        """Share out what is left, by demand."""
        own = self.own
        passed_ms = max(_STEP_MS, time_ms - self._step_ms)
        asked_per_s = own.step_asked / passed_ms * _MS_PER_S
        own.asked_per_s += (asked_per_s - own.asked_per_s) * _weight(passed_ms)
        surge = (asked_per_s + _ONE_A_STEP_PER_S) / (
            own.asked_per_s + _ONE_A_STEP_PER_S
        )
        own.step_asked = 0
        # A part of a request that was not used is there in the next step.
        rest = min(1.0, max(0.0, own.step_room - own.step_admitted))
        own.step_admitted = 0
        demand = max(_DEMAND_LEAST_PER_S, own.asked_per_s)
        part = self._assume(demand, max(1.0, surge), time_ms)
        room = max(part, self._spare(time_ms))
        own.step_room = room + rest
        self._step_ms = time_ms

    def _assume(
        self,
        own_demand: float,
        surge: float,
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
            vm: peer.demand_per_s(own_demand) for vm, peer in self.peers.items()
        }
        total = own_demand + sum(demands.values())
        gain = self.rate.rate_per_s * _STEP_MS / _MS_PER_S
        free = max(0.0, self.level) + gain
        # A peer admits what it is asked for, and no more than its part.
        scale = min(surge, free / _STEP_MS * _MS_PER_S / total)
        self._others_per_s = 0
        for vm, peer in self.peers.items():
            peer.settle(time_ms)
            peer.assumed_per_s = demands[vm] * scale
            self._others_per_s += peer.assumed_per_s
        return own_demand / total * free

    def _spare(self, time_ms: float) -> float:
        """Return what a clump of requests may take beyond the own part."""
        horizon_ms = time_ms - _SILENT_MS
        heard = sum(peer.heard_ms > horizon_ms for peer in self.peers.values())
        nodes = len(self.peers) + 1
        spare = max(0.0, self.level) * _SPARE_BURSTS + _SPARE_REQUESTS
        # Peers that are not heard may be taking their spare as well.
        return spare / nodes * (heard + 1) / nodes

    def _wait_ms(self) -> float:
        missing = max(1.0, 1 - self.level)
        wait_ms = missing / self.rate.rate_per_s * _MS_PER_S
        return min(max(wait_ms, _RETRY_LEAST_MS), _RETRY_MOST_MS)


def _weight(passed_ms: float) -> float:
    """Return the weight of a measurement over some time."""
    return 1 - math.exp(-passed_ms / _DEMAND_MEMORY_MS)


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
        self._burst_part = 1.0 if first_start else _RESTART_PART

    def apply(self, rates: Mapping[str, FleetRate]) -> None:
        """Take in the rates in force; counts go on."""
        for name in tuple(self._buckets):
            if name not in rates:
                self._buckets.pop(name)
        for name, rate in rates.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = _Bucket(rate, self._burst_part)
                self._buckets[name] = bucket
                for vm in self._peers:
                    bucket.expect(vm)
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

    def report(self) -> tuple[PulseCounts, ...]:
        """Return what this node has done since it started."""
        return tuple(
            PulseCounts(name, bucket.own.asked, bucket.own.admitted)
            for name, bucket in self._buckets.items()
            if bucket.own.asked
        )

    def expect(self, vm: str) -> None:
        """Reckon with a peer that is known to be there."""
        if vm not in self._peers:
            self._peers.add(vm)
            for bucket in self._buckets.values():
                bucket.expect(vm)

    def learn(self, vm: str, counts: Iterable[PulseCounts]) -> None:
        """Take in the report of a peer; what it leaves out is zero."""
        told = {report.organisation: report for report in counts}
        for name, bucket in self._buckets.items():
            bucket.learn(vm, told.get(name, PulseCounts(name, 0, 0)))

    def forget(self, vm: str) -> None:
        """Drop a peer that is known to be gone."""
        self._peers.discard(vm)
        for bucket in self._buckets.values():
            bucket.peers.pop(vm, None)

    def level(self, organisation: str) -> float:
        """Return what the bucket of an organisation holds, for the log."""
        bucket = self._buckets.get(organisation)
        return bucket.level if bucket else 0
