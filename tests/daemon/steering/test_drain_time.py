"""Guards the duration of drains and the application of single steps."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.daemon.steering.simulation import (
    CAP_PPM,
    REGIONS,
    STEP_S,
    FaultyPlatform,
    Node,
    SimulatedEnvironment,
)

from geraniumshelf_core.units import SECOND_NS


@settings(max_examples=20)
@given(
    demand=st.tuples(*[st.integers(1, 9)] * 3),
    cap_ppm=st.integers(30_000, 300_000),
    is_failure=st.booleans(),
)
def test_drain_takes_little_more_than_the_cap_allows(
    demand: tuple[int, int, int], cap_ppm: int, is_failure: bool
) -> None:
    """Traffic must leave a failed region as fast as a drained one.

    Both take the number of steps that the cap requires, and little more.
    """
    environment = SimulatedEnvironment(cap_ppm=cap_ppm)
    platform = FaultyPlatform(environment)
    nodes = [Node(environment, platform, offset) for offset in (0, 5, 7)]
    for node in nodes:
        node.restart()
    steps_needed = math.ceil(1e6 / cap_ppm)
    best_s = steps_needed * STEP_S
    elapsed_s = 0
    while not platform.writes or 'a' in _used(platform):
        if elapsed_s == STEP_S and is_failure:
            environment.members = environment.members[1:]
            platform.listed = platform.listed[1:]
        elif elapsed_s == STEP_S:
            environment.drained = ('a',)
        for node in nodes:
            for region, requests in zip(REGIONS, demand, strict=True):
                node.receive_demand_report(region, requests)
                node.receive_load_report(
                    region, requests if platform.writes else 0
                )
            node.read_plan()
            node.propose()
        environment.now += SECOND_NS
        elapsed_s += 1
        # A region counts as failed after 10 s without a live instance.
        assert elapsed_s - STEP_S - 10 * is_failure <= 1.2 * best_s
    assert elapsed_s >= steps_needed * STEP_S
    assert platform.writes[-1][1].revision <= steps_needed + 2


def _used(platform: FaultyPlatform) -> set[str]:
    plan = platform.writes[-1][1]
    return {region for source in REGIONS for region in plan.weights_of(source)}


def test_simulation_moves_traffic() -> None:
    """The simulation must move traffic, or its invariants hold trivially."""
    environment = SimulatedEnvironment()
    platform = FaultyPlatform(environment)
    node = Node(environment, platform, 0)
    node.restart()
    environment.drained = ()
    for _ in range(3):
        for region in REGIONS:
            node.receive_load_report(region, 3)
            node.receive_demand_report(region, 3)
        node.propose('lost')
        environment.now += STEP_S * SECOND_NS
        environment.drained = ('a',)
        node.propose()
    assert [plan.revision for _, plan in platform.writes] == [1, 2, 3]
    moved = platform.writes[1][1].weights_of('a')['b']
    assert moved == CAP_PPM


def test_single_steps_are_applied_at_once_without_lookups() -> None:
    """A daemon without look-ups must not fall behind the plan."""
    environment = SimulatedEnvironment()
    platform = FaultyPlatform(environment)
    node, idle_node = (
        Node(environment, platform, 0),
        Node(environment, platform, 9),
    )
    for current in (node, idle_node):
        current.restart()
    for _ in range(6):
        for region in REGIONS:
            node.receive_load_report(region, 3)
            node.receive_demand_report(region, 3)
        node.propose()
        idle_node.read_plan()
        environment.drained = ('a',)
        assert node.applied.plan('s') == platform.writes[-1][1]
        environment.now += STEP_S * SECOND_NS
    assert idle_node.applied.plan('s') == platform.writes[-1][1]
    assert platform.writes[-1][1].revision == 6
