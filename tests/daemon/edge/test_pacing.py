"""Tests of the reports on paced servers."""

from collections.abc import Iterator, Mapping

import pytest
from attrs import evolve
from tests.core.placement.harness import NOW, make_state, serve

from geraniumshelf_core.placement.commands import remove_server
from geraniumshelf_core.placement.paces import PaceCause
from geraniumshelf_core.placement.pacing import start_pace
from geraniumshelf_core.presence.commands import record_heartbeat
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS
from geraniumshelf_daemon.edge.pacing import PaceMonitor
from geraniumshelf_daemon.observability.events import Event, install_recorder
from geraniumshelf_daemon.observability.metrics import install_metrics
from geraniumshelf_daemon.observability.prometheus import PrometheusMetrics


class _Recorder:
    def __init__(self) -> None:
        self.events: list[tuple[Event, str]] = []
        self.fields: list[Mapping[str, str]] = []

    def record(
        self, event: Event, detail: str, fields: Mapping[str, str]
    ) -> None:
        self.events.append((event, detail))
        self.fields.append(fields)


@pytest.fixture
def recorder() -> Iterator[_Recorder]:
    """Record the events of a test."""
    found = _Recorder()
    install_recorder(found)
    yield found
    install_recorder(None)


@pytest.fixture
def metrics() -> Iterator[PrometheusMetrics]:
    """Record the metrics of a test."""
    found = PrometheusMetrics()
    install_metrics(found)
    yield found
    install_metrics(None)


def test_pace_is_logged_once_at_its_begin_and_end(
    recorder: _Recorder, metrics: PrometheusMetrics
) -> None:
    """Operators have to see which servers get fewer requests, and how long."""
    state = make_state({'s1': 'a1', 's2': 'a1'})
    monitor = PaceMonitor(state, PresenceState('10.0.0.1'), lambda: NOW)
    monitor.step(NOW)
    for view in state.servers.values():
        start_pace(state, view, PaceCause.COLD, NOW)
    for number in (1, 2):
        monitor.step(NOW + number * SECOND_NS)
    assert 'paced_servers 2' in metrics.render()
    remove_server(state, 's2')
    later = NOW + 3 * SECOND_NS + 500 * MILLISECOND_NS
    serve(state, state.servers['s1'], 'x', later)
    monitor.step(later)
    assert sorted(recorder.events) == [
        (Event.SERVER_PACED, 's1'),
        (Event.SERVER_PACED, 's2'),
        (Event.SERVER_UNPACED, 's1'),
        (Event.SERVER_UNPACED, 's2'),
    ]
    assert recorder.fields[0]['cause'] == 'cold'
    assert recorder.fields[2]['paced_ms'] == '2500'
    assert 'paced_servers 0' in metrics.render()


def test_ready_daemons_of_the_region_share_the_slots_of_a_server() -> None:
    """Guard against a pace that lasts until one daemon fills all slots."""
    state = make_state({'s1': 'a1'})
    presence = PresenceState('10.0.0.1')
    beat = PresenceHeartbeat('n1', 1, 1, 'a2', '10.0.0.2', '', is_ready=True)
    record_heartbeat(presence, beat, NOW)
    record_heartbeat(
        presence, evolve(beat, name='n2', ip='10.0.0.3', zone='b1'), NOW
    )
    record_heartbeat(
        presence, evolve(beat, name='n3', ip='10.0.0.4', is_ready=False), NOW
    )
    PaceMonitor(state, presence, lambda: NOW).step(NOW)
    assert state.region_entries == 2
