"""The way of one daemon from the plan it answers by to the plan it holds."""

from attrs import evolve, frozen

from geraniumshelf_core.lookup.shares import advance_shares
from geraniumshelf_core.plan.model import Plan, SourcePlan
from geraniumshelf_core.plan.zones import advance_withdrawn, most_moved


@frozen
class PlanTransition:
    """One step of a daemon towards the plan that it holds.

    Attributes:
        plan: The plan to answer by, the held one once it is reached.
        has_moved_clients: Whether any client is sent elsewhere.
    """

    plan: Plan
    has_moved_clients: bool


def advance_plan(applied: Plan, held: Plan, cap_ppm: int) -> PlanTransition:
    """Move at most the cap of each source's points towards the held plan.

    Args:
        applied: The plan that answers follow now.
        held: The plan with the highest known revision.
        cap_ppm: Most points of a source to move, parts per million.
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
    moved = most_moved(applied, sources)
    withdrawn = advance_withdrawn(
        applied.withdrawn, held.withdrawn, cap_ppm - moved
    )
    is_reached = withdrawn == held.withdrawn and all(
        row.shares == held.shares_of(row.source) for row in sources
    )
    reached = evolve(applied, sources=sources, withdrawn=withdrawn)
    has_moved_clients = moved > 0 or withdrawn != applied.withdrawn
    return PlanTransition(held if is_reached else reached, has_moved_clients)
