"""The plans in force at this daemon."""

from collections import deque
from collections.abc import Callable
from typing import Final

from attrs import Factory, define, frozen

from geraniumshelf_core.plan.model import Plan
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.observability.events import Event, log_event

# Changes must be kept for as long as reports may lag, which is 30 s at most. A
# step lasts at least 4 s.
_MAX_CHANGES: Final = 16


@frozen
class PlanChange:
    """A change of a held plan from one revision to a higher one.

    Attributes:
        seen_at: Time at which the later revision was first seen, nanoseconds
            on the local clock.
        before: The earlier revision.
        after: The later revision.
    """

    seen_at: Nanoseconds
    before: Plan
    after: Plan


@define
class HeldPlan:
    """The highest known revision of a plan.

    Attributes:
        plan: The plan.
        first_seen: Time at which it was first seen, nanoseconds on the local
            clock.
        stored_version: Version of its platform object, ``None`` if it came
            from a peer.
        changes: Latest changes, oldest first.
    """

    plan: Plan
    first_seen: Nanoseconds
    stored_version: int | None
    changes: deque[PlanChange] = Factory(lambda: deque(maxlen=_MAX_CHANGES))


class PlanService:
    """Holds the highest known revision of each plan.

    Lower revisions are never accepted.
    """

    def __init__(self) -> None:
        """Start without plans."""
        self._held: dict[str, HeldPlan] = {}
        self._version = 0
        self._listeners: list[Callable[[str, Nanoseconds], None]] = []

    @property
    def version(self) -> int:
        """Return a number that grows with each change of any plan."""
        return self._version

    def plan(self, service: str) -> Plan | None:
        """Return the plan of a service, ``None`` if none was received."""
        held = self._held.get(service)
        return None if held is None else held.plan

    def held(self, service: str) -> HeldPlan | None:
        """Return the plan of a service with its stored version and changes."""
        return self._held.get(service)

    def plans(self) -> tuple[Plan, ...]:
        """Return all plans in force."""
        return tuple(held.plan for held in self._held.values())

    def subscribe(self, listener: Callable[[str, Nanoseconds], None]) -> None:
        """Add a listener.

        Args:
            listener: Called with the service name and the current time before
                the plan is replaced by a higher revision.
        """
        self._listeners.append(listener)

    def accept(
        self, plan: Plan, now: Nanoseconds, stored_version: int | None = None
    ) -> bool:
        """Put a plan in force if its revision is higher.

        Args:
            plan: A plan from the platform or a peer.
            now: Current time, nanoseconds.
            stored_version: Version of its platform object, if known.

        Returns:
            Whether the plan was put in force.
        """
        held = self._held.get(plan.service)
        if held is None:
            self._held[plan.service] = HeldPlan(plan, now, stored_version)
        elif plan.revision > held.plan.revision:
            for listener in self._listeners:
                listener(plan.service, now)
            held.changes.append(PlanChange(now, held.plan, plan))
            held.plan = plan
            held.first_seen = now
            held.stored_version = stored_version
        else:
            if plan == held.plan and stored_version is not None:
                held.stored_version = stored_version
            return False
        self._version += 1
        log_event(
            Event.PLAN_IN_FORCE, service=plan.service, revision=plan.revision
        )
        return True
