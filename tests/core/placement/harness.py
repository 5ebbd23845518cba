"""Servers and placement states for tests of the placement."""

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.placement.cold_starts import confirm_list, record_send
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    put_server,
)
from geraniumshelf_core.placement.queries import choose_server
from geraniumshelf_core.placement.state import (
    PlacementRequest,
    PlacementState,
    ServerView,
)
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b'}
WORK = 100 * MILLISECOND_NS
NOW = 100 * SECOND_NS
# The daemon is in contact with the store for longer than any test.
_CONTACT_NS = 3600 * SECOND_NS


def server(name: str, zone: str, slots: int = 2) -> ListedServer:
    """Return the store entry of a server."""
    return ListedServer(name, 'desk', f'10.0.0.1:{len(name)}', zone, slots)


def make_state(zones: dict[str, str], slots: int = 2) -> PlacementState:
    """Return the placement state of a daemon in ``a1``.

    Args:
        zones: Zones of the servers by their names.
        slots: Slots of each server.
    """
    state = PlacementState(Place('a1', 'a'), _REGIONS)
    confirm_list(state, NOW + _CONTACT_NS)
    for name, zone in zones.items():
        put_server(state, server(name, zone, slots), NOW)
    return state


def chosen(state: PlacementState, name: str, now: int = NOW) -> str:
    """Return the name of the server that is selected for an object."""
    candidate = choose_server(state, PlacementRequest('desk', name), now)
    assert candidate is not None
    return candidate.view.server.name


def serve(state: PlacementState, view: ServerView, name: str, now: int) -> None:
    """Record a request for an object and its response by a server."""
    begin_request(state, view)
    record_send(view, now)
    end_request(state, view, Outcome(work=WORK, object_name=name), now)
