"""Metrics over UDP in the statsd protocol."""

from typing import Any, Protocol

from statsd import StatsClient

from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.observability.metric_names import Metric


class MetricSink(Protocol):
    """Takes metrics."""

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, metric: Metric, level: float) -> None:
        """Set a gauge."""

    def timing(self, metric: Metric, duration: Nanoseconds) -> None:
        """Record a duration."""


class StatsdMetrics:
    """Sends metrics; does nothing when no address is set."""

    def __init__(self, address: str = '', prefix: str = '') -> None:
        """Open the socket.

        Args:
            address: IP address and port of the statsd server, or empty.
            prefix: Put before each name, such as the instance name.
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


# At most one: the metrics of this process.
_installed: list[MetricSink] = []


def install_metrics(metrics: MetricSink | None) -> None:
    """Send later metrics there; ``None`` ends sending."""
    _installed.clear()
    if metrics is not None:
        _installed.append(metrics)


def count_metric(metric: Metric, amount: int = 1) -> None:
    """Add to a counter of this process."""
    for metrics in _installed:
        metrics.count(metric, amount)


def gauge_metric(metric: Metric, level: float) -> None:
    """Set a gauge of this process."""
    for metrics in _installed:
        metrics.gauge(metric, level)


def time_metric(metric: Metric, duration: Nanoseconds) -> None:
    """Record a duration of this process, nanoseconds."""
    for metrics in _installed:
        metrics.timing(metric, duration)
