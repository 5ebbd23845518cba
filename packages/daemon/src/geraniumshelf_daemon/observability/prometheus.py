"""Counters and latency histograms as text, for a collector that asks.

The text form of Prometheus is written here, as its client library brings an
HTTP server and a registry of its own, which a daemon would hold in memory.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from typing import Final

from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.observability.metric_names import Metric

# From the time of a look-up to the longest timeout of a route, in seconds.
BUCKETS_S: Final = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)

_PREFIX: Final = 'geraniumshelf_'


class PrometheusMetrics:
    """Keeps metrics until they are asked for."""

    def __init__(self) -> None:
        self._counts: dict[Metric, int] = defaultdict(int)
        self._levels: dict[Metric, float] = {}
        self._times: dict[Metric, list[int]] = {}
        self._sums: dict[Metric, float] = defaultdict(float)

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[metric] += amount

    def gauge(self, metric: Metric, level: float) -> None:
        """Set a gauge."""
        self._levels[metric] = level

    def timing(self, metric: Metric, duration: Nanoseconds) -> None:
        """Record a duration."""
        seconds = ns_to_seconds(duration)
        cells = self._times.get(metric)
        if cells is None:
            cells = [0 for _ in range(len(BUCKETS_S) + 1)]
            self._times[metric] = cells
        cells[bisect_left(BUCKETS_S, seconds)] += 1
        self._sums[metric] += seconds

    def close(self) -> None:
        """Do nothing; nothing is open."""

    def render(self) -> str:
        """Return all metrics as text."""
        return '\n'.join((*self._lines(), ''))

    def _lines(self) -> Iterator[str]:
        for metric, amount in self._counts.items():
            name = f'{_PREFIX}{metric.value}_total'
            yield f'# TYPE {name} counter'
            yield f'{name} {amount}'
        for metric, level in self._levels.items():
            name = f'{_PREFIX}{metric.value}'
            yield f'# TYPE {name} gauge'
            yield f'{name} {level}'
        for metric, cells in self._times.items():
            yield from self._histogram(metric, cells)

    def _histogram(self, metric: Metric, cells: list[int]) -> Iterator[str]:
        name = f'{_PREFIX}{metric.value}_seconds'
        yield f'# TYPE {name} histogram'
        seen = 0
        for bound, amount in zip((*BUCKETS_S, '+Inf'), cells, strict=True):
            seen += amount
            yield f'{name}_bucket{{le="{bound}"}} {seen}'
        yield f'{name}_sum {self._sums[metric]:.6f}'
        yield f'{name}_count {seen}'
