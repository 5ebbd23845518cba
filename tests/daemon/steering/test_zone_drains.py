"""Guards drains of single zones and failures of all servers of a region."""

from itertools import pairwise
from types import SimpleNamespace

from attrs import define, evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.daemon.steering.simulation import (
    CAP_PPM,
    REGIONS,
    SLOTS,
    STEP_S,
    FaultyPlatform,
    Node,
    SimulatedEnvironment,
)

from geraniumshelf_core.configuration.model import (
    BackendServer,
    Configuration,
    Zone,
)
from geraniumshelf_core.dispatch.commands import replace_servers
from geraniumshelf_core.dispatch.state import DispatchState, Place
from geraniumshelf_core.lookup.answer import EntryInstance
from geraniumshelf_core.lookup.shares import count_moved
from geraniumshelf_core.plan.model import Plan
from geraniumshelf_core.plan.transition import advance_plan
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.wiring.data_path import update_drained_zones

TWO_ENTRIES = tuple(
    EntryInstance(zone, zone, 'a', zone, 'p') for zone in ('a1', 'a2')
)


@define
class TwoZones(SimulatedEnvironment):
    """Each region has a second zone with as many slots."""

    @property
    def configuration(self) -> Configuration:
        plain = super().configuration
        return evolve(
            plain,
            zones=plain.zones + tuple(Zone(f'{r}2', r, 1) for r in REGIONS),
            servers=plain.servers
            + tuple(
                BackendServer(f'{r}x', 's', f'{r}2', '', SLOTS, 9)
                for r in REGIONS
            ),
        )


def _run(node: Node, demand: dict[str, int], count: int, silent='') -> None:
    for _ in range(count):
        for _ in range(STEP_S):
            node.environment.now += SECOND_NS
            for region in REGIONS:
                if region != silent:
                    node.receive_load_report(region, 0)
                    node.receive_load_report(f'{region}x', 0)
                node.receive_demand_report(region, demand[region])
        node.propose()


def _moved(before: Plan, after: Plan) -> int:
    old, new = dict(before.withdrawn), dict(after.withdrawn)
    zones = sum(abs(new.get(z, 0) - old.get(z, 0)) for z in old | new)
    return zones + max(
        count_moved(before.shares_of(region), after.shares_of(region))
        for region in REGIONS
    )


def _load(plan: Plan, demand: dict[str, int], region: str) -> float:
    return sum(
        requests * plan.weights_of(source).get(region, 0) / 1e6
        for source, requests in demand.items()
    )


def _start(environment: SimulatedEnvironment) -> Node:
    node = Node(environment, FaultyPlatform(environment), 0)
    node.restart()
    return node


@settings(max_examples=20, deadline=None)
@given(st.tuples(*[st.integers(1, 24)] * 3), st.integers(1, 24))
def test_zone_drain_moves_in_capped_steps(demands, later: int) -> None:
    """A zone drained at once would overload the other zone's cold caches."""
    demand = dict(zip(REGIONS, demands, strict=True))
    node = _start(TwoZones())
    _run(node, demand, 1)
    node.environment.drained = ('a2',)
    _run(node, demand, 40)
    # The other zone of region a carries 17 requests, the others 34 each.
    drained = node.platform.writes[-1][1]
    assert dict(drained.withdrawn) == {'a2': 1_000_000}
    assert _load(drained, demand, 'a') <= SLOTS * 0.85
    demand['a'] = min(later, demand['a'])
    _run(node, demand, 3)
    assert node.platform.writes[-1][1] == drained
    node.environment.drained = ()
    _run(node, demand, 60)
    plans = [plan for _, plan in node.platform.writes]
    assert plans[-1].withdrawn == ()
    assert plans[-1].weights_of('a') == {'a': 1_000_000}
    for before, after in pairwise(plans):
        assert _moved(before, after) <= CAP_PPM
        if dict(after.withdrawn).get('a2', 0) > dict(before.withdrawn).get(
            'a2', 0
        ):
            assert (
                _load(before, demand | {'a': demands[0]}, 'a') <= SLOTS * 0.85
            )


def test_rejoining_daemon_catches_up_in_capped_steps() -> None:
    """Moves of zones and regions together must not exceed the step cap."""
    demand = dict.fromkeys(REGIONS, 10)
    node = _start(TwoZones())
    _run(node, demand, 1)
    first = node.platform.writes[-1][1]
    node.environment.drained = ('a2', 'b')
    _run(node, demand, 15)
    last = node.platform.writes[-1][1]
    assert last.withdrawn
    assert _moved(first, last) > 3 * CAP_PPM
    plan, count = first, 0
    while plan is not last:
        step = advance_plan(plan, last, CAP_PPM)
        assert step.has_moved_clients
        assert _moved(plan, step.plan) <= CAP_PPM
        plan, count = step.plan, count + 1
    assert count <= last.revision


def test_servers_of_an_empty_zone_get_no_new_work() -> None:
    """Servers of a zone get no new work once it is fully withdrawn.

    Before that, callers are still sent to the zone.
    """
    environment = TwoZones(members=TWO_ENTRIES)
    state = DispatchState(Place('a1', 'a'))
    configuration = environment.configuration
    regions = {zone.name: zone.region for zone in configuration.zones}
    replace_servers(state, configuration.servers, regions, 0)
    for points, expected in ((0, False), (499_999, False), (500_000, True)):
        plan = Plan('s', 1, 'p', (), (('a2', points),))
        plans = SimpleNamespace(plan={'s': plan}.get)
        update_drained_zones(plans, environment, state)
        assert state.servers['ax'].is_drained is expected
        assert not state.servers['a'].is_drained


def test_silent_upstream_is_left_and_ramped_into() -> None:
    """A region without working servers must lose its traffic.

    Its live entry instances must not hide the failure. When the servers work
    again, traffic returns in small steps.
    """
    demand = dict.fromkeys(REGIONS, 6)
    node = _start(SimulatedEnvironment())
    _run(node, demand, 6)
    assert len(node.platform.writes) == 1
    _run(node, demand, 20, silent='a')
    left = node.platform.writes[-1][1]
    assert _load(left, demand, 'a') == 0
    _run(node, demand, 20)
    plans = [plan for _, plan in node.platform.writes]
    assert plans[-1].weights_of('a') == {'a': 1_000_000}
    for before, after in pairwise(plans):
        assert _moved(before, after) <= CAP_PPM
        old, new = (_load(plan, demand, 'a') for plan in (before, after))
        assert new <= max(old, 2 * old, 0.05 * 18) + 1e-4


def test_upstreams_are_not_left_without_reports_of_entries() -> None:
    """A network partition must not look like a failure of servers."""
    node = _start(SimulatedEnvironment())
    _run(node, dict.fromkeys(REGIONS, 6), 2)
    node.environment.members = node.environment.members[1:]
    node.platform.mode = 'works'
    _run(node, dict.fromkeys(REGIONS, 6), 10, silent='a')
    assert len(node.platform.writes) == 1
