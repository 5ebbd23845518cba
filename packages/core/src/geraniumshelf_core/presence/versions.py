"""How far a daemon's configuration is behind that of the others.

Answers a daemon that gets changes late, and one that starts while the store
runs on an older copy: a route or a key that the others have withdrawn must not
be in use again there.
"""

from typing import Final

from attrs import define

from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# The others answer the first beat of a daemon within this time.
_HEARING_NS: Final[Nanoseconds] = SECOND_NS // 2


@define
class VersionState:
    """What a daemon knows of the versions of the configuration.

    Attributes:
        required_version: Version below which this daemon takes no callers.
        newest_version: Newest version that it or another daemon has had.
        behind_since: Time since which it has an older one, ``None`` if it has
            the newest.
        loaded_at: Time at which it first had all that it needs, ``None``
            before.
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
    """Take over the versions that the others tell of.

    Args:
        state: The state to change.
        presence: What is known of the other daemons.
        version: Version in force here, 0 for none.
        now: Current time.
        is_loaded: Whether this daemon has all that it needs.
    """
    is_behind = version < state.required_version
    told = max(
        (one.heartbeat.version for one in presence.peers.values()), default=0
    )
    state.newest_version = max(state.newest_version, told, version)
    if version >= state.newest_version:
        state.behind_since = None
    elif state.behind_since is None:
        state.behind_since = now
    if state.loaded_at is None and is_loaded:
        state.loaded_at = now
    if state.loaded_at is None or now - state.loaded_at < _HEARING_NS:
        state.required_version = told
    else:
        # Later changes reach a daemon that serves by its own watch.
        state.required_version = (
            min(state.required_version, told) if is_behind else 0
        )


def begin_loading(state: VersionState) -> None:
    """Note that this daemon has to load everything again."""
    state.loaded_at = None
