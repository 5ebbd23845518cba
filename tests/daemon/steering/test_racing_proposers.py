"""Guards the shift cap and region capacity under races and faults."""

from itertools import pairwise
from types import ModuleType

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from tests.daemon.steering.simulation import (
    CAP_PPM,
    REGIONS,
    SLOTS,
    STEP_S,
    TTL_S,
    FaultyPlatform,
    Node,
    SimulatedEnvironment,
)

from geraniumshelf_core.plan import steps
from geraniumshelf_core.plan.model import Plan
from geraniumshelf_core.plan.timing import PROPAGATION_S
from geraniumshelf_core.plan.transition import PlanTransition
from geraniumshelf_core.units import (
    PARTS_PER_MILLION,
    SECOND_NS,
)
from geraniumshelf_daemon.steering import applied_plans, proposer, step_inputs

_NODES = st.integers(0, 2)
_REGION = st.sampled_from(REGIONS)
_TICK_S = 0.5
# Demand of a source stays between its base and this multiple of it, the most
# that the reserve of 15% covers.
_GROWTH = 1 / 0.85


class SteeringMachine(RuleBasedStateMachine):
    """Three daemons, one platform, and callers that cache responses."""

    @initialize(demand=st.tuples(*[st.integers(1, 14)] * 3), drained=_REGION)
    def start(self, demand, drained) -> None:
        self.base = dict(zip(REGIONS, demand, strict=True))
        self.demand = dict(self.base)
        self.environment = SimulatedEnvironment()
        self.platform = FaultyPlatform(self.environment)
        self.nodes = [
            Node(self.environment, self.platform, offset * SECOND_NS)
            for offset in (0, 500, 70_000)
        ]
        # Revision in use and expiry time of the cached response.
        self.callers = [(0, 0.0)] * 8
        # Time at which a daemon with contact first saw each revision.
        self.first_seen: list[tuple[int, int]] = []
        for node in self.nodes:
            node.restart()
            self._receive_all_reports(node)
        self.nodes[0].propose()
        self.environment.drained = (drained,)

    @rule(seconds=st.integers(1, 12), lag=st.integers(0, PROPAGATION_S))
    def pass_time(self, seconds: int, lag: int) -> None:
        for _ in range(int(seconds / _TICK_S)):
            self.environment.now += int(_TICK_S * SECOND_NS)
            self._refresh_callers(lag)
            self.responses_keep_the_cap()
        for node in self.nodes:
            node.read_plan()

    @rule(count=st.integers(1, 4), node=_NODES, is_false_report=st.booleans())
    def pass_quiet_steps(
        self, count: int, node: int, is_false_report: bool
    ) -> None:
        for _ in range(count):
            self.pass_time(STEP_S + 1, 1)
            self._receive_all_reports(self.nodes[node], is_false_report)
            self.nodes[node].propose()

    @rule(
        node=_NODES,
        mode=st.sampled_from(['works', 'lost', 'slow', 'down']),
        receives_reports=st.booleans(),
    )
    def propose(self, node: int, mode: str, receives_reports: bool) -> None:
        if receives_reports:
            self._receive_all_reports(self.nodes[node])
        self.nodes[node].propose(mode)

    @precondition(lambda self: self.platform.delayed)
    @rule()
    def land_delayed(self) -> None:
        self.platform.land_delayed()

    @rule(node=_NODES)
    def restart(self, node: int) -> None:
        self.nodes[node].restart()

    @rule(
        node=_NODES,
        region=_REGION,
        in_flight=st.integers(0, 40),
        age_s=st.integers(0, 40),
        slots=st.integers(0, 2 * SLOTS),
        leaving=st.integers(0, 1),
    )
    def report_any_load(self, node, region, **report: int) -> None:
        self.nodes[node].receive_load_report(region, **report)

    @rule(node=_NODES, region=_REGION)
    def report_demand(self, node: int, region: str) -> None:
        self.nodes[node].receive_demand_report(region, self.demand[region])

    @rule(region=_REGION, growth=st.floats(1, _GROWTH))
    def change_demand(self, region: str, growth: float) -> None:
        self.demand[region] = self.base[region] * growth

    @rule(node=_NODES, is_cut_off=st.booleans())
    def cut_off(self, node: int, is_cut_off: bool) -> None:
        self.nodes[node].is_cut_off = is_cut_off

    @rule(drained=st.sets(_REGION, max_size=2))
    def drain(self, drained: set[str]) -> None:
        self.environment.drained = tuple(sorted(drained))

    @invariant()
    def steps_keep_the_cap(self) -> None:
        for before, after in self._pairs():
            for source in REGIONS:
                old = before.weights_of(source)
                moved = sum(
                    max(0, weight - old.get(region, 0))
                    for region, weight in after.weights_of(source).items()
                )
                assert moved <= CAP_PPM

    @invariant()
    def responses_keep_the_cap(self) -> None:
        # If the cap holds for each daemon, it holds for all of them together.
        for node in self.nodes:
            assert node.max_moved_ppm() <= CAP_PPM

    @invariant()
    def steps_keep_their_distance(self) -> None:
        times = [time for time, _ in self.platform.writes]
        for earlier, later in pairwise(times):
            assert later - earlier >= STEP_S * SECOND_NS

    @invariant()
    def steps_are_seen_apart(self) -> None:
        for earlier, later in pairwise(self.first_seen):
            assert later[1] == earlier[1] + 1
            min_s = STEP_S - PROPAGATION_S
            assert later[0] - earlier[0] >= min_s * SECOND_NS

    @invariant()
    def callers_use_two_revisions_at_most(self) -> None:
        revisions = [revision for revision, _ in self.callers if revision]
        assert not revisions or max(revisions) - min(revisions) <= 1

    @invariant()
    def moves_overload_no_region(self) -> None:
        for before, after in self._pairs():
            old, new = self._loads(before), self._loads(after)
            for region in REGIONS:
                assert new[region] <= max(old[region], SLOTS) + 1e-4

    def _pairs(self) -> list[tuple[Plan, Plan]]:
        plans = [plan for _, plan in self.platform.writes]
        return list(pairwise(plans))[-5:]

    def _loads(self, plan: Plan) -> dict[str, float]:
        return {
            region: sum(
                requests
                * _GROWTH
                * plan.weights_of(source).get(region, 0)
                / PARTS_PER_MILLION
                for source, requests in self.base.items()
            )
            for region in REGIONS
        }

    def _refresh_callers(self, lag: int) -> None:
        now = self.environment.now
        seen = [
            plan.revision
            for written, plan in self.platform.writes
            if written <= now - lag * SECOND_NS
        ]
        if seen and seen[-1] > max([0, *(r for _, r in self.first_seen)]):
            self.first_seen.append((now, seen[-1]))
        for index, (revision, end) in enumerate(self.callers):
            if end <= now and seen:
                latest = max(revision, seen[-1])
                self.callers[index] = (latest, now + TTL_S * SECOND_NS)

    def _receive_all_reports(
        self, node: Node, is_false_report: bool = False
    ) -> None:
        for region in REGIONS:
            node.receive_load_report(
                region, 0 if is_false_report else int(self.demand[region])
            )
            node.receive_demand_report(region, self.demand[region])


