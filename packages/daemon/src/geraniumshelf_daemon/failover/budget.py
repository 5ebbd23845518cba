"""Decides which other regions may serve a request."""

from attrs import define, field

from geraniumshelf_core.units import PARTS_PER_MILLION, Nanoseconds
from geraniumshelf_daemon.failover.state import (
    BUCKET_NS,
    BUCKETS_PER_WINDOW,
    SpillBucket,
    SpillWindow,
)
from geraniumshelf_daemon.lookups.interface import PlanSource


@define
class FailoverBudget:
    """Implements ``FailoverSource`` with the allowances of the plans."""

    _plans: PlanSource
    _region: str
    _windows: dict[str, SpillWindow] = field(factory=dict, init=False)

    def record_arrival(self, service: str, now: Nanoseconds) -> None:
        """Count a request that arrived at this daemon."""
        self._current_bucket(service, now).arrivals += 1

    def record_spill(self, service: str, region: str, now: Nanoseconds) -> None:
        """Count a request that was sent to another region."""
        sent = self._current_bucket(service, now).sent
        sent[region] = sent.get(region, 0) + 1

    def rank_regions(self, service: str, now: Nanoseconds) -> tuple[str, ...]:
        """Return the regions with allowance left, largest allowance first."""
        plan = self._plans.plan(service)
        if plan is None:
            return ()
        window = self._windows.get(service, SpillWindow())
        index = now // BUCKET_NS
        remaining = {
            region: _count_allowed(window, index, ppm)
            - _count_sent(window, index, region)
            for region, ppm in plan.failover_of(self._region).items()
            if region != self._region
        }
        ranked = sorted(
            remaining, key=lambda region: (-remaining[region], region)
        )
        return tuple(region for region in ranked if remaining[region] > 0)

    def _current_bucket(self, service: str, now: Nanoseconds) -> SpillBucket:
        buckets = self._windows.setdefault(service, SpillWindow()).buckets
        index = now // BUCKET_NS
        if not buckets or buckets[-1].index < index:
            buckets.append(SpillBucket(index))
        while buckets[0].index < index - BUCKETS_PER_WINDOW:
            buckets.popleft()
        return buckets[-1]


def _count_allowed(window: SpillWindow, index: int, ppm: int) -> int:
    arrivals = sum(
        bucket.arrivals
        for bucket in window.buckets
        if bucket.index > index - BUCKETS_PER_WINDOW
    )
    return -(-arrivals * ppm // PARTS_PER_MILLION)


def _count_sent(window: SpillWindow, index: int, region: str) -> int:
    return sum(
        bucket.sent.get(region, 0)
        for bucket in window.buckets
        if bucket.index >= index - BUCKETS_PER_WINDOW
    )
