"""Tests of what daemons know of the limits that servers name."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.placement.cold_starts import (
    confirm_list,
    record_send,
    reserved_send,
)
from geraniumshelf_core.placement.commands import put_server, remove_server
from geraniumshelf_core.placement.limited_servers import (
    learn_from_daemon,
    learn_from_response,
    limited_views,
    use_permit,
)
from geraniumshelf_core.placement.queries import (
    choose_server,
    is_crowded,
    preferred_limited_servers,
    time_until_available,
)
from geraniumshelf_core.placement.server_limits import (
    LimitNotice,
    NamedLimit,
    NoLimit,
    ServerLimit,
    UnreadableLimit,
    read_limit,
    record_statement,
)
from geraniumshelf_core.placement.state import PlacementRequest, PlacementState
from geraniumshelf_core.shares.permits import PermitGrant, record_grant
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_NOW = 100 * SECOND_NS
_REQUEST = PlacementRequest('desk', 'x')


def _state(*names: str, slots: int = 4, cold: bool = False) -> PlacementState:
    state = PlacementState(Place('a1', 'a'), {'a1': 'a'})
    confirm_list(state, _NOW + 3600 * SECOND_NS)
    for name in names:
        server = ListedServer(name, 'desk', 'h:1', 'a1', slots, started_at_ms=1)
        cold_time = 10 * SECOND_NS if cold else 0
        put_server(state, server, _NOW, cold_time=cold_time)
    return state


def _limit(state: PlacementState, name: str, rate: float) -> None:
    view = state.servers[name]
    learn_from_response(state, view, NamedLimit(rate), _NOW, _NOW)


def _grant(state: PlacementState, name: str, permits: int) -> None:
    record_grant(
        state.servers[name].notice.permits,
        PermitGrant('n1', _NOW, name, 1, permits, 0),
        _NOW,
        is_from_owner=True,
    )


@pytest.mark.parametrize(
    ('text', 'rate'),
    [('9', 9), ('0.5', 0.5), ('5.', 5), ('.5', 0.5), (' 8.4 ', 8.4), ('0', 0)],
)
def test_decimal_numbers_are_limits(text: str, rate: float) -> None:
    """A limit that is not read is exceeded."""
    assert read_limit([text]) == NamedLimit(rate)
    assert read_limit([text, text]) == NamedLimit(rate)


@pytest.mark.parametrize(
    'texts',
    [
        ['-1'],
        ['nan'],
        ['inf'],
        ['1e400'],
        ['1e2'],
        ['5, 6'],
        ['5', '6'],
        [''],
        ['many'],
        ['9' * 5000],
        ['\u0669'],
        ['1_000'],
        ['+5'],
        ['.'],
    ],
)
def test_odd_values_neither_set_nor_end_a_limit(texts: list[str]) -> None:
    """A server in need must not lose its limit to a broken header."""
    statement = read_limit(texts)
    assert isinstance(statement, UnreadableLimit)
    assert len(statement.text) <= 40
    limit = ServerLimit(rate=5, version=1)
    assert not record_statement(limit, statement, _NOW, _NOW)
    assert limit.rate == 5


@given(st.lists(st.text(max_size=20), max_size=3))
def test_no_header_is_an_error(texts: list[str]) -> None:
    """An unexpected value must not fail the request."""
    statement = read_limit(texts)
    if isinstance(statement, NamedLimit):
        assert 0 <= statement.rate < 10**9


def test_response_that_comes_late_does_not_end_a_limit() -> None:
    """Guard against an end that the server has not announced.

    The request was sent before the limit was named, and its response arrives
    after one that names it.
    """
    limit = ServerLimit()
    assert record_statement(limit, NamedLimit(5), _NOW, _NOW + 20)
    assert not record_statement(limit, NoLimit(), _NOW + 10, _NOW + 30)
    assert limit.rate == 5
    assert not record_statement(limit, NamedLimit(9), _NOW + 10, _NOW + 30)
    assert limit.rate == 5
    assert record_statement(limit, NamedLimit(3), _NOW + 10, _NOW + 30)
    assert record_statement(limit, NoLimit(), _NOW + 31, _NOW + 40)
    assert limit.rate is None


def test_notice_that_comes_late_does_not_replace_a_newer_one() -> None:
    """Datagrams may arrive in another order than they were sent in."""
    state = _state('s1')
    assert learn_from_daemon(state, LimitNotice('s1', 1, 5, 3), _NOW)
    assert not learn_from_daemon(state, LimitNotice('s1', 1, None, 2), _NOW)
    assert not learn_from_daemon(state, LimitNotice('s1', 1, 9, 3), _NOW)
    assert learn_from_daemon(state, LimitNotice('s1', 1, 4, 3), _NOW)
    assert learn_from_daemon(state, LimitNotice('s1', 1, None, 4), _NOW)
    assert not limited_views(state)


@pytest.mark.parametrize('rate', [float('nan'), float('inf'), -1.0])
def test_notice_without_a_valid_rate_is_ignored(rate: float) -> None:
    """Another daemon could otherwise stop the use of a server."""
    state = _state('s1')
    assert not learn_from_daemon(state, LimitNotice('s1', 1, rate, 9), _NOW)


def test_limit_survives_a_new_view_but_not_a_restart() -> None:
    """The entry of a limited server may expire and be listed again."""
    state = _state('s1')
    _limit(state, 's1', 5)
    remove_server(state, 's1')
    entry = ListedServer('s1', 'desk', 'h:1', 'a1', 4, started_at_ms=1)
    put_server(state, entry, _NOW)
    assert limited_views(state)
    assert choose_server(state, _REQUEST, _NOW) is None
    restarted = ListedServer('s1', 'desk', 'h:1', 'a1', 4, started_at_ms=2)
    put_server(state, restarted, _NOW)
    assert not limited_views(state)
    assert choose_server(state, _REQUEST, _NOW) is not None


def test_limited_server_gets_one_request_for_each_permit() -> None:
    """Requests whose connection is being opened count, too."""
    state = _state('s1')
    _limit(state, 's1', 5)
    _grant(state, 's1', 1)
    candidate = choose_server(state, _REQUEST, _NOW)
    assert candidate is not None
    with reserved_send(candidate.view):
        assert choose_server(state, _REQUEST, _NOW) is None
    assert use_permit(candidate.view, _NOW)
    assert not use_permit(candidate.view, _NOW)
    assert choose_server(state, _REQUEST, _NOW) is None


def test_permit_does_not_outlast_a_pause_of_the_daemon() -> None:
    """A daemon that was suspended must not send on old permits."""
    state = _state('s1')
    _limit(state, 's1', 5)
    _grant(state, 's1', 3)
    assert not use_permit(state.servers['s1'], _NOW + SECOND_NS)


def test_permits_of_a_higher_limit_are_void() -> None:
    """A server that lowers its limit needs relief now."""
    state = _state('s1')
    _limit(state, 's1', 50)
    _grant(state, 's1', 10)
    _limit(state, 's1', 5)
    assert not use_permit(state.servers['s1'], _NOW)


def test_cold_server_with_a_limit_keeps_both() -> None:
    """A permit is no evidence that a server is not cold."""
    state = _state('s1', cold=True)
    state.cold_rate_per_share['desk'] = 1
    _limit(state, 's1', 50)
    assert choose_server(state, _REQUEST, _NOW) is None
    _grant(state, 's1', 3)
    candidate = choose_server(state, _REQUEST, _NOW)
    assert candidate is not None
    record_send(candidate.view, _NOW)
    assert use_permit(candidate.view, _NOW)
    assert choose_server(state, _REQUEST, _NOW) is None


def test_other_server_serves_what_a_limited_one_may_not() -> None:
    """Callers whom other servers can serve must not be refused."""
    state = _state('s1', 's2')
    _limit(state, 's1', 0)
    for number in range(20):
        request = PlacementRequest('desk', str(number))
        candidate = choose_server(state, request, _NOW)
        assert candidate is not None
        assert candidate.view.server.name == 's2'


def test_permits_are_asked_for_servers_that_a_request_prefers() -> None:
    """Permits for other servers would be taken from daemons in need."""
    state = _state('s1', 's2')
    _limit(state, 's1', 5)
    preferred = {
        view.server.name
        for number in range(20)
        for view in preferred_limited_servers(
            state, PlacementRequest('desk', str(number)), _NOW
        )
    }
    assert preferred == {'s1'}
    assert any(
        not tuple(
            preferred_limited_servers(
                state, PlacementRequest('desk', str(number)), _NOW
            )
        )
        for number in range(20)
    )


def test_refused_caller_hears_when_a_limited_server_may_be_free() -> None:
    """The end of the long pause of another server is no reason to wait."""
    state = _state('s1', 's2')
    _limit(state, 's1', 5)
    state.servers['s2'].notice.paused_until = _NOW + 300 * SECOND_NS
    wait = time_until_available(state, _REQUEST, _NOW)
    assert wait is not None
    assert wait <= SECOND_NS


def test_limited_server_has_no_more_room_than_its_rate() -> None:
    """A region counted as free because of a server that takes nothing."""
    state = _state('s1', 's2')
    view = state.servers['s2']
    view.in_flight = 4
    assert not is_crowded(state, 'desk', 'a', _NOW)
    _limit(state, 's1', 0.5)
    assert is_crowded(state, 'desk', 'a', _NOW)


def test_permit_with_a_time_of_the_future_expires_as_others() -> None:
    """A grant that states a time of the future must not live longer."""
    state = _state('s1')
    _limit(state, 's1', 5)
    record_grant(
        state.servers['s1'].notice.permits,
        PermitGrant('n1', _NOW + 3600 * SECOND_NS, 's1', 1, 2, 0),
        _NOW,
        is_from_owner=True,
    )
    later = _NOW + 600 * MILLISECOND_NS
    assert not use_permit(state.servers['s1'], later)
