"""Metrics in the text format of Prometheus.

The format is written here and not by the client library of Prometheus, because
that adds an HTTP server and a registry of its own to the memory of a daemon.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.observability.metric_names import Metric

# Upper bounds, from the time of a look-up to the longest timeout of a route.
BUCKETS_S: Final = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)

_PREFIX: Final = 'geraniumshelf_'


class PrometheusMetrics:
    """Implements ``MetricSink``; keeps metrics until they are scraped."""

    def __init__(self) -> None:
        self._counts: dict[Metric, int] = defaultdict(int)
        self._gauges: dict[Metric, float] = {}
        self._bucket_counts: dict[Metric, list[int]] = {}
        self._sums_s: dict[Metric, float] = defaultdict(float)

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[metric] += amount

    def gauge(self, metric: Metric, level: float) -> None:
        """Set a gauge."""
        self._gauges[metric] = level

    def timing(self, metric: Metric, duration: Nanoseconds) -> None:
        """Record a duration."""
        seconds = ns_to_seconds(duration)
        counts = self._bucket_counts.get(metric)
        if counts is None:
            counts = [0 for _ in range(len(BUCKETS_S) + 1)]
            self._bucket_counts[metric] = counts
        counts[bisect_left(BUCKETS_S, seconds)] += 1
        self._sums_s[metric] += seconds

    def close(self) -> None:
        """Do nothing, because no connection is open."""

    def render(self) -> str:
        """Return all metrics in the text format of Prometheus."""
        return '\n'.join((*self._lines(), ''))

    def _lines(self) -> Iterator[str]:
        for metric, amount in self._counts.items():
            name = f'{_PREFIX}{metric.value}_total'
            yield f'# TYPE {name} counter'
            yield f'{name} {amount}'
        for metric, level in self._gauges.items():
            name = f'{_PREFIX}{metric.value}'
            yield f'# TYPE {name} gauge'
            yield f'{name} {level}'
        for metric, counts in self._bucket_counts.items():
            yield from self._histogram(metric, counts)

    def _histogram(self, metric: Metric, counts: list[int]) -> Iterator[str]:
        name = f'{_PREFIX}{metric.value}_seconds'
        yield f'# TYPE {name} histogram'
        total = 0
        for bound, amount in zip((*BUCKETS_S, '+Inf'), counts, strict=True):
            total += amount
            yield f'{name}_bucket{{le="{bound}"}} {total}'
        yield f'{name}_sum {self._sums_s[metric]:.6f}'
        yield f'{name}_count {total}'
