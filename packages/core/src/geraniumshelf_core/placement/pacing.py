"""Adaptive slow start of servers.

A server that has just started or recovered has few objects warm, and nothing
is known of what it can take. If it got its whole share of the requests at once,
they would fill its queue. So each daemon limits its own requests to such a
server by a pace that grows with each response in time and is halved if the
server is overloaded (AIMD).

The limit of cold servers applies beside the pace.
"""

from collections.abc import Sequence
from typing import Final

from geraniumshelf_core.placement.cold_starts import (
    cold_share,
    count_recent_sends,
    is_cold,
)
from geraniumshelf_core.placement.estimates import slowness, typical_work
from geraniumshelf_core.placement.paces import Pace, PaceCause
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Multiples of the expected work up to which a response is in time, and above
# which it is late. Work varies by less around its average.
_IN_TIME: Final = 1.5
_LATE: Final = 2
_DECREASE: Final = 0.5
# Requests that were sent together fail together, and count as one overload.
_DECREASE_INTERVAL_MS: Final = 300
_DECREASE_INTERVAL_NS: Final[Nanoseconds] = (
    _DECREASE_INTERVAL_MS * MILLISECOND_NS
)
_MIN_IN_FLIGHT: Final = 1
_MIN_RATE: Final = 1
# Growth of the rate for each response in time. A server that could take twenty
# requests a second gets them after three seconds, even if it begins with one.
_MIN_GROWTH: Final = 1
# The pace ends at this number of requests in flight at the earliest, so that
# the server has proved to take more than one.
_MIN_FINAL_IN_FLIGHT: Final = 2
# The rate may grow up to this multiple of the current rate of requests, because
# responses say nothing about a rate that was not used.
_MAX_UNUSED_RATE: Final = 2
# The pace ends at this multiple of the mean rate of the other servers.
_FINAL_RATE: Final = 2
# A pace that has not been reduced for this time ends, because a server that
# few requests need cannot prove more.
_MAX_AGE_NS: Final[Nanoseconds] = 10 * SECOND_NS


def begin_cold_start(
    state: PlacementState,
    view: ServerView,
    cold_time: Nanoseconds,
    now: Nanoseconds,
) -> None:
    """Record that a server is cold; pace it unless it was cold before."""
    was_cold = is_cold(view, now)
    view.cold_until = max(view.cold_until, now + cold_time)
    if is_cold(view, now) and not was_cold:
        start_pace(state, view, PaceCause.COLD, now)


def start_pace(
    state: PlacementState,
    view: ServerView,
    cause: PaceCause,
    now: Nanoseconds,
) -> None:
    """Pace a server from now on.

    Args:
        state: All listed servers.
        view: The server.
        cause: Why it is paced.
        now: Current time.
    """
    if state.policies.paces_servers:
        rate = max(_MIN_RATE, cold_share(state, view, now))
        view.pace = Pace(cause, rate, _MIN_IN_FLIGHT, now)


def update_pace(
    state: PlacementState,
    view: ServerView,
    work: Nanoseconds,
    object_name: str,
    now: Nanoseconds,
    *,
    is_bad: bool,
) -> None:
    """Adapt the pace of a server to the end of a request.

    Args:
        state: All listed servers.
        view: The server, before it learns from the response.
        work: Work of the request at the usual speed, 0 without a response.
        object_name: Object that the request concerned.
        now: Current time.
        is_bad: Whether the server failed or was full.
    """
    pace = view.pace
    if pace is None:
        return
    if not is_paced(view, now):
        view.pace = None
        return
    expected = _expected_work(state, view, object_name, now)
    if is_bad or work > _LATE * expected:
        _reduce(pace, now)
    elif 0 < work <= _IN_TIME * expected and view.ejected_until <= now:
        _increase(pace, count_recent_sends(view, now))
        if not is_cold(view, now) and _is_final(state, view, pace, now):
            view.pace = None


def is_paced(view: ServerView, now: Nanoseconds) -> bool:
    """Return whether the requests to a server are paced."""
    if view.pace is None:
        return False
    begin = max(view.pace.changed_at, view.cold_until, view.ejected_until)
    return now - begin <= _MAX_AGE_NS


def has_room(view: ServerView, now: Nanoseconds) -> bool:
    """Return whether the pace of a server allows another request."""
    pace = view.pace
    if pace is None or not is_paced(view, now):
        return True
    if view.in_flight + 1 > pace.in_flight:
        return False
    sends = count_recent_sends(view, now) + view.reserved_sends
    return sends + 1 <= pace.rate


def find_home(
    views: Sequence[ServerView], object_name: str, now: Nanoseconds
) -> ServerView | None:
    """Return the server where an object is expected to be warm.

    A server that has just started becomes the home of objects that are still
    warm on the next server of their ranking. While its pace allows no request
    and it has not handled the object, the next server remains the home.

    Args:
        views: Servers in the order of the ranking of the object.
        object_name: Name of the object.
        now: Current time.
    """
    for view in views:
        if object_name in view.warm_objects or has_room(view, now):
            return view
    return views[0] if views else None


def _expected_work(
    state: PlacementState,
    view: ServerView,
    object_name: str,
    now: Nanoseconds,
) -> float:
    typical = typical_work(state, view.server.service)
    is_warm = object_name in view.warm_objects
    work = typical.warm if is_warm else typical.cold
    return work * slowness(view, now)


def _increase(pace: Pace, sends: int) -> None:
    growth = max(_MIN_GROWTH, pace.rate * pace.in_flight**-2)
    pace.in_flight += 1 / pace.in_flight
    used = max(pace.rate, _MAX_UNUSED_RATE * sends)
    pace.rate = min(pace.rate + growth, used)


def _reduce(pace: Pace, now: Nanoseconds) -> None:
    if pace.is_reduced and now - pace.changed_at < _DECREASE_INTERVAL_NS:
        return
    pace.in_flight = max(_MIN_IN_FLIGHT, pace.in_flight * _DECREASE)
    pace.rate = max(_MIN_RATE, pace.rate * _DECREASE)
    pace.changed_at = now
    pace.is_reduced = True


def _is_final(
    state: PlacementState, view: ServerView, pace: Pace, now: Nanoseconds
) -> bool:
    part = view.server.slots / max(1, state.region_entries)
    if pace.in_flight < max(_MIN_FINAL_IN_FLIGHT, part):
        return False
    return pace.rate >= _FINAL_RATE * _mean_rate(state, view, now)


def _mean_rate(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> float:
    """Return the mean rate of requests to comparable servers.

    These are the other servers of the same service and region that are not
    paced.
    """
    names = state.usable.get((view.server.service, view.region), ())
    others = [
        other
        for name in names
        if not is_paced(other := state.servers[name], now)
    ]
    sends = sum(count_recent_sends(other, now) for other in others)
    return sends / len(others) if others else 0
