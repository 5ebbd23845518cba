"""Tests that steps of a plan keep to the cap, the headroom and the ramp."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.configuration.model import (
    Configuration,
    Region,
    TrafficWeight,
    Zone,
)
from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.lookup.shares import is_complete
from geraniumshelf_core.plan.headroom import (
    Demand,
    Move,
    Supply,
    planned_loads,
    region_headroom,
)
from geraniumshelf_core.plan.model import Plan, decode_plan, encode_plan
from geraniumshelf_core.plan.steps import StepInputs, first_plan, next_plan
from geraniumshelf_core.plan.target import (
    drained_regions,
    scale_weights,
    target_weights,
)
from geraniumshelf_core.units import MICROS_PER_UNIT, SECOND_NS

_REGIONS = 'abc'
_AMOUNTS = st.fixed_dictionaries(
    {region: st.integers(0, 30) for region in _REGIONS}
).filter(lambda amounts: sum(amounts.values()) > 0)
_TARGETS = st.fixed_dictionaries(
    {region: _AMOUNTS.map(scale_weights) for region in _REGIONS}
)
_LOADS = st.fixed_dictionaries(
    {region: st.integers(0, 40 * MICROS_PER_UNIT) for region in _REGIONS}
)


def _inputs(target, demand, headroom, cap=100_000, is_complete=True):
    return StepInputs(target, {}, Demand(demand, is_complete), headroom, cap)


def _moved(old: Plan, new: Plan, source: str) -> int:
    before = old.weights_of(source)
    return sum(
        max(0, weight - before.get(region, 0))
        for region, weight in new.weights_of(source).items()
    )


@given(_TARGETS, _TARGETS, _LOADS, _LOADS, st.integers(1, 500_000))
def test_step_stays_within_cap_headroom_and_ramp(
    start, target, demand, headroom, cap
) -> None:
    """A larger step could overload a region or meet cold caches there."""
    plan = first_plan('s', _inputs(start, demand, headroom), 'p')
    step = next_plan(plan, _inputs(target, demand, headroom, cap), 'q')
    if step.plan is None:
        return
    total = sum(demand.values())
    for source in _REGIONS:
        assert _moved(plan, step.plan, source) <= cap
    before = planned_loads(plan, demand)
    after = planned_loads(step.plan, demand)
    for region in _REGIONS:
        old, new = before.get(region, 0), after.get(region, 0)
        assert new - old <= max(headroom[region], 0) + 3
        # The minimum load of idle sources adds up to 2% to the total.
        assert new <= max(2 * old, 0.05 * total) + 0.03 * total + 3
    assert step.plan.revision == plan.revision + 1
    assert all(is_complete(source.shares) for source in step.plan.sources)


@given(_TARGETS, _TARGETS, _LOADS, st.integers(1, 500_000))
def test_unknown_traffic_bounds_each_source(start, target, demand, cap) -> None:
    """If reports are missing, the cap must hold whatever the traffic is."""
    headroom = dict.fromkeys(_REGIONS, 10**12)
    plan = first_plan('s', _inputs(start, demand, headroom), 'p')
    step = next_plan(
        plan, _inputs(target, demand, headroom, cap, is_complete=False), 'q'
    )
    if step.plan is not None:
        for source in _REGIONS:
            assert _moved(plan, step.plan, source) <= cap


@given(_TARGETS, _TARGETS, _LOADS)
def test_steps_reach_the_target(start, target, demand) -> None:
    """A plan that never reaches its target would leave a drain unfinished."""
    headroom = dict.fromkeys(_REGIONS, 10**12)
    plan = first_plan('s', _inputs(start, demand, headroom), 'p')
    inputs = _inputs(target, demand, headroom, cap=200_000)
    for _ in range(200):
        step = next_plan(plan, inputs, 'q')
        if step.plan is None:
            break
        plan = step.plan
    assert not step.is_held
    for source in _REGIONS:
        assert plan.weights_of(source) == target[source]


def test_headroom_counts_unreported_moves_and_wrong_reports() -> None:
    """A region whose reports show no load yet must not be filled twice."""
    now = 100 * SECOND_NS
    step = 8 * SECOND_NS
    supplies = {
        'a': Supply(20_000_000, 2_000_000, now - 10 * SECOND_NS),
        'b': Supply(20_000_000, 0, now),
        'c': Supply(20_000_000, 0, now - 31 * SECOND_NS),
    }
    moves = [
        Move(now - 12 * SECOND_NS, 'a', 5_000_000),
        Move(now - 30 * SECOND_NS, 'a', 3_000_000),
    ]
    planned = {'a': 1_000_000, 'b': 16_000_000}
    assert region_headroom(supplies, planned, moves, step, now) == {
        'a': 10_000_000,
        'b': 1_000_000,
    }


def test_drained_share_passes_to_other_weights() -> None:
    """A drain needs a destination even if no other weight is declared."""
    configuration = Configuration(
        'd',
        regions=(Region('a'), Region('b'), Region('c')),
        zones=tuple(Zone(f'{name}1', name, 1) for name in _REGIONS),
        weights=(
            TrafficWeight('s', 'a', 'a', 600_000),
            TrafficWeight('s', 'a', 'b', 400_000),
            TrafficWeight('s', 'c', 'c', 1_000_000),
            TrafficWeight('s', 'c', 'a', 0, failover_ppm=50_000),
        ),
        drained=('b1', 'c'),
    )
    unusable = drained_regions(configuration)
    assert unusable == {'b', 'c'}
    slots = {'a': 5, 'b': 5, 'c': 5}
    targets = target_weights(configuration, 's', slots, unusable)
    assert targets == {region: {'a': 1_000_000} for region in _REGIONS}
    targets = target_weights(configuration, 's', slots, {'a', 'b'})
    assert targets['a'] == {'c': 1_000_000}
    assert target_weights(configuration, 's', slots, set('abc')) == {}


@given(_TARGETS)
def test_plan_survives_storage(target) -> None:
    """A plan that changes in storage would move traffic without a step."""
    plan = first_plan('s', _inputs(target, {}, {}), 'p')
    assert decode_plan(encode_plan(plan)) == plan


@given(st.binary(max_size=40), st.integers(0, 200), st.integers(0, 255))
def test_damaged_plans_are_refused(noise, position, byte) -> None:
    """A damaged plan must neither steer traffic nor stop the task."""
    intact = encode_plan(
        first_plan('s', _inputs({'a': {'a': 1_000_000}}, {}, {}), 'p')
    )
    damaged = bytearray(intact)
    damaged[position % len(intact)] = byte
    for encoded in (noise, bytes(damaged)):
        try:
            plan = decode_plan(encoded)
        except PlatformError as error:
            assert error.code is ResultCode.PLAN_MALFORMED
        else:
            assert all(is_complete(source.shares) for source in plan.sources)


def test_shares_that_do_not_add_up_are_refused() -> None:
    """A point without a region would leave callers without an answer."""
    plan = first_plan('s', _inputs({'a': {'a': 999_999}}, {}, {}), 'p')
    with pytest.raises(PlatformError, match='do not cover'):
        decode_plan(encode_plan(plan))
