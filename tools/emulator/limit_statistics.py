"""What servers get that name a limit of their rate."""

from collections.abc import Iterable
from statistics import fmean
from typing import Any, Final

from attrs import frozen

from tools.emulator.experiment import Event
from tools.emulator.servers import Server

# The limit binds this long after a server first named it.
_CONTACT_S: Final = 4
_WINDOW_S: Final = 4
# Most requests in a window: the rate times a factor, and a number beside it.
_RATE_FACTOR: Final = 1.5
_EXTRA_REQUESTS: Final = 5


@frozen
class LimitEvent:
    """A server that named a limit in an event."""

    server: Server
    event: Event


def summarize_limits(limit_events: Iterable[LimitEvent]) -> dict[str, float]:
    """Return what the servers got after their limits had begun to bind."""
    rows = [_summarize(limit_event) for limit_event in limit_events]
    if not rows:
        return {}
    return {
        'servers': len(rows),
        'broken': sum(row['most'] > row['allowed'] for row in rows),
        'most': max(row['most'] for row in rows),
        'allowed': min(row['allowed'] for row in rows),
        'used': fmean(row['used'] for row in rows),
    }


def _summarize(limit_event: LimitEvent) -> dict[str, Any]:
    event = limit_event.event
    begin, end = event.at + _CONTACT_S, event.at + event.for_s
    counted = [at for at in limit_event.server.arrivals if begin <= at < end]
    most = max(
        (
            sum(first <= at < first + _WINDOW_S for at in counted)
            for first in counted
        ),
        default=0,
    )
    return {
        'most': most,
        'allowed': _RATE_FACTOR * event.x * _WINDOW_S + _EXTRA_REQUESTS,
        'used': len(counted) / (event.x * (end - begin)),
    }
