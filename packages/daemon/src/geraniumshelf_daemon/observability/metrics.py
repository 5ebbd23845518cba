"""Metrics of this process and their export over UDP to a statsd server."""

from typing import Any, Protocol

from statsd import StatsClient

from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.observability.metric_names import Metric


class MetricSink(Protocol):
    """Receives metrics."""

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, metric: Metric, level: float) -> None:
        """Set a gauge."""

    def timing(self, metric: Metric, duration: Nanoseconds) -> None:
        """Record a duration."""


class StatsdMetrics:
    """Sends metrics to a statsd server; does nothing without an address."""

    def __init__(self, address: str = '', prefix: str = '') -> None:
        """Open the socket.

        Args:
            address: IP address and port of the statsd server, or empty.
            prefix: Prefix of each metric name, such as the instance name.
        """
        self._client: Any = None
        if address:
            host, _, port = address.rpartition(':')
            self._client = StatsClient(
                host.strip('[]'), int(port), prefix=prefix or None
            )

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(metric.value, amount)

    def gauge(self, metric: Metric, level: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(metric.value, level)

    def timing(self, metric: Metric, duration: Nanoseconds) -> None:
        """Record a duration, sent in milliseconds."""
        if self._client is not None:
            self._client.timing(metric.value, duration / MILLISECOND_NS)

    def close(self) -> None:
        """Close the socket; later calls do nothing."""
        if self._client is not None:
            self._client.close()
            self._client = None


# Holds at most one sink, that of this process.
_sinks: list[MetricSink] = []


def install_metrics(metrics: MetricSink | None) -> None:
    """Send later metrics to a sink; ``None`` removes it."""
    _sinks.clear()
    if metrics is not None:
        _sinks.append(metrics)


def count_metric(metric: Metric, amount: int = 1) -> None:
    """Add to a counter of this process."""
    for sink in _sinks:
        sink.count(metric, amount)


def gauge_metric(metric: Metric, level: float) -> None:
    """Set a gauge of this process."""
    for sink in _sinks:
        sink.gauge(metric, level)


def time_metric(metric: Metric, duration: Nanoseconds) -> None:
    """Record a duration, in nanoseconds, for this process."""
    for sink in _sinks:
        sink.timing(metric, duration)
