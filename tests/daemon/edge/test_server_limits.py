"""Tests of daemons that share the limit that a server has named."""

import pytest
from tests.daemon.edge.limit_harness import LimitFleet

from geraniumshelf_core.placement.commands import remove_server
from geraniumshelf_core.placement.limited_servers import is_limited
from geraniumshelf_core.placement.server_limits import (
    NamedLimit,
    NoLimit,
    UnreadableLimit,
)
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.observability.events import (
    Event,
    install_recorder,
)
from geraniumshelf_daemon.observability.metrics import install_metrics
from geraniumshelf_daemon.observability.prometheus import PrometheusMetrics

_SERVERS = 6
# The limit binds this long after a server has named it.
_CONTACT_NS = 4 * SECOND_NS
_BEGIN_NS = 2 * SECOND_NS
_END_NS = 22 * SECOND_NS


def _allowed(rate: float) -> float:
    return 1.5 * rate * 4 + 5


def _run_limited(
    fleet: LimitFleet, rate: float, per_s: float, server: str = 's0'
) -> None:
    """Run requests of all daemons; a server names a limit from 2 to 22 s."""
    for name in fleet.nodes:
        fleet.send_requests(name, per_s)
    fleet.run_until(_BEGIN_NS)
    fleet.servers[server].rate = rate
    fleet.run_until(_END_NS)


def _used(fleet: LimitFleet, rate: float, server: str = 's0') -> float:
    begin = _BEGIN_NS + _CONTACT_NS
    count = fleet.count_between(server, begin, _END_NS)
    return count * SECOND_NS / (rate * (_END_NS - begin))


def _limited_nodes(fleet: LimitFleet) -> set[str]:
    return {
        name
        for name, node in fleet.nodes.items()
        if is_limited(node.placement.servers['s0'])
    }


@pytest.mark.parametrize('daemons', [1, 3, 9, 65])
@pytest.mark.parametrize('rate', [0.5, 5.6, 9, 30])
@pytest.mark.parametrize('regions', [1, 3])
def test_server_gets_about_the_rate_that_it_names(
    daemons: int, rate: float, regions: int
) -> None:
    """Guard against too many requests, and against none at all.

    Callers whom other servers can serve must not be refused meanwhile.
    """
    fleet = LimitFleet(daemons, _SERVERS, regions)
    _run_limited(fleet, rate, 270 / daemons)
    received = fleet.max_in_window('s0', _BEGIN_NS + _CONTACT_NS, _END_NS)
    assert received <= _allowed(rate)
    assert _used(fleet, rate) >= 0.6
    assert not fleet.refused


def test_daemons_that_need_a_server_get_the_permits_of_the_others() -> None:
    """Guard against an even division among daemons without requests."""
    fleet = LimitFleet(9, _SERVERS)
    for name in ('n0', 'n1'):
        fleet.send_requests(name, 100)
    fleet.run_until(_BEGIN_NS)
    fleet.servers['s0'].rate = 9
    fleet.run_until(_END_NS)
    assert _used(fleet, 9) >= 0.7
    received = fleet.max_in_window('s0', _BEGIN_NS + _CONTACT_NS, _END_NS)
    assert received <= _allowed(9)


