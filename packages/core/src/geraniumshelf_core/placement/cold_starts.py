"""The rate limit of servers that are in a cold start, or may be.

A cold server fails under the full rate, and a server may become cold at any
moment. A daemon learns this from the store or from the server itself. So a
server gets the full rate only while this daemon has recent evidence that it is
not cold: a list of servers that lacks no change, or a health check. Otherwise
the limit of cold servers applies to it.
"""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from geraniumshelf_core.placement.state import (
    LONG_AGO,
    PlacementState,
    ServerView,
)
from geraniumshelf_core.shares.division import whole_units
from geraniumshelf_core.shares.whole_shares import count_shares
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Period over which requests to a cold server are counted.
COLD_WINDOW_NS: Final[Nanoseconds] = SECOND_NS
# An earlier run of this daemon may have used its part of the limit in the last
# second. Other daemons learn of a new daemon, by whose part theirs shrinks,
# within a second, and what they sent before counts for another one.
_SETTLING_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Time for which a health check shows that a server is not cold.
_MAX_CHECK_AGE_NS: Final[Nanoseconds] = SECOND_NS
# A server writes its entry within two of its heartbeat intervals.
_ENTRY_DELAY_NS: Final[Nanoseconds] = 3 * SECOND_NS
# A server is checked this long before the evidence expires.
_CHECK_LEAD_MS: Final = 300
_CHECK_LEAD_NS: Final[Nanoseconds] = _CHECK_LEAD_MS * MILLISECOND_NS
_CHECK_INTERVAL_MS: Final = 400
_CHECK_INTERVAL_NS: Final[Nanoseconds] = _CHECK_INTERVAL_MS * MILLISECOND_NS
# A server that no request needed for this time is not checked.
_MAX_UNUSED_NS: Final[Nanoseconds] = 5 * SECOND_NS
# Fraction of the limit of cold servers below which no check is needed.
_CHECK_FRACTION: Final = 0.5


def is_cold(view: ServerView, now: Nanoseconds) -> bool:
    """Return whether a server is known to be in a cold start."""
    return view.cold_until > now


def confirm_list(state: PlacementState, confirmed_at: Nanoseconds) -> None:
    """Record that the list of servers lacked no change at a time."""
    state.list_confirmed_at = max(state.list_confirmed_at, confirmed_at)


def is_list_current(state: PlacementState, now: Nanoseconds) -> bool:
    """Return whether the list of servers was confirmed lately."""
    return now - state.list_confirmed_at <= state.max_list_age


def may_get_full_rate(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether there is recent evidence that a server is not cold."""
    if is_cold(view, now):
        return False
    if now - view.checked_at <= _MAX_CHECK_AGE_NS:
        return True
    return is_list_current(state, now) and not _may_have_restarted(
        state, view, now
    )


def may_get_request(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether the rate limits allow another request to a server."""
    return may_get_full_rate(state, view, now) or has_cold_capacity(
        state, view, now
    )


def has_cold_capacity(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether this daemon may send a cold server another request.

    The limit of a cold server is divided among the daemons of its own region,
    so daemons of other regions send it none.
    """
    used = count_recent_sends(view, now) + view.reserved_sends
    return used < cold_share(state, view, now)


def is_send_allowed(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether a request may be sent now, once a connection is open."""
    if may_get_full_rate(state, view, now):
        return True
    return count_recent_sends(view, now) < cold_share(state, view, now)


@contextmanager
def reserved_send(view: ServerView) -> Iterator[None]:
    """Reserve a place under the limit while a connection is opened."""
    view.reserved_sends += 1
    try:
        yield
    finally:
        view.reserved_sends -= 1


def get_send_times(
    state: PlacementState, name: str, now: Nanoseconds
) -> deque[Nanoseconds]:
    """Return the times of the requests to a server; create them if needed."""
    send_times = state.send_times.get(name)
    if send_times is None:
        state.send_times = {
            other: times
            for other, times in state.send_times.items()
            if other in state.servers
            or (times and now - times[-1] <= COLD_WINDOW_NS)
        }
        send_times = deque()
        state.send_times[name] = send_times
    return send_times


def record_send(view: ServerView, now: Nanoseconds) -> None:
    """Count a request that is sent to a server against its limit.

    Requests to a server that is not cold count, too, as it may have become
    cold since they were sent.
    """
    send_times = view.send_times
    send_times.append(now)
    while now - send_times[0] > COLD_WINDOW_NS:
        send_times.popleft()


def count_recent_sends(view: ServerView, now: Nanoseconds) -> int:
    """Return how many requests this daemon sent to a server lately."""
    return sum(now - at <= COLD_WINDOW_NS for at in view.send_times)


def record_unreachable(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> None:
    """Record that a server accepted no connection.

    It may start again under its name, and requests reach it before its entry
    tells of the restart.
    """
    view.checked_at = LONG_AGO
    state.unreachable_at[view.server.name] = now


def needs_checks(state: PlacementState, now: Nanoseconds) -> bool:
    """Return whether a health check may be due for any server."""
    is_list_ageing = not is_list_current(state, now + _CHECK_LEAD_NS)
    return is_list_ageing or bool(state.unreachable_at)


def choose_checks(
    state: PlacementState, now: Nanoseconds
) -> tuple[ServerView, ...]:
    """Return the servers whose health is to be checked now.

    These are the servers that requests need beyond the limit of cold servers,
    if the evidence that they are not cold expires soon. Their checks count as
    started.
    """
    if not needs_checks(state, now):
        return ()
    state.unreachable_at = {
        name: at
        for name, at in state.unreachable_at.items()
        if now - at <= _ENTRY_DELAY_NS
    }
    chosen = tuple(
        state.servers[name]
        for names in state.usable.values()
        for name in names
        if _is_check_due(state, state.servers[name], now)
    )
    for view in chosen:
        view.check_started_at = now
    return chosen


def record_health(
    view: ServerView, cold_left: Nanoseconds, now: Nanoseconds
) -> None:
    """Record the result of a health check.

    Args:
        view: The server.
        cold_left: Time for which the server stays cold, 0 if it is not cold.
        now: Time at which the response arrived.
    """
    if cold_left:
        view.cold_until = max(view.cold_until, now + cold_left)
    else:
        view.checked_at = now


def cold_share(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> int:
    """Return this daemon's part of the limit of a cold server."""
    is_settled = now - state.started_at > _SETTLING_NS
    if view.region != state.place.region or not is_settled:
        return 0
    rate = state.cold_rate_per_share.get(view.server.service, 0)
    return whole_units(rate, count_shares(state.whole_shares, now))


def _is_check_due(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    if now - view.needed_at > _MAX_UNUSED_NS or is_cold(view, now):
        return False
    if now - view.check_started_at < _CHECK_INTERVAL_NS:
        return False
    enough = _CHECK_FRACTION * cold_share(state, view, now)
    if count_recent_sends(view, now) < enough:
        return False
    return not may_get_full_rate(state, view, now + _CHECK_LEAD_NS)


def _may_have_restarted(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    unreachable_at = state.unreachable_at.get(view.server.name)
    if unreachable_at is None:
        return False
    return now - unreachable_at <= _ENTRY_DELAY_NS