_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestSteering = SteeringMachine.TestCase
TestSteering.settings = _SETTINGS


@pytest.mark.parametrize(
    ('module', 'name', 'broken'),
    [
        (proposer, 'may_propose', lambda seen, step, now: True),
        (step_inputs, 'planned_loads', lambda plan, demand: {}),
        (steps, '_start_budget', None),
        # Applies all held revisions at once, without the cap on responses.
        (
            applied_plans,
            'advance_plan',
            lambda old, new, cap: PlanTransition(new, True),
        ),
    ],
)
def test_checker_finds_deliberate_faults(
    monkeypatch: pytest.MonkeyPatch, module: ModuleType, name: str, broken
) -> None:
    """The state machine must fail with a deliberate fault in the code.

    Otherwise, it would not detect a real fault either.
    """
    monkeypatch.setattr(module, name, broken or _doubled_budget)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            SteeringMachine,
            settings=settings(
                _SETTINGS,
                phases=[Phase.generate],
                database=None,
                # Hypothesis also draws constants from all imported modules,
                # so code changes affect which examples are tried.
                max_examples=1500,
            ),
        )


_true_budget = steps._start_budget


def _doubled_budget(current, inputs):
    budget = _true_budget(current, inputs)
    budget.source_ppm *= 2
    return budget
