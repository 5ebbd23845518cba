"""Tests of the fraction of objects that spills to other regions."""

from collections import Counter
from itertools import pairwise

import pytest
from tests.core.placement.harness import NOW, make_state

from geraniumshelf_core.placement.commands import begin_request, remove_server
from geraniumshelf_core.placement.queries import region_order
from geraniumshelf_core.placement.spills import adjust_spills
from geraniumshelf_core.placement.state import PlacementRequest
from geraniumshelf_core.policies import Policies


def test_region_with_few_slots_starts_with_objects_elsewhere() -> None:
    """A region with a sixth of the slots cannot serve a third of the load."""
    state = make_state({'s1': 'a1', 't1': 'b1', 't2': 'b1', 't3': 'b2'})
    preferred = Counter(
        next(region_order(state, PlacementRequest('desk', f'{number}')))
        for number in range(1000)
    )
    assert 450 < preferred['b'] < 550


def test_full_region_moves_objects_by_at_most_a_step() -> None:
    """A jump would exceed the permitted fraction of moved requests."""
    state = make_state({'s1': 'a1', 't1': 'b1'})
    state.policies = Policies(spills_by_load=True)
    view = state.servers['s1']
    for _ in range(10):
        begin_request(state, view)
    spill = state.spills['desk']
    fractions = []
    for _ in range(30):
        adjust_spills(state, 0.01, NOW)
        fractions.append(spill.fraction)
    steps = [after - before for before, after in pairwise(fractions)]
    assert fractions[-1] > 0.2
    assert max(steps) <= 0.01 + 1e-9


def test_busy_region_keeps_its_objects() -> None:
    """Spilled objects are cold in the other region and overload it as well."""
    state = make_state({'s1': 'a1', 't1': 'b1'})
    for _ in range(10):
        begin_request(state, state.servers['s1'])
    for _ in range(30):
        adjust_spills(state, 0.01, NOW)
    assert state.spills['desk'].fraction == 0


def test_region_that_loses_servers_moves_objects_by_at_most_a_step() -> None:
    """A jump would exceed the permitted fraction of moved requests."""
    zones = {'s1': 'a1', 's2': 'a1', 't1': 'b1', 't2': 'b1'}
    state = make_state(zones)
    begin_request(state, state.servers['s1'])
    remove_server(state, 's2')
    spill = state.spills['desk']
    fractions = [spill.fraction]
    for _ in range(30):
        adjust_spills(state, 0.01, NOW)
        fractions.append(spill.fraction)
    assert fractions[-1] == pytest.approx(0.3)
    assert (
        max(after - before for before, after in pairwise(fractions)) <= 0.0101
    )
