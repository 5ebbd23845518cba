"""Ejects servers within the permitted fraction of their service and region."""

from typing import Final

from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

EJECTION_NS: Final[Nanoseconds] = 3 * SECOND_NS
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
    return True


def _server_group(state: PlacementState, view: ServerView) -> tuple[str, ...]:
    """Return the usable servers of the service and region of a server."""
    return state.usable.get((view.server.service, view.region), ())
