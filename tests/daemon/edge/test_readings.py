"""Tests of the exchange of readings between daemons."""

import asyncio
from collections.abc import Callable, Iterator
from random import Random
from typing import TypeVar

import pytest
from attrs import define, evolve, field
from tests.daemon.edge.limit_harness import LimitFleet, LimitNode

from geraniumshelf_core.placement.state import ServerView
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS
from geraniumshelf_daemon.edge import readings as readings_module
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.interface import ReportedLoad, ResponseFields
from geraniumshelf_daemon.edge.messages import encode_message
from geraniumshelf_daemon.edge.readings import ReadingExchange
from geraniumshelf_daemon.observability.events import Event, install_recorder
from geraniumshelf_daemon.observability.metrics import install_metrics
from geraniumshelf_daemon.observability.prometheus import PrometheusMetrics

T = TypeVar('T')

_ROUND_NS = 100 * MILLISECOND_NS


def _response(
    speed: float | None = 2.5, *, is_misdirected: bool = False
) -> ResponseFields:
    return ResponseFields(
        ('r',),
        is_signed=True,
        is_not_run=False,
        is_misdirected=is_misdirected,
        load=ReportedLoad(3, 4, speed),
    )


class _RecordingPort(DatagramPort):
    """Records sender and receiver of each datagram of a daemon."""

    def __init__(self, node: LimitNode, sent: list[tuple[str, str]]) -> None:
        super().__init__(0)
        self._node = node
        self._sent = sent

    def register(self, kind: type[T], handle: Callable[[T], None]) -> None:
        self._node.port.register(kind, handle)

    def send_encoded(self, ip: str, datagram: bytes) -> None:
        self._sent.append((self._node.name, ip))
        self._node.port.send_encoded(ip, datagram)


@define(eq=False)
class _Exchanges:
    """Daemons that exchange readings, and the datagrams that they send.

    Attributes:
        fleet: The daemons.
        exchanges: Their exchanges by name.
        sent: Sender and receiver of each datagram.
    """

    fleet: LimitFleet
    exchanges: dict[str, ReadingExchange] = field(factory=dict)
    sent: list[tuple[str, str]] = field(factory=list)

    def respond(self, name: str, server: str, fields: ResponseFields) -> None:
        """Let a daemon get a response of a server."""
        self.exchanges[name].handle_response(self.view(name, server), fields)

    def view(self, name: str, server: str) -> ServerView:
        """Return a server as a daemon sees it."""
        return self.fleet.nodes[name].placement.servers[server]

    def run_round(self) -> None:
        """Let all daemons send what is due, and deliver it."""
        for exchange in self.exchanges.values():
            exchange.send(self.fleet.clock())
        self.fleet.run_until(self.fleet.now + _ROUND_NS)

    def take_sent(self) -> list[tuple[str, str]]:
        """Return the datagrams since the last call."""
        sent = self.sent[:]
        self.sent.clear()
        return sent


def _make_exchanges(daemons: int, regions: int = 1) -> _Exchanges:
    """Return daemons that all know that servers report their speed."""
    fleet = LimitFleet(daemons, servers=2, regions=regions)
    found = _Exchanges(fleet)

    for name, node in fleet.nodes.items():
        found.exchanges[name] = ReadingExchange(
            node.placement,
            node.presence,
            name,
            _RecordingPort(node, found.sent),
            fleet.clock,
            Random(1),
        )
    return found


