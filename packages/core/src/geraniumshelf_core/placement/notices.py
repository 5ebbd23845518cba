"""Notices that backend servers give in their responses.

A server that is about to leave may announce this in its responses before the
store lists it as draining, or while the store is unavailable. A full server may
request a pause; it would reject further requests until the pause ends.

A notice applies to one start of a server. It is stored separately from the view
of the server, because the view is dropped when the entry of the server expires
or the daemon becomes a standby.
"""

from math import isfinite
from typing import Final

from attrs import frozen

from geraniumshelf_core.placement.state import (
    Notice,
    PlacementState,
    ServerView,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds, seconds_to_ns

# A server that requests a longer pause is tried again after this time.
_MAX_PAUSE_S: Final = 300
_MAX_PAUSE_NS: Final[Nanoseconds] = _MAX_PAUSE_S * SECOND_NS
# Above this number the notices of starts that are no longer listed are evicted.
_MAX_NOTICES: Final = 1000


@frozen
class DepartureNotice:
    """Message to another daemon that a server has announced its departure.

    Attributes:
        server: Name of the server.
        started_at_ms: Time of its start, Unix milliseconds.
    """

    server: str
    started_at_ms: int


def get_notice(state: PlacementState, name: str, started_at_ms: int) -> Notice:
    """Return the notice for a start of a server; create it if needed."""
    key = (name, started_at_ms)
    notice = state.notices.get(key)
    if notice is None:
        notice = Notice()
        state.notices[key] = notice
        if len(state.notices) > _MAX_NOTICES:
            _evict_oldest(state, key)
    return notice


def _evict_oldest(state: PlacementState, newest: tuple[str, int]) -> None:
    """Evict the oldest notice whose start of a server is not listed."""
    for key in state.notices:
        name, started_at_ms = key
        view = state.servers.get(name)
        is_listed = view and view.server.started_at_ms == started_at_ms
        if key != newest and not is_listed:
            del state.notices[key]
            state.limited.pop(key, None)
            return


def record_departure(state: PlacementState, departure: DepartureNotice) -> bool:
    """Record that a server is leaving; return whether this was unknown."""
    notice = get_notice(state, departure.server, departure.started_at_ms)
    is_new = not notice.is_leaving
    notice.is_leaving = True
    return is_new


def record_pause(
    view: ServerView, pause: Nanoseconds, now: Nanoseconds
) -> None:
    """Send a server no requests for the pause that it requested.

    A shorter pause does not end a longer one that is in effect.
    """
    until = now + min(max(0, pause), _MAX_PAUSE_NS)
    view.notice.paused_until = max(view.notice.paused_until, until)


def read_pause(text: str) -> Nanoseconds | None:
    """Parse a pause in seconds.

    Returns:
        The pause, limited to the maximum; ``None`` if the text is not a
        positive number.

    >>> read_pause('1.5')
    1500000000
    >>> read_pause('-1'), read_pause('soon'), read_pause('nan')
    (None, None, None)
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    if seconds == float('inf'):
        return _MAX_PAUSE_NS
    if not isfinite(seconds) or seconds <= 0:
        return None
    return min(seconds_to_ns(min(seconds, _MAX_PAUSE_S)), _MAX_PAUSE_NS)


def is_paused(view: ServerView, now: Nanoseconds) -> bool:
    """Return whether a server has requested a pause that is in effect."""
    return view.notice.paused_until > now
