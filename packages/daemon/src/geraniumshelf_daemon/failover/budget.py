"""Decides which other regions may serve a request."""

from attrs import define, field

from geraniumshelf_core.units import PARTS_PER_MILLION, Nanoseconds
from geraniumshelf_daemon.failover.state import (
    PART_NS,
    PARTS,
    ServiceSpill,
    SpillPart,
)
from geraniumshelf_daemon.lookups.interface import PlanSource


@define
class FailoverBudget:
    """Implements ``FailoverSource`` over the plans in force."""

    _plans: PlanSource
    _region: str
    _spills: dict[str, ServiceSpill] = field(factory=dict, init=False)

    def record_arrival(self, service: str, now: Nanoseconds) -> None:
        """Count a request that arrived at this daemon."""
        self._current(service, now).arrivals += 1

    def record_spill(self, service: str, region: str, now: Nanoseconds) -> None:
        """Count a request that was sent to another region."""
        sent = self._current(service, now).sent
        sent[region] = sent.get(region, 0) + 1

    def rank_regions(self, service: str, now: Nanoseconds) -> tuple[str, ...]:
        """Return the regions with allowance left, the largest first."""
        plan = self._plans.plan(service)
        if plan is None:
            return ()
        spill = self._spills.get(service, ServiceSpill())
        number = now // PART_NS
        left = {
            region: _allowed(spill, number, ppm) - _sent(spill, number, region)
            for region, ppm in plan.failover_of(self._region).items()
            if region != self._region
        }
        ranked = sorted(left, key=lambda region: (-left[region], region))
        return tuple(region for region in ranked if left[region] > 0)

    def _current(self, service: str, now: Nanoseconds) -> SpillPart:
        parts = self._spills.setdefault(service, ServiceSpill()).parts
        number = now // PART_NS
        if not parts or parts[-1].number < number:
            parts.append(SpillPart(number))
        while parts[0].number < number - PARTS:
            parts.popleft()
        return parts[-1]


def _allowed(spill: ServiceSpill, number: int, ppm: int) -> int:
    arrivals = sum(
        part.arrivals for part in spill.parts if part.number > number - PARTS
    )
    return -(-arrivals * ppm // PARTS_PER_MILLION)


def _sent(spill: ServiceSpill, number: int, region: str) -> int:
    return sum(
        part.sent.get(region, 0)
        for part in spill.parts
        if part.number >= number - PARTS
    )
