"""Placement on servers that have named a limit of their rate.

Such a server gets a request only if this daemon holds a permit for it, and has
as much room as its rate allows.
"""

from geraniumshelf_core.placement.notices import get_notice
from geraniumshelf_core.placement.server_limits import (
    LimitNotice,
    LimitStatement,
    record_notice,
    record_statement,
)
from geraniumshelf_core.placement.state import (
    Notice,
    PlacementState,
    ServerView,
)
from geraniumshelf_core.shares.permits import (
    count_permits,
    drop_permits,
    take_permit,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds


def is_limited(view: ServerView) -> bool:
    """Return whether a limit of a server is in force."""
    return view.notice.limit.rate is not None


def has_permit(view: ServerView, now: Nanoseconds) -> bool:
    """Return whether the limit of a server allows another request."""
    if not is_limited(view):
        return True
    return count_permits(view.notice.permits, now) > view.reserved_sends


def use_permit(view: ServerView, now: Nanoseconds) -> bool:
    """Use a permit for a request that is sent now, if it needs one."""
    return not is_limited(view) or take_permit(view.notice.permits, now)


def usable_slots(view: ServerView, work: float) -> float:
    """Return how many slots a server can use at the rate that it named.

    Args:
        view: The server.
        work: Typical work of a request, nanoseconds.
    """
    rate = view.notice.limit.rate
    if rate is None:
        return view.server.slots
    return min(view.server.slots, rate * work / SECOND_NS)


def learn_from_response(
    state: PlacementState,
    view: ServerView,
    statement: LimitStatement,
    sent_at: Nanoseconds,
    now: Nanoseconds,
) -> bool:
    """Record what a response says; return whether the limit has changed.

    Args:
        state: The state to change.
        view: The server that responded.
        statement: What its response says about a limit.
        sent_at: Time at which the request was sent.
        now: Current time.
    """
    notice = view.notice
    former = notice.limit.rate
    if not state.policies.keeps_server_limits:
        return False
    if not record_statement(notice.limit, statement, sent_at, now):
        return False
    _apply_change(state, make_limit_notice(view), notice, former)
    return True


def learn_from_daemon(
    state: PlacementState, message: LimitNotice, now: Nanoseconds
) -> bool:
    """Record what another daemon knows; return whether the limit changed."""
    notice = get_notice(state, message.server, message.started_at_ms)
    former = notice.limit.rate
    if not record_notice(notice.limit, message, now):
        return False
    _apply_change(state, message, notice, former)
    return True


def make_limit_notice(view: ServerView) -> LimitNotice:
    """Return what this daemon knows of the limit of a server."""
    limit, server = view.notice.limit, view.server
    return LimitNotice(
        server.name, server.started_at_ms, limit.rate, limit.version
    )


def limited_views(state: PlacementState) -> list[ServerView]:
    """Return the listed servers with a limit in force."""
    return [
        view
        for name, started_at_ms in state.limited
        if (view := state.servers.get(name)) is not None
        and view.server.started_at_ms == started_at_ms
    ]


def _apply_change(
    state: PlacementState,
    message: LimitNotice,
    notice: Notice,
    former: float | None,
) -> None:
    key = (message.server, message.started_at_ms)
    rate = notice.limit.rate
    if rate is None:
        state.limited.pop(key, None)
    else:
        state.limited[key] = None
        if former is not None and rate < former:
            drop_permits(notice.permits)
