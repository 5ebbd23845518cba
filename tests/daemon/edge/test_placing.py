"""Guards permissions that run out between a decision and its use."""

from collections.abc import Callable
from random import Random

import pytest
from attrs import evolve

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.commands import (
    put_server,
    remove_server,
    set_evacuated,
)
from geraniumshelf_core.placement.state import Candidate, PlacementState
from geraniumshelf_core.shares.quotas import Quotas, divide_quotas, take_token
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
from geraniumshelf_daemon.edge.placing import Placer
from geraniumshelf_daemon.edge.routed_request import RoutedRequest
from geraniumshelf_daemon.edge.state import RelayState, RequestProgress
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


class _Scene:
    """A request that was given a token and a server at ``_START``."""

    def __init__(self) -> None:
        self.now = _START
        placement = PlacementState(Place('a1', 'a'), {'a1': 'a'})
        quotas = Quotas(0, 0, 5, started_at=_START)
        divide_quotas(quotas, (_ACCOUNT,), 1, _START)
        self.state = RelayState(placement, quotas, RetryShares(0, 0, 1))
        put_server(placement, _SERVER, _START)
        self.view = placement.servers['s1']
        self.progress = RequestProgress()
        self._placer = Placer(self.state, lambda: self.now, Random(1))

    def confirm(self, chosen_at: int = _START) -> None:
        """Check the permission as a daemon does before it sends."""
        order = RoutedRequest(
            _ROUTE,
            _ACCOUNT,
            CallerFields('id', 'key', 'object', None),
            'desk',
            'object',
            None,
            _START,
            _START + _ROUTE.timeout,
        )
        choice = Candidate(self.view, 0, SECOND_NS, 0)
        self._placer.confirm(order, choice, self.progress, chosen_at)


def _drain(scene: _Scene) -> None:
    leaving = evolve(_SERVER, is_draining=True)
    put_server(scene.state.placement, leaving, scene.now)


def _remove(scene: _Scene) -> None:
    remove_server(scene.state.placement, 's1')


def _restart(scene: _Scene) -> None:
    again = evolve(_SERVER, started_at_ms=2)
    put_server(scene.state.placement, again, scene.now)


def _evacuate(scene: _Scene) -> None:
    zones = frozenset(('a1',))
    set_evacuated(scene.state.placement, zones, scene.now, 0)


def test_permission_that_still_holds_is_used() -> None:
    """Each connection that opens takes some milliseconds."""
    scene = _Scene()
    scene.now += 300 * MILLISECOND_NS
    scene.confirm()


@pytest.mark.parametrize('change', [_drain, _remove, _restart, _evacuate])
def test_server_that_left_meanwhile_gets_no_request(
    change: Callable[[_Scene], None],
) -> None:
    """The store's answer may arrive while the connection opens."""
    scene = _Scene()
    change(scene)
    with pytest.raises(AttemptFailed) as caught:
        scene.confirm()
    assert caught.value.ran is Ran.NOT_RUN
    assert not caught.value.is_failure


def test_pause_does_not_carry_requests_to_a_cold_server() -> None:
    """Requests that were frozen on the way all arrive in one second."""
    scene = _Scene()
    scene.view.cold_until = _START + 60 * SECOND_NS
    scene.state.placement.cold_rate_per_share['desk'] = 3
    scene.now += 3 * SECOND_NS
    scene.progress.attempts = 1
    for _ in range(3):
        scene.confirm()
    with pytest.raises(AttemptFailed):
        scene.confirm()


@pytest.mark.parametrize('pause_s', [3, 10])
def test_token_from_before_a_pause_is_not_used(pause_s: int) -> None:
    """The bucket has filled meanwhile, so both tokens would be spent."""
    scene = _Scene()
    scene.now += pause_s * SECOND_NS
    scene.confirm()
    with pytest.raises(RequestRefused) as caught:
        scene.confirm()
    assert caught.value.code is ResultCode.RATE_EXCEEDED


def test_token_outlasts_servers_that_accept_no_connection() -> None:
    """A request that tried several was refused although it had a token."""
    scene = _Scene()
    scene.now += 3 * SECOND_NS
    assert take_token(scene.state.quotas, 'shop', scene.now)
    scene.confirm(scene.now - 300 * MILLISECOND_NS)
