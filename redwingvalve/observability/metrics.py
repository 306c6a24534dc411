"""Metrics sent to statsd; without a configured host they are dropped."""

import abc

import statsd

from redwingvalve.settings import schema


class Metrics(abc.ABC):
    """Counters, gauges and timings of one process."""

    @abc.abstractmethod
    def count(self, name: str, change: int = 1) -> None:
        """Add change to a counter."""

    @abc.abstractmethod
    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""

    @abc.abstractmethod
    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""


class StatsdMetrics(Metrics):
    """Sends each value as one UDP datagram."""

    def __init__(self, client: statsd.StatsClient) -> None:
        """Send through the statsd client."""
        self._client = client

    def count(self, name: str, change: int = 1) -> None:
        """Add change to a counter."""
        self._client.incr(name, change)

    def gauge(self, name: str, reading: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, reading)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        self._client.timing(name, duration_ms)


class NoMetrics(Metrics):
    """Discards all metrics."""

    def count(self, name: str, change: int = 1) -> None:
        """Discard the change."""

    def gauge(self, name: str, reading: float) -> None:
        """Discard the reading."""

    def timing(self, name: str, duration_ms: float) -> None:
        """Discard the duration."""


def make_metrics(settings: schema.MetricSettings) -> Metrics:
    """Create the metrics client that the settings select."""
    if not settings.statsd_host:
        return NoMetrics()
    return StatsdMetrics(
        statsd.StatsClient(
            settings.statsd_host, settings.statsd_port, prefix=settings.prefix
        )
    )
