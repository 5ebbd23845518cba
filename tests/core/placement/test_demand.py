"""Tests of spills that are planned by the demand of regions.

The load: the demand of three regions rises and falls by half, a third of the
period of 36 s apart, and one region has a tenth of the servers.
"""

from itertools import pairwise
from math import inf, nan
from random import Random

import pytest
from tests.core.placement.demand_harness import (
    OBJECTS,
    PERIOD_S,
    REGIONS,
    STEP,
    Swing,
    home_regions,
    place_regions,
)

from geraniumshelf_core.placement.commands import set_evacuated
from geraniumshelf_core.placement.demand import (
    DemandReport,
    DemandState,
    count_request,
    demand_by_region,
    make_report,
    measure,
    record_report,
)
from geraniumshelf_core.policies import Policies
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_BY_SLOTS = Policies(plans_by_demand=False)
# Objects that may change region in 2 s, and some for the rounding of the
# boundaries between regions to whole objects.
_MOVED_IN_2_S = 8 * STEP * len(OBJECTS) + 4
_NOW = 100 * SECOND_NS


def _report(
    sender: str, sequence: int, rate: float, slope: float = 0
) -> DemandReport:
    return DemandReport(sender, 'a1', sequence, {'desk': rate}, {'desk': slope})


def _highest_loads(swing: Swing) -> list[float]:
    """Return the load of the busiest region in each second of two periods."""
    swing.run(PERIOD_S)
    loads = []
    for _ in range(round(2 * PERIOD_S)):
        swing.run(1)
        loads.append(max(swing.loads().values()))
    return loads


def _most_moved(swing: Swing, seconds: float) -> int:
    """Return how many objects of a region change region in 2 s at most."""
    homes = [home_regions(swing.states[region]) for region in REGIONS]
    most = 0
    for _ in range(round(seconds / 2)):
        swing.run(2)
        new_homes = [home_regions(swing.states[region]) for region in REGIONS]
        for old, new in zip(homes, new_homes, strict=True):
            moved = sum(a != b for a, b in zip(old, new, strict=True))
            most = max(most, moved)
        homes = new_homes
    return most


@pytest.mark.parametrize('seed', range(3))
def test_busiest_region_is_less_busy_than_by_slots(seed: int) -> None:
    """Guard against a region that is overloaded while others have room."""
    by_demand = _highest_loads(Swing(random=Random(seed)))
    by_slots = _highest_loads(Swing(random=Random(seed), policies=_BY_SLOTS))
    mean_by_slots = sum(by_slots) / len(by_slots)
    assert sum(by_demand) / len(by_demand) < mean_by_slots - 0.05
    assert max(by_demand) < max(by_slots) + 0.02


@pytest.mark.parametrize('seed', range(3))
def test_objects_move_in_capped_steps(seed: int) -> None:
    """Guard against more than the permitted fraction of moved requests."""
    random = Random(seed)
    swing = Swing(
        random=random,
        is_lost=lambda _sender, _receiver: random.random() < 0.3,
        delay_ticks=lambda: random.randrange(4),
    )
    swing.run(1)
    assert _most_moved(swing, 2 * PERIOD_S) <= _MOVED_IN_2_S


def test_regions_with_room_keep_their_objects() -> None:
    """Guard against cold objects where all servers have slots to spare."""
    swing = Swing(work_ms=100)
    small = []
    for _ in range(60):
        swing.run(1)
        assert swing.spill('a').fraction == 0
        assert swing.spill('b').fraction == 0
        small.append(swing.spill('c').fraction)
    assert all(after <= before for before, after in pairwise(small))
    assert swing.spill('c').is_by_demand


def test_crowded_regions_are_planned_by_slots() -> None:
    """Guard against moves while no region has room: each costs a cold run."""
    swing = Swing(work_ms=520)
    swing.run(PERIOD_S)
    for region in REGIONS:
        spill = swing.spill(region)
        assert not spill.is_by_demand
        assert spill.fraction == pytest.approx(spill.base_fraction)


def test_lost_late_and_reordered_reports_change_little() -> None:
    """Guard against a plan that falls back while reports still arrive."""
    random = Random(5)
    swing = Swing(
        is_lost=lambda _sender, _receiver: random.random() < 0.2,
        delay_ticks=lambda: random.randrange(3),
    )
    other = Swing()
    fallbacks = 0
    for _ in range(round(2 * PERIOD_S)):
        swing.run(1)
        other.run(1)
        fallbacks += sum(
            not swing.spill(region).is_by_demand for region in REGIONS
        )
        for region in REGIONS:
            difference = (
                swing.spill(region).fraction - other.spill(region).fraction
            )
            assert abs(difference) < 0.15
    assert fallbacks <= 0.05 * 2 * PERIOD_S * len(REGIONS)


