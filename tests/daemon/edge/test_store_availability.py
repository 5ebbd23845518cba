"""Tests what probes without a response tell about the store."""

from tests.platform.harness import BOUNDS

from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)

_NOW = 100 * SECOND_NS


def _tracker() -> StoreAvailabilityTracker:
    tracker = StoreAvailabilityTracker(PresenceState('me'), lambda: BOUNDS)
    tracker.record_store_response(1, _NOW)
    return tracker


def test_probe_without_response_shows_an_outage() -> None:
    """Guard against an outage that only a watch of 25 s would notice."""
    tracker = _tracker()
    tracker.record_unanswered_probe(_NOW + SECOND_NS)
    end = _NOW + 2 * SECOND_NS
    tracker.record_store_response(1, end)
    assert tracker.available_since(end) == end


def test_lost_probe_before_a_later_response_shows_no_outage() -> None:
    """Guard against servers that stay in use because of one lost probe.

    A probe that is lost fails only after the store has responded to others.
    """
    tracker = _tracker()
    before = tracker.available_since(_NOW)
    tracker.record_store_response(1, _NOW + SECOND_NS)
    tracker.record_unanswered_probe(_NOW + SECOND_NS // 2)
    end = _NOW + 2 * SECOND_NS
    assert tracker.available_for(end) == 2 * SECOND_NS
    tracker.record_store_response(1, end)
    assert tracker.available_since(end) == before