def _introduce(found: _Exchanges) -> None:
    """Let each daemon hear of the others that they send readings."""
    for name in found.exchanges:
        found.respond(name, 's1', _response(1))
    for _ in range(3):
        found.run_round()
    found.fleet.run_until(found.fleet.now + SECOND_NS // 2)
    found.take_sent()


def test_response_to_one_daemon_is_known_to_all() -> None:
    """Guard against choices that rest on responses of seconds ago.

    Daemons of the own region know a reading within a round, the others within
    two.
    """
    found = _make_exchanges(6, regions=2)
    _introduce(found)
    for _ in range(2):
        found.respond('n0', 's0', _response(2.5))
        found.run_round()
    for name in ('n2', 'n4'):
        view = found.view(name, 's0')
        assert (view.speed, view.other_requests) == (2.5, 7)
    found.run_round()
    for name in ('n1', 'n3', 'n5'):
        assert found.view(name, 's0').speed == 2.5


def test_only_new_readings_are_sent() -> None:
    """Repeated readings would cost processor time and say nothing."""
    found = _make_exchanges(3, regions=1)
    _introduce(found)
    found.respond('n0', 's0', _response())
    found.run_round()
    assert found.take_sent() == [('n0', 'n1'), ('n0', 'n2')]
    for _ in range(20):
        found.run_round()
    assert not found.take_sent()


def test_message_is_encoded_once_for_a_region(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Encoding for each receiver would cost the small machines too much."""
    found = _make_exchanges(6, regions=1)
    _introduce(found)
    encoded: list[object] = []

    def encode(message: object) -> bytes:
        encoded.append(message)
        return encode_message(message)  # type: ignore[arg-type]

    monkeypatch.setattr(readings_module, 'encode_message', encode)
    found.respond('n0', 's0', _response())
    found.run_round()
    assert len(found.take_sent()) == 5
    assert len(encoded) == 1


def test_daemon_that_sends_no_readings_is_only_probed() -> None:
    """Guard against a log line for each datagram at daemons of old versions."""
    found = _make_exchanges(2)
    old = found.exchanges.pop('n1')
    for _ in range(40):
        found.respond('n0', 's0', _response())
        found.run_round()
    assert len(found.take_sent()) == 4
    found.exchanges['n1'] = old
    for _ in range(12):
        found.respond('n1', 's0', _response())
        found.run_round()
    found.take_sent()
    for _ in range(10):
        found.respond('n0', 's0', _response())
        found.run_round()
    assert len(found.take_sent()) == 10


def test_messages_to_other_regions_are_bounded() -> None:
    """Messages of a large fleet must not grow with its square."""
    found = _make_exchanges(33, regions=11)
    for _ in range(30):
        for name in found.exchanges:
            found.respond(name, 's1', _response())
        found.run_round()
    found.fleet.run_until(found.fleet.now + SECOND_NS // 2)
    found.take_sent()
    found.respond('n0', 's0', _response())
    found.exchanges['n0'].send(found.fleet.clock())
    assert len(found.take_sent()) == 2 + 16


def test_daemon_without_reported_speeds_ignores_readings() -> None:
    """Deployments whose servers report none keep their behaviour."""
    found = _make_exchanges(2)
    found.respond('n0', 's0', _response())
    found.run_round()
    assert found.take_sent() == [('n0', 'n1')]
    view = found.view('n1', 's0')
    assert (view.speed, view.reported_at) == (1, None)


@pytest.mark.parametrize(
    'fields', [_response(None), _response(is_misdirected=True)]
)
def test_response_without_a_speed_of_the_server_is_not_used(
    fields: ResponseFields,
) -> None:
    """Another server responds to a misdirected request."""
    found = _make_exchanges(2)
    found.respond('n0', 's0', fields)
    found.run_round()
    assert not found.take_sent()
    assert found.view('n0', 's0').speed == 1


def test_policy_that_is_off_leaves_the_former_behaviour() -> None:
    """Each policy can be disabled to measure what it is worth."""
    found = _make_exchanges(2)
    for node in found.fleet.nodes.values():
        node.placement.policies = evolve(
            node.placement.policies, shares_readings=False
        )
    for name in found.exchanges:
        found.respond(name, 's0', _response())
    found.run_round()
    assert not found.take_sent()
    assert found.view('n0', 's0').speed == 1


def test_readings_are_sent_without_a_further_response() -> None:
    """The last reading for other regions must not wait for the next one."""
    found = _make_exchanges(2, regions=2)
    _introduce(found)

    async def run() -> None:
        task = asyncio.create_task(found.exchanges['n0'].run())
        async with asyncio.timeout(10):
            for _ in range(2):
                found.respond('n0', 's0', _response())
                while not found.sent:
                    await asyncio.sleep(0.01)
                    found.fleet.run_until(found.fleet.now + 20 * MILLISECOND_NS)
                found.take_sent()
        task.cancel()

    asyncio.run(run())


class _Recorder:
    def __init__(self) -> None:
        self.events: list[tuple[Event, str]] = []

    def record(self, event: Event, detail: str, _fields: object) -> None:
        self.events.append((event, detail))


@pytest.fixture
def recorder() -> Iterator[_Recorder]:
    """Record the events of a test."""
    found = _Recorder()
    install_recorder(found)
    yield found
    install_recorder(None)


def test_readings_are_counted_and_logged_once(recorder: _Recorder) -> None:
    """Operators have to see whether readings get lost between daemons."""
    metrics = PrometheusMetrics()
    install_metrics(metrics)
    try:
        found = _make_exchanges(3)
        _introduce(found)
    finally:
        install_metrics(None)
    assert recorder.events == [(Event.SERVER_SPEED_KNOWN, 'desk')] * 3
    assert 'readings_sent_total 6' in metrics.render()
    assert 'readings_received_total 6' in metrics.render()
