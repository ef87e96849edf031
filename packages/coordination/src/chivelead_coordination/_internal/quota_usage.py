"""Rates, and what is known of the use of one bucket."""

import dataclasses
import math

_MS_PER_S = 1000
# Windows over which the use of a quota is judged.
_WINDOW_S = 5.0
# Part of the burst that may be used steadily; the rest makes up for what is
# admitted before digests show it.
_SUSTAINED_BURST_FRACTION = 0.5
# Smaller changes of a demand are treated as random variation.
_DEMAND_NOISE_PER_S = 0.5
# Demand assumed for an idle node, so that its first requests are admitted.
MIN_DEMAND_PER_S = 0.2


@dataclasses.dataclass(frozen=True)
class FleetRate:
    """Rate and burst of an organisation, for the whole fleet together."""

    rate_per_s: float
    burst_requests: float

    @property
    def refill_per_s(self) -> float:
        """Return the sustained rate.

        In each window, one burst is due besides the rate.
        """
        return self.rate_per_s + (
            self.burst_requests * _SUSTAINED_BURST_FRACTION / _WINDOW_S
        )

    @property
    def per_window(self) -> float:
        """Return the number of requests that are due in any window."""
        return self.rate_per_s * _WINDOW_S + self.burst_requests


@dataclasses.dataclass
class FleetUsage:
    """Reported and estimated use of one bucket by all other nodes together.

    Attributes:
        reported_ms: Time of the last digest.
        requested: Requests that they have received, by the last digest.
        admitted: Requests that they have admitted, by the last digest.
        has_reported: Whether there has been a digest.
        requested_per_s: Average demand at the other nodes.
        estimated_admitted: Estimate of the requests that they have admitted
            since the last digest.
        estimated_admitted_per_s: Rate at which that estimate grows.
        estimated_until_ms: Time up to which it has been computed.
    """

    estimated_until_ms: float
    reported_ms: float = -math.inf
    requested: int = 0
    admitted: int = 0
    has_reported: bool = False
    requested_per_s: float = 0
    estimated_admitted: float = 0
    estimated_admitted_per_s: float = 0

    def extrapolate(self, time_ms: float) -> None:
        """Advance the estimate of admitted requests to the given time."""
        elapsed_s = (time_ms - self.estimated_until_ms) / _MS_PER_S
        self.estimated_admitted += self.estimated_admitted_per_s * elapsed_s
        self.estimated_until_ms = time_ms

    def demand_per_s(
        self, local_per_s: float, earlier_local_per_s: float, node_count: int
    ) -> float:
        """Return the demand at the other nodes.

        If local demand has grown since their requests were counted, theirs may
        have grown by the same factor.

        Args:
            local_per_s: Present demand at this node.
            earlier_local_per_s: Demand at this node when they were counted.
            node_count: Number of the other nodes.
        """
        if not self.has_reported:
            return max(MIN_DEMAND_PER_S, local_per_s) * node_count
        earlier_per_s = max(MIN_DEMAND_PER_S, earlier_local_per_s)
        growth = (local_per_s + _DEMAND_NOISE_PER_S) / (
            earlier_per_s + _DEMAND_NOISE_PER_S
        )
        return self.requested_per_s * max(1.0, growth)


@dataclasses.dataclass
class FleetSize:
    """Nodes that share the buckets.

    Attributes:
        node_count: All nodes, including this one.
        heard_count: Those of which the relays have heard in time.
    """

    node_count: int = 1
    heard_count: int = 1

    @property
    def heard_fraction(self) -> float:
        """Return the fraction of the nodes that are heard from."""
        return min(1.0, self.heard_count / self.node_count)


@dataclasses.dataclass
class LocalUsage:
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
