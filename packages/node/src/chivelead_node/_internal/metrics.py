"""Metrics interface and its statsd implementation."""

import abc

from chivelead_config import Settings
from statsd import StatsClient

from chivelead_node._internal.end_causes import EndCause

_PREFIX = 'chivelead'


class CallMetrics(abc.ABC):
    """Metrics recorded by the components that handle calls."""

    @abc.abstractmethod
    def count(self, name: str) -> None:
        """Count one event."""

    @abc.abstractmethod
    def count_end(self, cause: EndCause) -> None:
        """Count a request that ended without the answer of a target."""

    @abc.abstractmethod
    def timing(self, name: str, elapsed_ms: float) -> None:
        """Record a duration."""


class StatsdMetrics(CallMetrics):
    """Send metrics to statsd, or discard them if no host is configured.

    Args:
        settings: Settings of the node.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the statsd client if a host is configured."""
        self._client: StatsClient | None = None
        section = settings.metrics
        if section.statsd_host != '-':
            self._client = StatsClient(
                section.statsd_host,
                section.statsd_port,
                prefix=f'{_PREFIX}.{settings.node.vm}',
            )

    def count(self, name: str) -> None:
        """Count one event."""
        if self._client is not None:
            self._client.incr(name)

    def count_end(self, cause: EndCause) -> None:
        """Count a request that ended without the answer of a target."""
        self.count(f'unanswered.{cause}')

    def timing(self, name: str, elapsed_ms: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, elapsed_ms)

    def gauge(self, name: str, level: float) -> None:
        """Record the current value of a gauge."""
        if self._client is not None:
            self._client.gauge(name, level)

    def close(self) -> None:
        """Close the statsd client."""
        if self._client is not None:
            self._client.close()
