"""Tests of the log lines about spills."""

from collections.abc import Mapping

from attrs import define, field
from tests.core.placement.demand_harness import Swing

from geraniumshelf_daemon.edge.spill_controller import SpillController
from geraniumshelf_daemon.observability.events import (
    Event,
    install_recorder,
)


@define
class _Recorder:
    causes: list[object] = field(factory=list)

    def record(
        self, event: Event, detail: str, fields: Mapping[str, object]
    ) -> None:
        """Keep the cause of a spill."""
        assert event is Event.SPILL_CHANGED
        assert detail == 'desk'
        self.causes.append(fields['cause'])


def test_line_names_the_cause_of_a_spill() -> None:
    """Guard against operators who look for lost servers after a swing."""
    recorder = _Recorder()
    swing = Swing()
    controller = SpillController(swing.states['c'], 0.15, 0.25)
    install_recorder(recorder)
    try:
        controller.adjust(swing.now)
        assert recorder.causes == ['slots']
        swing.run(36)
        swing.silent = {'a'}
        for _ in range(4):
            swing.run(1)
            controller.adjust(swing.now)
        assert 'demand' in recorder.causes
    finally:
        install_recorder(None)
