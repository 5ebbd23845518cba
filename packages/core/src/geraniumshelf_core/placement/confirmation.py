"""Until when the list of backend servers was known to be complete.

The store reports every change of a server at once. So the list lacks no change
while the store responds, the watch of the servers has not failed and no other
daemon has reported a newer change.
"""

from typing import Final

from geraniumshelf_core.placement.queries import COLD_WINDOW_NS
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# A list that was confirmed longer ago may lack changes.
MAX_LIST_AGE_NS: Final[Nanoseconds] = SECOND_NS


def confirm_list(state: PlacementState, confirmed_at: Nanoseconds) -> None:
    """Record that the list of servers lacked no change at a time."""
    state.list_confirmed_at = max(state.list_confirmed_at, confirmed_at)


def is_list_current(state: PlacementState, now: Nanoseconds) -> bool:
    """Return whether the list of servers was confirmed lately."""
    return now - state.list_confirmed_at <= MAX_LIST_AGE_NS


def count_recent_sends(view: ServerView, now: Nanoseconds) -> int:
    """Return how many requests this daemon sent to a server lately."""
    return sum(now - at <= COLD_WINDOW_NS for at in view.send_times)
