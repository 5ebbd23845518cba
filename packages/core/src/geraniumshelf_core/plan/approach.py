"""The way of one daemon from the plan it answers by to the plan it holds."""

from attrs import evolve, frozen

from geraniumshelf_core.lookup.shares import approach_shares, count_moved
from geraniumshelf_core.plan.model import Plan, SourcePlan


@frozen
class Approach:
    """One step of a daemon towards the plan that it holds.

    Attributes:
        plan: The plan to answer by, the held one once it is reached.
        is_move: Whether any client is sent elsewhere.
    """

    plan: Plan
    is_move: bool


def approach_plan(applied: Plan, held: Plan, cap_ppm: int) -> Approach:
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
            approach_shares(
                applied.shares_of(name), held.shares_of(name), cap_ppm
            ),
            tuple(held.failover_of(name).items()),
        )
        for name in sorted(names)
    )
    is_reached = all(
        row.shares == held.shares_of(row.source) for row in sources
    )
    is_move = any(
        count_moved(applied.shares_of(row.source), row.shares)
        for row in sources
    )
    return Approach(
        held if is_reached else evolve(applied, sources=sources), is_move
    )
