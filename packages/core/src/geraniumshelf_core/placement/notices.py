"""What backend servers say of themselves in their answers.

Answers two patterns. A server that is about to leave may say so in its answers
before the store lists it as draining, or while the store is away. A full server
may ask for a pause, and more requests would only be turned away again.

A notice belongs to one start of a server. It is kept apart from the view of the
server, which is dropped when its entry lapses or the daemon stands by.
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

# A server that asks for a longer pause is tried again after this time.
_LONGEST_PAUSE_S: Final = 300
_LONGEST_PAUSE_NS: Final[Nanoseconds] = _LONGEST_PAUSE_S * SECOND_NS
# Starts of servers whose notices are kept, beside those that are listed.
_MOST_NOTICES: Final = 1000


@frozen
class DepartureNotice:
    """Tells another daemon that a server has said that it leaves.

    Attributes:
        server: Name of the server.
        started_at_ms: Time of its start, Unix milliseconds.
    """

    server: str
    started_at_ms: int


def notice_of(state: PlacementState, name: str, started_at_ms: int) -> Notice:
    """Return what a server has said of itself since its start."""
    key = (name, started_at_ms)
    notice = state.notices.get(key)
    if notice is None:
        notice = Notice()
        state.notices[key] = notice
        if len(state.notices) > _MOST_NOTICES:
            _forget_oldest(state, key)
    return notice


def _forget_oldest(state: PlacementState, newest: tuple[str, int]) -> None:
    """Forget the notice of the oldest start that is not listed."""
    for key in state.notices:
        name, started_at_ms = key
        view = state.servers.get(name)
        is_listed = view and view.server.started_at_ms == started_at_ms
        if key != newest and not is_listed:
            del state.notices[key]
            return


def record_departure(state: PlacementState, told: DepartureNotice) -> bool:
    """Note that a server leaves; return whether that is news."""
    notice = notice_of(state, told.server, told.started_at_ms)
    is_news = not notice.is_leaving
    notice.is_leaving = True
    return is_news


def record_pause(
    view: ServerView, pause: Nanoseconds, now: Nanoseconds
) -> None:
    """Give a server no more requests for the time that it asks for."""
    until = now + min(max(0, pause), _LONGEST_PAUSE_NS)
    view.notice.paused_until = max(view.notice.paused_until, until)


def read_pause(text: str) -> Nanoseconds | None:
    """Return the pause that a number of seconds asks for.

    Returns:
        At most the longest pause; ``None`` if the text is no positive number.

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
        return _LONGEST_PAUSE_NS
    if not isfinite(seconds) or seconds <= 0:
        return None
    return min(seconds_to_ns(min(seconds, _LONGEST_PAUSE_S)), _LONGEST_PAUSE_NS)


def is_paused(view: ServerView, now: Nanoseconds) -> bool:
    """Return whether a server wants no requests now."""
    return view.notice.paused_until > now
