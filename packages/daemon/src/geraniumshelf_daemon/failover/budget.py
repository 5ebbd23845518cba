"""Decides which other regions may serve a request."""

from attrs import define, field

from geraniumshelf_core.units import PARTS_PER_MILLION, Nanoseconds
from geraniumshelf_daemon.failover.state import (
    ALLOWANCE_SPAN_NS,
    ServiceSpill,
)
from geraniumshelf_daemon.lookups.interface import PlanSource


@define
class FailoverBudget:
    """Implements ``FailoverSource`` over the plans in force."""

    _plans: PlanSource
    _region: str
    _spills: dict[str, ServiceSpill] = field(factory=dict, init=False)

    def arrive(self, service: str, now: Nanoseconds) -> None:
        """Count a request that arrived at this daemon."""
        self._current(service, now).arrivals += 1

    def count(self, service: str, region: str, now: Nanoseconds) -> None:
        """Count a request that was sent to another region."""
        sent = self._current(service, now).sent
        sent[region] = sent.get(region, 0) + 1

    def regions(self, service: str, now: Nanoseconds) -> tuple[str, ...]:
        """Return the regions with allowance left, the largest first."""
        plan = self._plans.plan(service)
        if plan is None:
            return ()
        spill = self._current(service, now)
        left = {
            region: _allowed(spill, ppm) - spill.sent.get(region, 0)
            for region, ppm in plan.failover_of(self._region).items()
            if region != self._region
        }
        ranked = sorted(left, key=lambda region: (-left[region], region))
        return tuple(region for region in ranked if left[region] > 0)

    def _current(self, service: str, now: Nanoseconds) -> ServiceSpill:
        spill = self._spills.get(service)
        if spill is None:
            spill = ServiceSpill(now)
            self._spills[service] = spill
        if now - spill.since >= ALLOWANCE_SPAN_NS:
            spill.earlier_arrivals = spill.arrivals
            spill.arrivals = 0
            spill.sent.clear()
            spill.since = now
        return spill


def _allowed(spill: ServiceSpill, ppm: int) -> int:
    arrivals = max(spill.arrivals, spill.earlier_arrivals)
    return -(-arrivals * ppm // PARTS_PER_MILLION)
