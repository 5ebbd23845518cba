"""The plans that the look-up answers of this daemon follow."""

from attrs import define

from geraniumshelf_core.configuration.model import Service
from geraniumshelf_core.plan.model import Plan
from geraniumshelf_core.plan.timing import min_step_interval
from geraniumshelf_core.plan.transition import advance_plan
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.replication.interface import ConfigurationSource
from geraniumshelf_daemon.steering.interface import Clock
from geraniumshelf_daemon.steering.plans import PlanService


@define
class _Applied:
    """The plan that answers follow and the time of its last move."""

    plan: Plan
    moved_at: Nanoseconds


class AppliedPlans:
    """Implements ``PlanSource``: follows the held plans in capped steps.

    A daemon that was cut off learns several revisions at once; its clients
    must not move by all of them together.
    """

    def __init__(
        self,
        plans: PlanService,
        configurations: ConfigurationSource,
        clock: Clock,
    ) -> None:
        """Start with no plan applied.

        Args:
            plans: The held plans.
            configurations: Source of caps and step lengths.
            clock: Source of the current time.
        """
        self._plans = plans
        self._configurations = configurations
        self._clock = clock
        self._applied: dict[str, _Applied] = {}
        plans.subscribe(self.settle)

    @property
    def version(self) -> int:
        """Return a number that grows with each change of any held plan."""
        return self._plans.version

    def plan(self, service: str) -> Plan | None:
        """Return the plan to answer by now, ``None`` before the first."""
        self.settle(service, self._clock())
        applied = self._applied.get(service)
        return None if applied is None else applied.plan

    def settle(self, service: str, now: Nanoseconds) -> None:
        """Make all moves towards the held plan that are due.

        Moves that were due earlier count from then, since a daemon without
        look-ups must not fall behind. The first plan is taken as it is.
        """
        held = self._plans.held(service)
        if held is None:
            return
        applied = self._applied.get(service)
        if applied is None:
            self._applied[service] = _Applied(held.plan, held.first_seen)
            return
        if applied.plan is held.plan:
            return
        rule = self._find(service)
        if rule is not None:
            self._advance(applied, rule, now)

    def _advance(
        self, applied: _Applied, rule: Service, now: Nanoseconds
    ) -> None:
        held = self._plans.held(rule.name)
        while held is not None and applied.plan is not held.plan:
            due = max(
                applied.moved_at + min_step_interval(rule), held.first_seen
            )
            if due > now:
                return
            step = advance_plan(
                applied.plan, held.plan, rule.shift_cap.share_ppm
            )
            applied.plan = step.plan
            if step.has_moved_clients:
                applied.moved_at = due

    def _find(self, service: str) -> Service | None:
        configuration = self._configurations.configuration
        if configuration is None:
            return None
        for rule in configuration.services:
            if rule.name == service:
                return rule
        return None
