"""Tests of what daemons tell each other about the notices of servers."""

from collections.abc import Callable

from tests.daemon.edge.limit_harness import LimitFleet

from geraniumshelf_core.placement.queries import is_leaving
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.interface import ResponseFields
from geraniumshelf_daemon.edge.notices import ServerNotices

_LEAVING = ResponseFields(
    ('r',),
    is_signed=True,
    is_not_run=False,
    is_misdirected=False,
    load=None,
    is_leaving=True,
)


def _make_notices(fleet: LimitFleet) -> dict[str, ServerNotices]:
    return {
        name: ServerNotices(
            node.placement, node.presence, node.port, fleet.clock, node.limits
        )
        for name, node in fleet.nodes.items()
    }


def _announce(is_lost: Callable[[str, str], bool], regions: int) -> set[str]:
    """Return the daemons that do not know that a server leaves."""
    fleet = LimitFleet(daemons=6, servers=2, regions=regions)
    notices = _make_notices(fleet)
    fleet.is_lost = is_lost
    view = fleet.nodes['n0'].placement.servers['s0']
    notices['n0'].handle_response(view, _LEAVING, fleet.clock())
    fleet.run_until(SECOND_NS)
    fleet.is_lost = lambda _sender, _receiver: False
    notices['n0'].repeat(fleet.clock())
    fleet.run_until(2 * SECOND_NS)
    return {
        name
        for name, node in fleet.nodes.items()
        if not is_leaving(node.placement.servers['s0'])
    }


def test_departure_is_known_in_all_regions() -> None:
    """Guard against requests from other regions to a server that leaves."""
    assert not _announce(lambda _sender, _receiver: False, regions=3)


def test_departure_is_announced_again_after_a_lost_message() -> None:
    """Guard against a daemon that never hears of the single datagram."""
    assert not _announce(lambda _sender, receiver: receiver == 'n4', regions=1)
