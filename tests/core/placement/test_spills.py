"""Guards which objects have their home in another region."""

from collections import Counter
from itertools import pairwise

import pytest
from tests.core.placement.world import NOW, make_state

from geraniumshelf_core.placement.commands import begin_request, remove_server
from geraniumshelf_core.placement.queries import region_order
from geraniumshelf_core.placement.spills import adjust_spills
from geraniumshelf_core.placement.state import PlacementRequest
from geraniumshelf_core.policies import Policies


def test_region_with_few_slots_starts_with_objects_elsewhere() -> None:
    """A region with a sixth of the slots can't serve a third of the load."""
    few = make_state({'s1': 'a1', 't1': 'b1', 't2': 'b1', 't3': 'b2'})
    first = Counter(
        next(region_order(few, PlacementRequest('desk', f'{number}')))
        for number in range(1000)
    )
    assert 450 < first['b'] < 550


def test_full_region_moves_objects_by_at_most_a_step() -> None:
    """A jump would move more than the capped share between two windows."""
    state = make_state({'s1': 'a1', 't1': 'b1'})
    state.policies = Policies(spills_by_load=True)
    view = state.servers['s1']
    for _ in range(10):
        begin_request(state, view, NOW)
    spill = state.spills['desk']
    seen = []
    for _ in range(30):
        adjust_spills(state, 0.01, NOW)
        seen.append(spill.fraction)
    steps = [after - before for before, after in pairwise(seen)]
    assert seen[-1] > 0.2
    assert max(steps) <= 0.01 + 1e-9


def test_busy_region_keeps_its_objects() -> None:
    """Objects that leave are cold elsewhere, and crowd that region, too."""
    state = make_state({'s1': 'a1', 't1': 'b1'})
    for _ in range(10):
        begin_request(state, state.servers['s1'], NOW)
    for _ in range(30):
        adjust_spills(state, 0.01, NOW)
    assert state.spills['desk'].fraction == 0


def test_region_that_loses_servers_moves_objects_by_at_most_a_step() -> None:
    """A jump would move more than the capped share between two windows."""
    zones = {'s1': 'a1', 's2': 'a1', 't1': 'b1', 't2': 'b1'}
    state = make_state(zones)
    begin_request(state, state.servers['s1'], NOW)
    remove_server(state, 's2')
    spill = state.spills['desk']
    seen = [spill.fraction]
    for _ in range(30):
        adjust_spills(state, 0.01, NOW)
        seen.append(spill.fraction)
    assert seen[-1] == pytest.approx(0.3)
    assert max(after - before for before, after in pairwise(seen)) <= 0.0101
