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
from geraniumshelf_core.placement.estimates import (
    estimated_load,
    slowness,
    typical_work,
)
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
# Time after a decrease for which the rate applies to an idle server, too. It
# restrains a server that fails quickly.
_CAUTION_NS: Final[Nanoseconds] = SECOND_NS
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
# The pace ends at this multiple of the mean rate of the servers.
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
    """Return whether the pace of a server allows another request.

    The rate does not apply to an idle server unless it was overloaded or failed
    lately.
    """
    pace = view.pace
    if pace is None or not is_paced(view, now):
        return True
    if view.in_flight + 1 > pace.in_flight:
        return False
    was_bad = pace.is_reduced and now - pace.changed_at < _CAUTION_NS
    if estimated_load(view, now) < 1 and not was_bad:
        return True
    sends = count_recent_sends(view, now) + view.reserved_sends
    return sends + 1 <= pace.rate


def open_servers(
    views: Sequence[ServerView], now: Nanoseconds
) -> Sequence[ServerView]:
    """Return the servers that a request may go to by their pace.

    While no other server has a free slot, the home of the object may exceed its
    pace up to its slots. Elsewhere, the request would wait, too, and then take
    a slot for the time of cold work. If no server has room, the pace restricts
    none of them, because it must not refuse requests or move them to another
    region.

    Args:
        views: Eligible servers of a region, the home of the object first.
        now: Current time.
    """
    with_room = [view for view in views if has_room(view, now)]
    if len(with_room) == len(views):
        return views
    home = views[0]
    if home in with_room or home.in_flight >= home.server.slots:
        return with_room or views
    has_free_slot = any(
        view.full_until <= now and estimated_load(view, now) < view.server.slots
        for view in with_room
    )
    return with_room if has_free_slot else [home, *with_room]


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
    """Return the mean rate of requests to the servers of a service and region.

    Paced servers count, because the others get the requests that these cannot
    take yet.
    """
    names = state.usable.get((view.server.service, view.region), ())
    sends = sum(count_recent_sends(state.servers[name], now) for name in names)
    return sends / max(1, len(names))
