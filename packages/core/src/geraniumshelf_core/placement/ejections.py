"""Ejects servers within the permitted fraction of their service and region."""

from typing import Final

from geraniumshelf_core.placement.cold_starts import record_unreachable
from geraniumshelf_core.placement.paces import PaceCause
from geraniumshelf_core.placement.pacing import start_pace
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

EJECTION_NS: Final[Nanoseconds] = 3 * SECOND_NS
# Time after which one request tries a server that accepted no connection.
_UNREACHABLE_NS: Final[Nanoseconds] = SECOND_NS
# At most one in this many servers of a service and region is ejected at once.
_EJECTION_DIVISOR: Final = 3


def eject(state: PlacementState, view: ServerView, now: Nanoseconds) -> bool:
    """Eject a server unless too many are ejected; return whether it is."""
    names = _server_group(state, view)
    ejected = sum(state.servers[name].ejected_until > now for name in names)
    if (ejected + 1) * _EJECTION_DIVISOR > len(names):
        return False
    view.failures = 0
    view.failure_rate = 0
    view.ejected_until = now + EJECTION_NS
    start_pace(state, view, PaceCause.EJECTED, now)
    return True


def eject_unreachable(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> None:
    """Eject a server that accepted no connection.

    It certainly does not respond, so unlike other ejections this is not limited
    to a fraction of the servers.
    """
    view.is_unreachable = True
    record_unreachable(state, view, now)
    view.ejected_until = now + _UNREACHABLE_NS
    start_pace(state, view, PaceCause.EJECTED, now)


def eject_if_silent(
    state: PlacementState,
    view: ServerView,
    sent_at: Nanoseconds,
    now: Nanoseconds,
) -> None:
    """Eject a server that has not responded since a request was sent."""
    if view.last_response_at < sent_at and view.ejected_until <= now:
        eject(state, view, now)


def _server_group(state: PlacementState, view: ServerView) -> tuple[str, ...]:
    """Return the usable servers of the service and region of a server."""
    return state.usable.get((view.server.service, view.region), ())
