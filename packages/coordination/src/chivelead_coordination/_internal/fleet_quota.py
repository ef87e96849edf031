"""Fleet-wide rate limits of organisations, enforced without a coordinator.

Each node keeps a copy of one token bucket for each organisation.  Relays tell
each node how many requests all other nodes together have received and admitted.
Between two digests, a node estimates what the others admit from their earlier
demand.  The tokens in the bucket are divided by demand, so the excess due to
delayed digests is at most what the bucket holds.  Nodes that cannot be heard
are assumed to use a part of the rate by their number until they are known to
have left the fleet, so the two sides of a network partition never both use the
whole rate.

Unlike the limits in rates.py, these need no owners of shares.  In return, the
fleet may exceed a rate, within the bound stated in quota_bucket.py.
"""

import math
from collections.abc import Mapping

from chivelead_protocol import CountReport, RequestCounts, loop_ms

from chivelead_coordination._internal.quota_bucket import QuotaBucket
from chivelead_coordination._internal.quota_usage import FleetRate, FleetSize

# Fraction of the burst in the bucket after a restart.  If all nodes restart at
# once, this much is granted twice, which is within the tenth that the bound
# above allows.
_RESTART_BURST_FRACTION = 0.1
# Time in which the nodes of a failed relay report to another one.
_SETTLING_MS = 1000.0
# Counters that changed within this time are part of each report, so that
# several reports may be lost.
_RECENT_MS = 3000.0
# Nodes, and failure domains, that are assumed to share the rates until a
# restarted node knows.
_UNKNOWN_NODE_COUNT = 16
_UNKNOWN_DOMAIN_COUNT = 8


class FleetQuota:
    """Admit requests of organisations within their fleet-wide rates.

    Args:
        first_start: Whether the fleet starts for the first time.  Otherwise
            the burst may have been used just before the restart, and buckets
            start with only a fraction of it.
    """

    def __init__(self, *, first_start: bool = True) -> None:
        """Start without any rates."""
        self._buckets: dict[str, QuotaBucket] = {}
        self._fleet = FleetSize(
            node_count=1 if first_start else _UNKNOWN_NODE_COUNT
        )
        self._is_restarted = not first_start
        self._relay_boot_id = ''
        self._needs_rebase = False
        self._settled_ms = 0.0
        # Time of the last request of each organisation.
        self._requested_ms: dict[str, float] = {}
        self._initial_burst_fraction = (
            1.0 if first_start else _RESTART_BURST_FRACTION
        )

    @property
    def needs_full_report(self) -> bool:
        """Return whether the next digest must have all counts."""
        return not self._relay_boot_id or self._needs_rebase

    def apply(self, rates: Mapping[str, FleetRate]) -> None:
        """Replace the rates, keeping the counts of known organisations."""
        for name in tuple(self._buckets):
            if name not in rates:
                self._buckets.pop(name)
        for name, rate in rates.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = QuotaBucket(
                    rate, self._initial_burst_fraction, self._fleet
                )
                # The next digest must be complete.
                self._relay_boot_id = ''
            elif bucket.rate != rate:
                bucket.rate = rate
                bucket.level = min(bucket.level, rate.burst_requests)

    def take(self, organisation: str) -> float:
        """Count one request against the rate of an organisation.

        Returns:
            Zero if it is admitted, else how long to wait, in milliseconds.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return 0
        self._requested_ms[organisation] = loop_ms()
        return bucket.take()

    def report(self, *, is_full: bool = True) -> CountReport:
        """Return the counts of this node since it started.

        Args:
            is_full: Whether to include organisations without recent requests.
        """
        oldest_ms = -math.inf if is_full else loop_ms() - _RECENT_MS
        counts = []
        for name, requested_ms in self._requested_ms.items():
            bucket = self._buckets.get(name)
            if bucket is not None and requested_ms >= oldest_ms:
                counts.append(
                    RequestCounts(
                        name, bucket.local.requested, bucket.local.admitted
                    )
                )
        return CountReport(is_full, tuple(counts))

    def apply_digest(
        self,
        relay_boot_id: str,
        report: CountReport,
        *,
        node_count: int,
        heard_count: int,
        is_settled: bool = True,
    ) -> None:
        """Apply what a relay tells of all other nodes.

        A new relay first has to hear from the others itself, so until then the
        earlier estimates stay in use.

        Args:
            relay_boot_id: Start of the relay; counts of different starts
                cannot be compared.
            report: Counts of the other nodes together.
            node_count: Nodes of the fleet.
            heard_count: Those of which the relays have heard in time.
            is_settled: Whether the relay can know the other failure domains.
        """
        if relay_boot_id != self._relay_boot_id:
            if not report.is_full:
                return
            self._change_relay(relay_boot_id)
        if loop_ms() < self._settled_ms:
            return
        if self._is_restarted and not is_settled:
            # The other failure domains restart too, and each knows only itself.
            node_count = max(node_count, heard_count * _UNKNOWN_DOMAIN_COUNT)
        self._fleet.node_count = max(1, node_count)
        self._fleet.heard_count = max(1, heard_count)
        counts_by_name = {
            counts.organisation: counts for counts in report.counts
        }
        for name, bucket in self._buckets.items():
            counts = counts_by_name.get(name)
            if self._needs_rebase:
                bucket.rebase(counts or RequestCounts(name, 0, 0))
            else:
                bucket.apply_counts(counts)
        self._needs_rebase = False

    def describe(self, organisation: str) -> str:
        """Return the state of a bucket in words, for errors and logs."""
        bucket = self._buckets.get(organisation)
        return bucket.describe() if bucket else 'no limit'

    def _change_relay(self, relay_boot_id: str) -> None:
        # Without rates, nothing was counted from an earlier relay.
        is_first_relay = not self._buckets or (
            not self._needs_rebase and not self._relay_boot_id
        )
        settling_ms = 0 if is_first_relay else _SETTLING_MS
        self._settled_ms = loop_ms() + settling_ms
        self._relay_boot_id = relay_boot_id
        self._needs_rebase = True
