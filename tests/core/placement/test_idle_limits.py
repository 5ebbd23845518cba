"""Tests of the limits for the reuse of idle connections."""

from geraniumshelf_core.placement.idle_limits import (
    IdleLimits,
    max_idle_time,
    record_loss,
)
from geraniumshelf_core.units import SECOND_NS

_NOW = 100 * SECOND_NS


def test_connections_are_used_within_the_time_that_servers_state() -> None:
    """Requests to distant servers opened a new connection each time."""
    state = IdleLimits()
    assert max_idle_time(state, 'desk', None, _NOW) == 4 * SECOND_NS
    assert max_idle_time(state, 'desk', 10 * SECOND_NS, _NOW) == 6 * SECOND_NS
    assert max_idle_time(state, 'desk', 2 * SECOND_NS, _NOW) < 2 * SECOND_NS
    assert max_idle_time(state, 'desk', 10**15, _NOW) <= 10 * SECOND_NS


def test_lost_connections_shorten_the_time_for_a_while() -> None:
    """Some servers drop idle connections; the next request is then lost."""
    state = IdleLimits()
    record_loss(state, 'desk', 2 * SECOND_NS, _NOW)
    assert max_idle_time(state, 'desk', None, _NOW) == SECOND_NS
    assert max_idle_time(state, 'mail', None, _NOW) == 4 * SECOND_NS
    later = _NOW + 21 * SECOND_NS
    assert max_idle_time(state, 'desk', None, later) == 2 * SECOND_NS
    much_later = _NOW + 3600 * SECOND_NS
    assert max_idle_time(state, 'desk', None, much_later) == 4 * SECOND_NS