def test_older_report_is_ignored_unless_its_sender_has_restarted() -> None:
    """Guard against old figures, and against a restarted daemon unheard."""
    state = DemandState()
    assert record_report(state, _report('n1', 7, 10), 'a', _NOW)
    assert not record_report(state, _report('n1', 6, 90), 'a', _NOW)
    assert not record_report(state, _report('n1', 7, 90), 'a', _NOW)
    assert demand_by_region(state, 'desk', _NOW) == {'a': 10}
    later = _NOW + 2 * SECOND_NS + 1
    assert demand_by_region(state, 'desk', later) == {}
    assert record_report(state, _report('n1', 1, 20), 'a', later)
    assert demand_by_region(state, 'desk', later) == {'a': 20}


def test_silent_region_leads_back_to_the_plan_by_slots() -> None:
    """Guard against a plan without the demand of a region, and a jump."""
    swing = Swing()
    swing.run(12)
    assert swing.spill('c').fraction != swing.spill('c').base_fraction
    swing.silent = {'a'}
    swing.run(3)
    assert not swing.spill('b').is_by_demand
    assert not swing.spill('c').is_by_demand
    assert _most_moved(swing, 40) <= _MOVED_IN_2_S
    spill = swing.spill('c')
    assert spill.fraction == pytest.approx(spill.base_fraction)
    assert spill.weights == spill.spare_slots
    swing.silent = set()
    swing.run(2)
    assert swing.spill('c').is_by_demand


def test_daemon_that_starts_reaches_the_plan_of_the_others() -> None:
    """Guard against daemons of a region that disagree on homes for long."""
    swing = Swing()
    swing.run(PERIOD_S)
    former = swing.states['c']
    swing.start('c')
    swing.step()
    assert not swing.spill('c').is_by_demand
    swing.run(8)
    assert swing.spill('c').is_by_demand
    place = place_regions(swing.states['c'])
    assert place['c'] == pytest.approx(place_regions(former)['c'], abs=0.25)
    assert _most_moved(swing, PERIOD_S) <= _MOVED_IN_2_S


def test_service_of_one_region_stays_there() -> None:
    """Guard against requests for regions without servers of the service."""
    swing = Swing(servers={'a': 0, 'b': 103, 'c': 0})
    swing.run(1)
    assert _most_moved(swing, PERIOD_S) == 0
    for region in REGIONS:
        assert place_regions(swing.states[region])['b'] > 0.98


def test_objects_leave_evacuated_zones_and_return_in_steps() -> None:
    """Guard against objects that a region without servers keeps."""
    swing = Swing(rates={'a': 120, 'b': 120, 'c': 120})
    swing.run(12)
    zones = frozenset(('b1', 'b2'))
    for state in swing.states.values():
        set_evacuated(state, zones, swing.now, 0)
    # Nothing is left in region b, not even the fraction that steps allow.
    for region in ('a', 'c'):
        assert place_regions(swing.states[region])['b'] == 0
    swing.step()
    assert place_regions(swing.states['b'])['b'] <= 0.04
    for state in swing.states.values():
        set_evacuated(state, frozenset(), swing.now, 0)
    assert _most_moved(swing, 40) <= _MOVED_IN_2_S
    assert place_regions(swing.states['b'])['b'] > 0.5


@pytest.mark.parametrize('value', [nan, inf, -1, 1e300])
def test_report_with_impossible_rates_is_ignored(value: float) -> None:
    """Guard against one faulty daemon that spoils the plan of all."""
    state = DemandState()
    assert not record_report(state, _report('n1', 1, value), 'a', _NOW)
    assert demand_by_region(state, 'desk', _NOW) == {}


def test_demand_is_extrapolated_by_a_quarter_at_most() -> None:
    """Guard against a plan that follows the noise of a few requests."""
    state = DemandState()
    record_report(state, _report('n1', 1, 50, 5), 'a', _NOW)
    record_report(state, _report('n2', 1, 50, 5), 'a', _NOW)
    record_report(state, _report('n3', 1, 100, -90), 'b', _NOW)
    assert demand_by_region(state, 'desk', _NOW) == {'a': 120, 'b': 75}


def test_rate_and_slope_are_measured() -> None:
    """Guard against a start that looks like a rise, and a rise unnoticed."""
    state = DemandState()
    interval = 500 * MILLISECOND_NS
    reports = []
    for number in range(24):
        measure(state, _NOW + number * interval)
        reports.append(make_report(state, 'n1', 'a1', number))
        for _ in range(100 if number < 12 else 100 + 10 * (number - 12)):
            count_request(state, 'desk')
    # The first measurement begins before the service is known.
    assert reports[1].rates['desk'] == pytest.approx(200)
    assert reports[11].slopes['desk'] == pytest.approx(0, abs=1e-6)
    # The rate rises by 40 requests a second in each second.
    assert 30 < reports[-1].slopes['desk'] < 45
