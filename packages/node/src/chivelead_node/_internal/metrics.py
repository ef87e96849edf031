"""Counters and timings: the interface, and statsd behind it."""

import abc

from chivelead_config import Settings
from statsd import StatsClient

_PREFIX = 'chivelead'


class CallMetrics(abc.ABC):
    """What the parts on the path of calls count."""

    @abc.abstractmethod
    def count(self, name: str) -> None:
        """Count one event."""

    @abc.abstractmethod
    def timing(self, name: str, elapsed_ms: float) -> None:
        """Record a duration."""


class Metrics(CallMetrics):
    """Send metrics to statsd, or nowhere when none is set.

    Args:
        settings: Settings of the node.
    """

    def __init__(self, settings: Settings) -> None:
        """Open the client, if there is one."""
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

    def timing(self, name: str, elapsed_ms: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, elapsed_ms)

    def gauge(self, name: str, level: float) -> None:
        """Record a level."""
        if self._client is not None:
            self._client.gauge(name, level)

    def close(self) -> None:
        """Close the client."""
        if self._client is not None:
            self._client.close()
