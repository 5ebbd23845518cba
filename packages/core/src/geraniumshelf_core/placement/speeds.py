"""Current speeds of servers, as they report them in their responses.

The work on a server may take a multiple of the usual time for some tenths of a
second. A reading tells nothing of later, so its weight falls with its age.
"""

from typing import Final

from geraniumshelf_core.placement.estimates import (
    network_delay,
    speed_factor,
)
from geraniumshelf_core.placement.state import (
    Candidate,
    PlacementState,
    ServerView,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Speeds outside these bounds are ignored as errors of a server.
MIN_SPEED: Final = 0.01
MAX_SPEED: Final = 100.0
# Servers report speeds if one of them has done so within this time. A daemon
# gets a response from each server every few seconds, and from any server far
# more often.
_MAX_REPORT_AGE_NS: Final[Nanoseconds] = 10 * SECOND_NS


def reports_speeds(state: PlacementState, now: Nanoseconds) -> bool:
    """Return whether a server has reported its speed to this daemon lately."""
    return any(
        now - at <= _MAX_REPORT_AGE_NS for at in state.speeds_known_at.values()
    )


def record_speed(
    state: PlacementState, view: ServerView, speed: float, now: Nanoseconds
) -> bool:
    """Record the speed that a server reported in a response.

    Returns:
        Whether it is the first one of the service.
    """
    service = view.server.service
    is_first = service not in state.speeds_known_at
    state.speeds_known_at[service] = now
    update_speed(view, speed, reported_at(state, view, now))
    return is_first


def update_speed(view: ServerView, speed: float, at: Nanoseconds) -> None:
    """Set the speed that a server had at a time unless a later one is known."""
    if at >= view.speed_at:
        view.speed = speed
        view.speed_at = at


def reported_at(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> Nanoseconds:
    """Return the time at which a server sent a response that arrives now."""
    return now - network_delay(state, view) // 2


def usual_work(
    choice: Candidate, work: Nanoseconds, now: Nanoseconds
) -> Nanoseconds:
    """Return how long the work of a response takes at the usual speed.

    The speed may have changed during the work. Of the speeds between the one
    expected at the choice and the current one, the one that explains the
    measured time best is presumed. So a change of speed is not taken for a slow
    server or for a cold object.

    Args:
        choice: The server, as it was chosen for the request.
        work: Time until the response, without the network delay.
        now: Time of the response, whose own reading has been recorded.
    """
    speeds = (choice.speed, speed_factor(choice.view, now))
    usual = max(1, choice.expected_work / choice.speed)
    speed = min(max(work / usual, min(speeds)), max(speeds))
    return max(1, round(work / speed))
