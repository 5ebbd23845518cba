"""Tests the check of a selected server right before a request is sent.

Between selection and sending, a connection is opened or the process is
suspended; meanwhile the server may leave and the token may expire.
"""

from collections.abc import Callable
from contextlib import ExitStack
from random import Random

import pytest
from attrs import evolve

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.cold_starts import (
    confirm_list,
    has_cold_capacity,
    record_send,
    reserved_send,
)
from geraniumshelf_core.placement.commands import (
    put_server,
    remove_server,
    set_evacuated,
)
from geraniumshelf_core.placement.estimates import typical_work
from geraniumshelf_core.placement.state import Candidate, PlacementState
from geraniumshelf_core.shares.quotas import (
    AccountQuotas,
    divide_quotas,
    take_token,
)
from geraniumshelf_core.shares.retries import RetryShares
from geraniumshelf_core.site.model import (
    Destination,
    ListedServer,
    Repeatability,
    SiteAccount,
    SiteRoute,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS
from geraniumshelf_daemon.edge.interface import CallerFields
from geraniumshelf_daemon.edge.routed_request import RoutedRequest
from geraniumshelf_daemon.edge.server_selection import ServerSelector
from geraniumshelf_daemon.edge.state import EdgeState, RequestProgress
from geraniumshelf_daemon.upstream.progress import AttemptFailed

_START = 100 * SECOND_NS
_SERVER = ListedServer('s1', 'desk', '10.0.0.1:1', 'a1', 2, started_at_ms=1)
_ACCOUNT = SiteAccount('shop', ('key',), rate=2, burst=1)
_ROUTE = SiteRoute(
    name='sale',
    prefix='/sale/',
    repeatability=Repeatability.AT_MOST_ONCE,
    timeout=20 * SECOND_NS,
    target_latency=SECOND_NS,
    max_attempts=2,
    priority=1,
    destinations=(Destination('desk', 1),),
    regions=None,
    is_open=False,
    has_affinity=True,
)


class _SelectedRequest:
    """A request that got a token and a server at ``_START``."""

    def __init__(self) -> None:
        self.now = _START
        placement = PlacementState(Place('a1', 'a'), {'a1': 'a'})
        confirm_list(placement, _START + 3600 * SECOND_NS)
        quotas = AccountQuotas(0, 0, 5, started_at=_START)
        divide_quotas(quotas, (_ACCOUNT,), 1, _START)
        self.state = EdgeState(placement, quotas, RetryShares(0, 0, 1))
        put_server(placement, _SERVER, _START)
        self.view = placement.servers['s1']
        self.progress = RequestProgress()
        self._selector = ServerSelector(self.state, lambda: self.now, Random(1))

    def has_capacity(self) -> bool:
        """Return whether a cold server may be chosen now."""
        return has_cold_capacity(self.state.placement, self.view, self.now)

    def send(self) -> None:
        """Check and send a request whose connection is open."""
        with reserved_send(self.view):
            self.confirm(self.now)
        record_send(self.view, self.now)

    def max_silence_s(self, speed: float) -> float | None:
        """Return how long to wait for a server that has a speed."""
        route = evolve(_ROUTE, target_latency=0)
        candidate = Candidate(self.view, 0, SECOND_NS, 0, speed=speed)
        request = evolve(_make_request(), route=route)
        return self._selector.cap_wait(
            request, candidate, self.now, self.progress
        )()

    def confirm(self, chosen_at: int = _START) -> None:
        """Check token and server as a daemon does before it sends a request."""
        candidate = Candidate(self.view, 0, SECOND_NS, 0)
        self._selector.confirm(
            _make_request(), candidate, self.progress, chosen_at
        )


def _make_request() -> RoutedRequest:
    return RoutedRequest(
        _ROUTE,
        _ACCOUNT,
        CallerFields('id', 'key', 'object', None),
        'desk',
        'object',
        None,
        _START,
        _START + _ROUTE.timeout,
    )


def _drain(selected: _SelectedRequest) -> None:
    draining = evolve(_SERVER, is_draining=True)
    put_server(selected.state.placement, draining, selected.now)


def _remove(selected: _SelectedRequest) -> None:
    remove_server(selected.state.placement, 's1')


def _restart(selected: _SelectedRequest) -> None:
    restarted = evolve(_SERVER, started_at_ms=2)
    put_server(selected.state.placement, restarted, selected.now)


def _evacuate(selected: _SelectedRequest) -> None:
    zones = frozenset(('a1',))
    set_evacuated(selected.state.placement, zones, selected.now, 0)


def test_permission_that_still_holds_is_used() -> None:
    """Guard against refusals because a connection takes 300 ms to open."""
    selected = _SelectedRequest()
    selected.now += 300 * MILLISECOND_NS
    selected.confirm()


def test_server_that_is_known_to_be_slow_is_not_taken_for_silent() -> None:
    """Guard against lost work and an ejection for a slow phase.

    The work of an abandoned attempt is done in vain.
    """
    selected = _SelectedRequest()
    typical = typical_work(selected.state.placement, 'desk').cold
    usual = selected.max_silence_s(1)
    assert usual == pytest.approx(2 * typical / SECOND_NS)
    assert selected.max_silence_s(2.5) == pytest.approx(2.5 * usual)
    assert selected.max_silence_s(0.5) == usual


@pytest.mark.parametrize('change', [_drain, _remove, _restart, _evacuate])
def test_server_that_left_meanwhile_gets_no_request(
    change: Callable[[_SelectedRequest], None],
) -> None:
    """Guard against a request to a server that left while it connected.

    The store may report the change while the connection opens.
    """
    selected = _SelectedRequest()
    change(selected)
    with pytest.raises(AttemptFailed) as caught:
        selected.confirm()
    assert caught.value.ran is Ran.NOT_RUN
    assert not caught.value.is_server_failure


def test_pause_does_not_carry_requests_to_a_cold_server() -> None:
    """Guard against the overload of a cold server after a suspension.

    The waiting requests of a suspended daemon would all arrive in the same
    second.
    """
    selected = _SelectedRequest()
    selected.view.cold_until = _START + 60 * SECOND_NS
    selected.state.placement.cold_rate_per_share['desk'] = 3
    selected.now += 3 * SECOND_NS
    selected.progress.attempts = 1
    for _ in range(3):
        selected.send()
    with pytest.raises(AttemptFailed):
        selected.send()


def test_slow_connections_carry_no_extra_requests_to_a_cold_server() -> None:
    """Guard against two shares in one second when connections open slowly.

    A request reaches the server when its connection is open, not when the
    server is chosen.
    """
    selected = _SelectedRequest()
    selected.view.cold_until = _START + 60 * SECOND_NS
    selected.state.placement.cold_rate_per_share['desk'] = 3
    selected.progress.attempts = 1
    with ExitStack() as connecting:
        for _ in range(3):
            assert selected.has_capacity()
            connecting.enter_context(reserved_send(selected.view))
        assert not selected.has_capacity()
        selected.now += 300 * MILLISECOND_NS
    for _ in range(3):
        selected.send()
    selected.now += 800 * MILLISECOND_NS
    assert not selected.has_capacity()
    selected.now += 300 * MILLISECOND_NS
    assert selected.has_capacity()


@pytest.mark.parametrize('pause_s', [3, 10])
def test_token_from_before_a_pause_is_not_used(pause_s: int) -> None:
    """Guard against requests beyond the rate after a suspension.

    The bucket refills during the pause, so the request would be sent with the
    earlier token and another one with the refilled token.
    """
    selected = _SelectedRequest()
    selected.now += pause_s * SECOND_NS
    selected.confirm()
    with pytest.raises(RequestRefused) as caught:
        selected.confirm()
    assert caught.value.code is ResultCode.RATE_EXCEEDED


def test_token_outlasts_servers_that_accept_no_connection() -> None:
    """Guard against the refusal of a request that has a token.

    It was refused after it had tried several servers for a while.
    """
    selected = _SelectedRequest()
    selected.now += 3 * SECOND_NS
    assert take_token(selected.state.quotas, 'shop', selected.now)
    selected.confirm(selected.now - 300 * MILLISECOND_NS)
