"""Tests of the effect of server notices on placement and admission."""

from geraniumshelf_core.admission.verdict import Rejected, decide_admission
from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.placement.cold_starts import confirm_list
from geraniumshelf_core.placement.commands import (
    put_server,
    rebuild_usable,
    remove_server,
)
from geraniumshelf_core.placement.notices import (
    DepartureNotice,
    is_paused,
    read_pause,
    record_departure,
    record_pause,
)
from geraniumshelf_core.placement.queries import (
    choose_server,
    is_still_eligible,
    time_until_available,
)
from geraniumshelf_core.placement.state import PlacementRequest, PlacementState
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import SECOND_NS

_NOW = 100 * SECOND_NS
_REQUEST = PlacementRequest('desk', 'x')


def _state(*names: str) -> PlacementState:
    state = PlacementState(Place('a1', 'a'), {'a1': 'a'})
    confirm_list(state, _NOW + 3600 * SECOND_NS)
    for name in names:
        server = ListedServer(name, 'desk', 'h:1', 'a1', 2, started_at_ms=1)
        put_server(state, server, _NOW)
    return state


def test_departure_survives_a_new_view_but_not_a_restart() -> None:
    """The entry of a leaving server may expire and be listed again.

    Its departure must still be known, but not after a restart.
    """
    state = _state('s1')
    assert record_departure(state, DepartureNotice('s1', 1))
    assert not record_departure(state, DepartureNotice('s1', 1))
    rebuild_usable(state)
    assert choose_server(state, _REQUEST, _NOW) is None
    remove_server(state, 's1')
    put_server(
        state, ListedServer('s1', 'desk', 'h:1', 'a1', 2, started_at_ms=1), _NOW
    )
    assert choose_server(state, _REQUEST, _NOW) is None
    put_server(
        state, ListedServer('s1', 'desk', 'h:1', 'a1', 2, started_at_ms=2), _NOW
    )
    assert choose_server(state, _REQUEST, _NOW) is not None


def test_departure_of_a_server_that_runs_long_is_not_lost() -> None:
    """Notices of 1,000 later starts evicted that of a listed server.

    The server was then used although it had announced its departure.
    """
    state = _state('s1')
    for start in range(2, 1100):
        server = ListedServer('s2', 'desk', 'h:2', 'a1', 2, started_at_ms=start)
        put_server(state, server, _NOW)
    remove_server(state, 's2')
    assert record_departure(state, DepartureNotice('s1', 1))
    rebuild_usable(state)
    assert choose_server(state, _REQUEST, _NOW) is None
    assert len(state.notices) <= 1000


def test_pause_binds_choice_and_sending_until_its_end() -> None:
    """Another response may request a pause while a connection is opened."""
    state = _state('s1')
    candidate = choose_server(state, _REQUEST, _NOW)
    assert candidate is not None
    record_pause(candidate.view, 2 * SECOND_NS, _NOW)
    record_pause(candidate.view, SECOND_NS, _NOW)
    assert is_paused(candidate.view, _NOW + 2 * SECOND_NS - 1)
    assert not is_still_eligible(state, candidate.view, _NOW)
    assert choose_server(state, _REQUEST, _NOW + SECOND_NS) is None
    assert choose_server(state, _REQUEST, _NOW + 2 * SECOND_NS) is not None


def test_retry_time_is_the_first_end_of_a_pause() -> None:
    """Callers that retry earlier would be rejected again."""
    state = _state('s1', 's2')
    record_pause(state.servers['s1'], 4 * SECOND_NS, _NOW)
    record_pause(state.servers['s2'], 9 * SECOND_NS, _NOW)
    available_in = time_until_available(state, _REQUEST, _NOW)
    assert available_in == 4 * SECOND_NS
    for jitter in (0.0, 1.0):
        verdict = decide_admission(
            None, SECOND_NS, SECOND_NS, jitter, available_in
        )
        assert isinstance(verdict, Rejected)
        assert available_in <= verdict.retry_after <= available_in + SECOND_NS


def test_huge_pauses_are_bounded() -> None:
    """A server that requests a pause of a year would not be tried again."""
    assert read_pause('1e30') == read_pause('inf') == 300 * SECOND_NS
    state = _state('s1')
    record_pause(state.servers['s1'], 10**20, _NOW)
    assert not is_paused(state.servers['s1'], _NOW + 301 * SECOND_NS)
