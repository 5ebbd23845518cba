"""Versions of the configuration at this daemon and at the others.

A daemon may get changes late, or start while the store runs on an older copy.
Then a route or a key that the others have withdrawn must not come into use
again there.
"""

from typing import Final

from attrs import define

from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# The others reply to the first heartbeat of a daemon within this time.
_FIRST_REPLY_TIMEOUT_NS: Final[Nanoseconds] = SECOND_NS // 2
# A response that arrives within this time of a report may have left the store
# before the new version was written.
_MAX_TRANSFER_NS: Final[Nanoseconds] = SECOND_NS


@define
class VersionState:
    """Versions of the configuration that a daemon knows of.

    Attributes:
        required_version: Version below which this daemon serves no callers.
        newest_version: Newest version that it or another daemon has had.
        behind_since: Time since which it has had an older version than the
            newest, ``None`` if it has the newest.
        loaded_at: Time at which it first had everything it needs to serve,
            ``None`` before.
    """

    required_version: int = 0
    newest_version: int = 0
    behind_since: Nanoseconds | None = None
    loaded_at: Nanoseconds | None = None


def compare_versions(
    state: VersionState,
    presence: PresenceState,
    version: int,
    now: Nanoseconds,
    *,
    is_loaded: bool,
) -> None:
    """Compare the own version with those that the other daemons report.

    Args:
        state: The state to change.
        presence: State of the other daemons.
        version: Version in force here, 0 for none.
        now: Current time.
        is_loaded: Whether this daemon has everything it needs to serve.
    """
    is_behind = version < state.required_version
    reported = max(
        (peer.heartbeat.version for peer in presence.peers.values()), default=0
    )
    state.newest_version = max(state.newest_version, reported, version)
    if version >= state.newest_version:
        state.behind_since = None
    elif state.behind_since is None:
        state.behind_since = now
    if state.loaded_at is None and is_loaded:
        state.loaded_at = now
    if (
        state.loaded_at is None
        or now - state.loaded_at < _FIRST_REPLY_TIMEOUT_NS
    ):
        state.required_version = reported
    else:
        # A daemon that already serves gets later changes from its own watch.
        state.required_version = (
            min(state.required_version, reported) if is_behind else 0
        )


def has_missed_version(
    state: VersionState, confirmed_at: Nanoseconds | None
) -> bool:
    """Return whether the store may have a newer version than it has told.

    Once the store has responded, a newer version elsewhere is one that this
    daemon cannot read or that the store has lost. Further calls would not help.

    Args:
        state: Versions that this daemon knows of.
        confirmed_at: Time at which the store last confirmed that no change of
            the configuration is missing, ``None`` before.
    """
    since = state.behind_since
    if since is None:
        return False
    return confirmed_at is None or confirmed_at <= since + _MAX_TRANSFER_NS


def begin_loading(state: VersionState) -> None:
    """Record that this daemon has to load everything again."""
    state.loaded_at = None
