"""Capped transition of one daemon from its applied plan to a newer one."""

from attrs import evolve, frozen

from geraniumshelf_core.lookup.shares import advance_shares
from geraniumshelf_core.plan.model import Plan, SourcePlan
from geraniumshelf_core.plan.zones import advance_withdrawn, max_moved_ppm


@frozen
class PlanTransition:
    """One step of a daemon towards the newest plan that it holds.

    Attributes:
        plan: The plan to apply to look-ups, the held one once it is reached.
        has_moved_clients: Whether any client is sent to another destination.
    """

    plan: Plan
    has_moved_clients: bool


def advance_plan(applied: Plan, held: Plan, cap_ppm: int) -> PlanTransition:
    """Return the applied plan, moved towards the held plan within the cap.

    Args:
        applied: The plan that look-ups follow now.
        held: The plan with the highest known revision.
        cap_ppm: Maximum points of each source to move, parts per million.
    """
    names = {row.source for row in (*applied.sources, *held.sources)}
    sources = tuple(
        SourcePlan(
            name,
            advance_shares(
                applied.shares_of(name), held.shares_of(name), cap_ppm
            ),
            tuple(held.failover_of(name).items()),
        )
        for name in sorted(names)
    )
    moved = max_moved_ppm(applied, sources)
    withdrawn = advance_withdrawn(
        applied.withdrawn, held.withdrawn, cap_ppm - moved
    )
    is_reached = withdrawn == held.withdrawn and all(
        row.shares == held.shares_of(row.source) for row in sources
    )
    reached = evolve(applied, sources=sources, withdrawn=withdrawn)
    has_moved_clients = moved > 0 or withdrawn != applied.withdrawn
    return PlanTransition(held if is_reached else reached, has_moved_clients)
