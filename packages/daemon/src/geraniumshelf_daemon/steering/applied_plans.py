"""The plans that the look-up responses of this daemon apply."""

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
class _AppliedPlan:
    """The plan that look-up responses apply, and its last change.

    Attributes:
        plan: The plan.
        last_move_at: Time of the last step that moved clients, nanoseconds.
    """

    plan: Plan
    last_move_at: Nanoseconds


class AppliedPlans:
    """Implements ``PlanSource``: moves to the held plans in capped steps.

    A daemon that was cut off receives several revisions at once. Its clients
    must not be moved by all of them together.
    """

    def __init__(
        self,
        plans: PlanService,
        configurations: ConfigurationSource,
        clock: Clock,
    ) -> None:
        """Start with no plan applied.

        Args:
            plans: The highest known plan revisions.
            configurations: Source of the shift caps and step intervals.
            clock: Source of the current time.
        """
        self._plans = plans
        self._configurations = configurations
        self._clock = clock
        self._applied: dict[str, _AppliedPlan] = {}
        plans.subscribe(self.apply_due_steps)

    @property
    def version(self) -> int:
        """Return a number that grows with each change of any held plan."""
        return self._plans.version

    def plan(self, service: str) -> Plan | None:
        """Return the plan to apply now, ``None`` if none was received."""
        self.apply_due_steps(service, self._clock())
        applied = self._applied.get(service)
        return None if applied is None else applied.plan

    def apply_due_steps(self, service: str, now: Nanoseconds) -> None:
        """Apply all steps towards the held plan that are due.

        A step that was due earlier counts from its due time, so that a daemon
        without look-ups doesn't fall behind. The first plan is applied as it
        is.
        """
        held = self._plans.held(service)
        if held is None:
            return
        applied = self._applied.get(service)
        if applied is None:
            self._applied[service] = _AppliedPlan(held.plan, held.first_seen)
            return
        if applied.plan is held.plan:
            return
        service_config = self._find_service(service)
        if service_config is not None:
            self._advance(applied, service_config, now)

    def _advance(
        self, applied: _AppliedPlan, service_config: Service, now: Nanoseconds
    ) -> None:
        held = self._plans.held(service_config.name)
        while held is not None and applied.plan is not held.plan:
            due_at = max(
                applied.last_move_at + min_step_interval(service_config),
                held.first_seen,
            )
            if due_at > now:
                return
            transition = advance_plan(
                applied.plan, held.plan, service_config.shift_cap.share_ppm
            )
            applied.plan = transition.plan
            if transition.has_moved_clients:
                applied.last_move_at = due_at

    def _find_service(self, service: str) -> Service | None:
        configuration = self._configurations.configuration
        if configuration is None:
            return None
        for service_config in configuration.services:
            if service_config.name == service:
                return service_config
        return None
