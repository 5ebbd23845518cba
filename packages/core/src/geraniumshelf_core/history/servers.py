"""Detection of outdated server entries after a restore of the store.

An entry in a store that was restored from an older copy may date from before
the server started to drain, or from before it left.
"""

from typing import Final

from attrs import define, field

from geraniumshelf_core.history.eras import (
    SETTLING_NS,
    EraState,
    advance_era,
)
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import Nanoseconds

# Maximum number of former servers that are kept, twice the servers of a site.
_MAX_FORMER_SERVERS: Final = 500


@define
class ServerHistory:
    """History of servers, which the store's list doesn't hold.

    Attributes:
        eras: Eras of the lists.
        settles_at: Time until which entries are compared with known ones.
        former: Last entries of servers that have left, the oldest first.
    """

    eras: EraState = field(factory=EraState)
    settles_at: Nanoseconds = 0
    former: dict[str, ListedServer] = field(factory=dict)


def enter_era(history: ServerHistory, era: int, now: Nanoseconds) -> bool:
    """Record the era of a list; return whether a later era has begun."""
    has_begun = advance_era(history.eras, era)
    if has_begun:
        history.settles_at = now + SETTLING_NS
    return has_begun


def record_former_server(history: ServerHistory, server: ListedServer) -> None:
    """Record a server that has left."""
    history.former.pop(server.name, None)
    history.former[server.name] = server
    if len(history.former) > _MAX_FORMER_SERVERS:
        del history.former[next(iter(history.former))]


def is_outdated(
    history: ServerHistory,
    known: ListedServer | None,
    entry: ListedServer,
    now: Nanoseconds,
) -> bool:
    """Return whether an entry is older than the known one of its server.

    Args:
        history: History of the servers.
        known: The entry of the same name that is in use, if there is one.
        entry: The entry that was read.
        now: Current time.
    """
    if now >= history.settles_at:
        return False
    if known is not None:
        return _recency_key(entry) < _recency_key(known)
    former = history.former.get(entry.name)
    # If a former server is alive, it has sent further heartbeats with higher
    # sequence numbers since.
    return former is not None and _recency_key(entry) <= _recency_key(former)


def _recency_key(server: ListedServer) -> tuple[int, int]:
    return server.started_at_ms, server.sequence
