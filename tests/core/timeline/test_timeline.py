"""Tests the order of merged timelines and the JSON form of events."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.errors import OperatorError
from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_core.timeline.event import (
    TimelineEvent,
    event_from_json,
    event_to_json,
)
from geraniumshelf_core.timeline.merge import merge_timelines

_STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.one_of(st.none(), st.integers(0, 2))),
    max_size=40,
)


@given(_STEPS, st.randoms(use_true_random=False))
def test_effects_follow_causes(steps, random) -> None:
    """An effect listed before its cause would mislead an operator."""
    clocks = [LogicalClock() for _ in range(3)]
    history: list[TimelineEvent] = []
    causes: list[tuple[TimelineEvent, TimelineEvent]] = []
    latest: dict[int, TimelineEvent] = {}
    for sequence, (sender, receiver) in enumerate(steps):
        event = _event(clocks, sender, sequence)
        if sender in latest:
            causes.append((latest[sender], event))
        history.append(event)
        latest[sender] = event
        if receiver is not None and receiver != sender:
            clocks[receiver].observe(event.clock)
            effect = _event(clocks, receiver, 1000 + sequence)
            causes.append((event, effect))
            history.append(effect)
            latest[receiver] = effect
    shuffled = [*history, *history[:3]]
    random.shuffle(shuffled)
    merged = merge_timelines(shuffled)
    position = {event: index for index, event in enumerate(merged)}
    assert len(merged) == len(history)
    assert all(position[cause] < position[effect] for cause, effect in causes)


def test_json_form_goes_both_ways() -> None:
    """The CLI must read the events that daemons send as JSON."""
    event = TimelineEvent(3, 'a', 1, 302, 'PEER_LOST', 'x', (('peer', 'b'),))
    assert event_from_json(json.loads(json.dumps(event_to_json(event)))) == (
        event
    )


@pytest.mark.parametrize('row', [None, {}, {'clock': 1}, []])
def test_other_json_is_refused(row: object) -> None:
    """JSON from a daemon of another version must not crash the CLI."""
    with pytest.raises(OperatorError):
        event_from_json(row)


def test_wrong_type_is_refused() -> None:
    """Events whose clock is not a number cannot be ordered."""
    row = event_to_json(TimelineEvent(3, 'a', 1, 302, 'PEER_LOST', ''))
    with pytest.raises(OperatorError, match='clock'):
        event_from_json({**row, 'clock': '3'})


def _event(
    clocks: list[LogicalClock], process: int, sequence: int
) -> TimelineEvent:
    return TimelineEvent(
        clocks[process].tick(), str(process), sequence, 1, 'E', ''
    )
