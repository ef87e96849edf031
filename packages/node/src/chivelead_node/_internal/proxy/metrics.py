"""Prometheus metrics of a node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from chivelead_node._internal.end_causes import EndCause
from chivelead_node._internal.metrics import CallMetrics

_MS_PER_S = 1000
# From the fastest read to the longest deadline in the deployments.
_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class ProxyMetrics(CallMetrics):
    """Metrics of one node."""

    def __init__(self) -> None:
        """Create and register all metrics."""
        # Cached because a label lookup costs more than the update itself.
        self._request_metrics: dict[str, tuple[Counter, Histogram]] = {}
        self.registry = CollectorRegistry()
        self._request_count = Counter(
            'chivelead_requests',
            'Requests that ended at this entry, by ending.',
            ['ending'],
            registry=self.registry,
        )
        self._latency = Histogram(
            'chivelead_request_seconds',
            'Time from arrival to the answer at this entry.',
            ['ending'],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._target_latency = Histogram(
            'chivelead_target_seconds',
            'Time that the target took for a call.',
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self._event_count = Counter(
            'chivelead_events',
            'Decisions by name.',
            ['event'],
            registry=self.registry,
        )
        self._end_count = Counter(
            'chivelead_unanswered',
            'Requests that ended without the answer of a target, by cause.',
            ['cause'],
            registry=self.registry,
        )
        for cause in EndCause:
            self._end_count.labels(cause.value)
        self._levels = Gauge(
            'chivelead_level',
            'Present levels by name.',
            ['name'],
            registry=self.registry,
        )

    def record_request(self, ending: str, elapsed_ms: float) -> None:
        """Count a request that ended at this node and record its latency."""
        request_metrics = self._request_metrics.get(ending)
        if request_metrics is None:
            request_metrics = (
                self._request_count.labels(ending),
                self._latency.labels(ending),
            )
            self._request_metrics[ending] = request_metrics
        request_count, latency = request_metrics
        request_count.inc()
        latency.observe(elapsed_ms / _MS_PER_S)

    def count(self, name: str) -> None:
        """Count one event."""
        self._event_count.labels(name).inc()

    def count_end(self, cause: EndCause) -> None:
        """Count a request that ended without the answer of a target."""
        self._end_count.labels(cause.value).inc()

    def timing(self, name: str, elapsed_ms: float) -> None:
        """Record the duration of a call at the target."""
        self._target_latency.observe(elapsed_ms / _MS_PER_S)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._levels.labels(name).set(level)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