def test_daemons_without_requests_for_a_server_hear_of_its_limit() -> None:
    """Guard against the full rate from a daemon that had not used the server.

    It hears of the limit although the first message to it is lost.
    """
    fleet = LimitFleet(9, _SERVERS)
    fleet.is_lost = lambda _sender, receiver: receiver == 'n8'
    fleet.send_requests('n0', 50)
    fleet.run_until(_BEGIN_NS)
    fleet.servers['s0'].rate = 5
    fleet.run_until(_BEGIN_NS + SECOND_NS // 2)
    assert len(_limited_nodes(fleet)) == 8
    fleet.is_lost = lambda _sender, _receiver: False
    fleet.run_until(_BEGIN_NS + 3 * SECOND_NS)
    assert len(_limited_nodes(fleet)) == 9


@pytest.mark.parametrize('seed', range(5))
def test_end_of_a_limit_reaches_all_daemons(seed: int) -> None:
    """Guard against a server that gets few requests for ever.

    Most daemons have no permit, so no response tells them of the end. Two are
    cut off when it comes.
    """
    fleet = LimitFleet(9, _SERVERS, seed=seed)
    _run_limited(fleet, 2, 30)
    fleet.servers['s0'].rate = None
    cut = {'n7', 'n8'}
    fleet.is_lost = lambda sender, receiver: (
        (sender in cut) != (receiver in cut)
    )
    fleet.run_until(_END_NS + 3 * SECOND_NS)
    fleet.is_lost = lambda _sender, _receiver: False
    fleet.run_until(_END_NS + 8 * SECOND_NS)
    assert not _limited_nodes(fleet)
    count = fleet.count_between(
        's0', _END_NS + 3 * SECOND_NS, _END_NS + 8 * SECOND_NS
    )
    assert count > 100


@pytest.mark.parametrize('seed', range(5))
def test_owner_that_fails_stops_no_requests_to_the_server(seed: int) -> None:
    """Guard against a server that gets nothing, or all, without its owner."""
    fleet = LimitFleet(9, _SERVERS, seed=seed)
    _run_limited(fleet, 9, 30)
    owners = fleet.nodes['n0'].permits._owners.granters_of('s0')
    assert owners is not None
    fleet.frozen = {owners.owner}
    fleet.run_until(_END_NS + 10 * SECOND_NS)
    frozen_s = 10
    received = fleet.count_between('s0', _END_NS, fleet.now)
    assert received >= 0.5 * 9 * frozen_s
    fleet.frozen = set()
    fleet.run_until(_END_NS + 20 * SECOND_NS)
    most = fleet.max_in_window('s0', _BEGIN_NS + _CONTACT_NS, fleet.now)
    assert most <= _allowed(9)


@pytest.mark.parametrize('seed', range(5))
def test_daemons_on_both_sides_of_a_cut_keep_the_limit(seed: int) -> None:
    """Guard against the whole rate on each side of a cut."""
    fleet = LimitFleet(9, _SERVERS, seed=seed)
    side = {'n0', 'n1', 'n2', 'n3'}
    _run_limited(fleet, 9, 30)
    fleet.is_lost = lambda sender, receiver: (
        (sender in side) != (receiver in side)
    )
    fleet.run_until(_END_NS + 10 * SECOND_NS)
    fleet.is_lost = lambda _sender, _receiver: False
    fleet.run_until(_END_NS + 18 * SECOND_NS)
    most = fleet.max_in_window('s0', _BEGIN_NS + _CONTACT_NS, fleet.now)
    assert most <= _allowed(9)
    assert fleet.count_between('s0', _END_NS, fleet.now) >= 0.6 * 9 * 18


@pytest.mark.parametrize('seed', range(5))
def test_restarted_daemons_learn_the_limit_from_the_others(seed: int) -> None:
    """Guard against the full rate from daemons that know nothing of before."""
    fleet = LimitFleet(9, _SERVERS, seed=seed)
    _run_limited(fleet, 9, 30)
    for number in range(9):
        fleet.start_node(f'n{number}')
        fleet.run_until(fleet.now + SECOND_NS)
    fleet.run_until(fleet.now + 2 * SECOND_NS)
    assert len(_limited_nodes(fleet)) == 9
    most = fleet.max_in_window('s0', _BEGIN_NS + _CONTACT_NS, fleet.now)
    assert most <= _allowed(9)


@pytest.mark.parametrize('seed', range(3))
def test_third_of_the_servers_may_name_limits_at_once(seed: int) -> None:
    """Guard against refused callers and servers that get each other's part."""
    fleet = LimitFleet(9, _SERVERS, regions=3, seed=seed)
    limited = {'s0': 5.6, 's1': 9}
    for name in fleet.nodes:
        fleet.send_requests(name, 30)
    fleet.run_until(_BEGIN_NS)
    for name, rate in limited.items():
        fleet.servers[name].rate = rate
    fleet.run_until(_END_NS)
    for name, rate in limited.items():
        most = fleet.max_in_window(name, _BEGIN_NS + _CONTACT_NS, _END_NS)
        assert most <= _allowed(rate)
        assert _used(fleet, rate, name) >= 0.6
    assert not fleet.refused


def test_lower_limit_binds_all_daemons_and_a_higher_one_frees_them() -> None:
    """Guard against daemons that keep the first value."""
    fleet = LimitFleet(9, _SERVERS)
    _run_limited(fleet, 30, 30)
    fleet.servers['s0'].rate = 5
    fleet.run_until(_END_NS + 20 * SECOND_NS)
    most = fleet.max_in_window('s0', _END_NS + _CONTACT_NS, fleet.now)
    assert most <= _allowed(5)
    fleet.servers['s0'].rate = 30
    begin = fleet.now + 2 * SECOND_NS
    fleet.run_until(begin + 5 * SECOND_NS)
    assert fleet.count_between('s0', begin, fleet.now) >= 0.6 * 30 * 5


def test_region_of_limited_servers_moves_objects_as_if_they_had_left() -> None:
    """Guard against a crowded region beside others with room.

    Half of the servers of a region name limits; the slots of its other servers
    are too few for its objects.
    """
    fleet = LimitFleet(6, 12, regions=3)
    for server in ('s0', 's3'):
        for node in fleet.nodes.values():
            view = node.placement.servers[server]
            node.limits.record(view, NamedLimit(1), fleet.clock())
    spills = {
        node.placement.place.region: node.placement.spills['desk']
        for node in fleet.nodes.values()
    }
    assert spills['r0'].base_fraction > 0.3
    assert spills['r1'].base_fraction == 0
    for server in ('s0', 's3'):
        for node in fleet.nodes.values():
            view = node.placement.servers[server]
            node.limits.record(view, NoLimit(), fleet.clock())
    assert spills['r0'].base_fraction == 0


def test_rejections_and_health_responses_end_no_limit() -> None:
    """Guard against a limit that ends while the server is in need."""
    fleet = LimitFleet(1, 1)
    node = fleet.nodes['n0']
    view = node.placement.servers['s0']
    node.limits.record(view, NamedLimit(5), fleet.clock(), is_run=False)
    assert is_limited(view)
    node.limits.record(view, NoLimit(), fleet.clock(), is_run=False)
    assert is_limited(view)
    node.limits.record(view, NoLimit(), fleet.clock())
    assert not is_limited(view)


def test_limit_of_a_server_that_is_gone_is_not_repeated() -> None:
    """Guard against messages about a server for ever."""
    fleet = LimitFleet(2, 1)
    node = fleet.nodes['n0']
    view = node.placement.servers['s0']
    node.limits.record(view, NamedLimit(5), fleet.clock())
    fleet.run_until(SECOND_NS)
    for other in fleet.nodes.values():
        remove_server(other.placement, 's0')
    fleet.run_until(2 * SECOND_NS)
    sent: list[tuple[str, str]] = []
    fleet.is_lost = lambda sender, receiver: bool(
        sent.append((sender, receiver))
    )
    for other in fleet.nodes.values():
        other.limits.step(fleet.clock() + 60 * SECOND_NS)
    assert not sent


class _Recorder:
    def __init__(self) -> None:
        self.events: list[tuple[Event, str]] = []

    def record(self, event: Event, detail: str, _fields: object) -> None:
        self.events.append((event, detail))


def test_odd_limit_is_logged_once_and_counted_each_time() -> None:
    """Guard against a broken server that fills the log, or is not noticed."""
    fleet = LimitFleet(1, 1)
    recorder, metrics = _Recorder(), PrometheusMetrics()
    install_recorder(recorder)
    install_metrics(metrics)
    try:
        node = fleet.nodes['n0']
        view = node.placement.servers['s0']
        for _ in range(3):
            node.limits.record(view, UnreadableLimit('many'), fleet.clock())
        node.limits.record(view, NamedLimit(5), fleet.clock())
        node.limits.record(view, UnreadableLimit('many'), fleet.clock())
        assert is_limited(view)
        node.limits.record(view, NoLimit(), fleet.clock())
        node.limits.step(fleet.clock())
    finally:
        install_recorder(None)
        install_metrics(None)
    assert recorder.events == [
        (Event.LIMIT_UNREADABLE, 'many'),
        (Event.BACKEND_LIMITED, 's0'),
        (Event.BACKEND_UNLIMITED, 's0'),
    ]
    assert 'limits_unreadable_total 4' in metrics.render()
