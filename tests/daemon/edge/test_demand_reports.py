"""Tests of the exchange of demand between daemons, without a network."""

from random import Random

import cbor2
import pytest
from attrs import define, evolve, field

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.placement.demand import (
    DemandReport,
    count_request,
    demand_by_region,
)
from geraniumshelf_core.placement.spills import plan_spills
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.policies import Policies
from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.demand_reports import DemandReports
from geraniumshelf_daemon.edge.messages import decode_message
from geraniumshelf_daemon.observability.metrics import install_metrics
from geraniumshelf_daemon.observability.prometheus import PrometheusMetrics

_REGIONS = {'a1': 'a', 'b1': 'b', 'c1': 'c'}
_ZONES = tuple(_REGIONS)
_INTERVAL_NS = SECOND_NS // 2
_OWN = PresenceHeartbeat('n0', 1, 1, 'a1', 'n0', '', is_ready=True)


class _Port(DatagramPort):
    def __init__(self) -> None:
        super().__init__(0)
        self.sent: list[tuple[str, bytes]] = []

    def send_encoded(self, ip: str, datagram: bytes) -> None:
        self.sent.append((ip, datagram))


@define(eq=False, slots=False)
class _Node:
    """The daemon ``n0`` of a fleet, the other daemons as it hears them."""

    instances: int = 30
    entries: int = 6
    policies: Policies = field(factory=Policies)
    now: Nanoseconds = 100 * SECOND_NS
    own: PresenceHeartbeat = _OWN

    def __attrs_post_init__(self) -> None:
        self.placement = PlacementState(
            Place('a1', 'a'), _REGIONS, policies=self.policies
        )
        plan_spills(self.placement)
        self.presence = PresenceState('n0')
        for number in range(1, self.instances):
            name = f'n{number}'
            heartbeat = PresenceHeartbeat(
                name,
                1,
                1,
                _ZONES[number % 3],
                name,
                '',
                is_ready=number < self.entries,
                is_standby=number >= self.entries,
            )
            self.presence.peers[name] = PeerPresence(heartbeat, self.now)
            self.presence.heartbeat_targets[name] = name
        self.port = _Port()
        self.reports = DemandReports(
            self.placement,
            self.presence,
            self.port,
            lambda: self.own,
            lambda: self.now,
            Random(1),
        )

    def step(self, requests: int) -> None:
        """Let an interval pass in which callers send requests."""
        for _ in range(requests):
            count_request(self.placement.demand, 'desk')
        self.now += _INTERVAL_NS
        self.reports.step(self.now)

    def demand(self) -> dict[str, float]:
        """Return the demand that the daemon knows."""
        return demand_by_region(self.placement.demand, 'desk', self.now)


def _report(sender: str, zone: str, rate: float) -> DemandReport:
    return DemandReport(sender, zone, 1, {'desk': rate}, {})


def test_entry_reports_its_demand_to_all_ready_daemons() -> None:
    """Guard against regions that are not heard, and datagrams to standbys."""
    node = _Node()
    for _ in range(4):
        node.port.sent.clear()
        node.step(50)
    assert [ip for ip, _ in node.port.sent] == ['n1', 'n2', 'n3', 'n4', 'n5']
    report = decode_message(node.port.sent[0][1])
    assert isinstance(report, DemandReport)
    assert report.sender == 'n0'
    assert report.zone == 'a1'
    assert report.rates['desk'] == pytest.approx(100)
    assert node.demand() == {'a': pytest.approx(100)}
    assert node.placement.demand.entry_regions == {'a', 'b', 'c'}


def test_index_of_the_message_is_fixed() -> None:
    """Guard against an index that daemons of another version use otherwise."""
    node = _Node()
    node.step(1)
    assert cbor2.loads(node.port.sent[0][1])[:2] == [6, 12]


def test_index_without_a_message_is_ignored() -> None:
    """Guard against an error on a message of another version."""
    assert decode_message(cbor2.dumps((6, 11, 'n1'))) is None


def test_reports_of_all_entries_are_summed_by_region() -> None:
    """Guard against a region that looks as small as one of its entries."""
    node = _Node()
    metrics = PrometheusMetrics()
    install_metrics(metrics)
    for _ in range(4):
        node.step(50)
    node.reports.receive(_report('n3', 'a1', 20))
    node.reports.receive(_report('n1', 'b1', 30))
    node.reports.receive(_report('n4', 'b1', 40))
    install_metrics(None)
    assert node.demand() == {'a': pytest.approx(120), 'b': 70}
    assert 'demand_reports_received_total 3' in metrics.render()


def test_reports_of_strangers_are_ignored() -> None:
    """Guard against a zone that the settings lack, and an echo."""
    node = _Node()
    node.reports.receive(_report('n9', 'elsewhere', 20))
    node.reports.receive(_report('n0', 'b1', 20))
    assert node.demand() == {}


@pytest.mark.parametrize(
    'node',
    [
        _Node(instances=9),
        _Node(policies=Policies(plans_by_demand=False)),
    ],
    ids=['small fleet', 'disabled'],
)
def test_nothing_is_exchanged(node: _Node) -> None:
    """Guard against a change of plan where the plan by slots has to apply."""
    for _ in range(4):
        node.step(50)
        node.reports.receive(_report('n1', 'b1', 20))
    assert not node.port.sent
    assert node.demand() == {}


def test_daemon_that_is_not_ready_sends_nothing() -> None:
    """Guard against demand that is counted for a daemon without callers."""
    node = _Node()
    node.own = evolve(node.own, is_ready=False, is_standby=True)
    node.step(1)
    assert not node.port.sent


def test_region_without_reports_is_not_known() -> None:
    """Guard against a lost entry that counts on for ever."""
    node = _Node()
    node.reports.receive(_report('n1', 'b1', 30))
    for _ in range(5):
        node.step(50)
    assert set(node.demand()) == {'a'}
