"""Which entries of servers count while the store's lists are incomplete.

Answers a store that has come back from an older copy: an entry in it may be of
a time before the server said that it drains, or before it left.
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

# Servers that are remembered after they are gone; twice those of a site.
_MOST_FORMER: Final = 500


@define
class ServerHistory:
    """What is remembered of servers beside the store's list.

    Attributes:
        eras: Eras of the lists.
        settles_at: Time until which entries are compared with what was known.
        former: Last entries of servers that are gone, the oldest first.
    """

    eras: EraState = field(factory=EraState)
    settles_at: Nanoseconds = 0
    former: dict[str, ListedServer] = field(factory=dict)


def enter_era(memory: ServerHistory, era: int, now: Nanoseconds) -> bool:
    """Take over the era of a list; return whether a later one began."""
    has_begun = advance_era(memory.eras, era)
    if has_begun:
        memory.settles_at = now + SETTLING_NS
    return has_begun


def record_former_server(memory: ServerHistory, server: ListedServer) -> None:
    """Remember a server that is gone."""
    memory.former.pop(server.name, None)
    memory.former[server.name] = server
    if len(memory.former) > _MOST_FORMER:
        del memory.former[next(iter(memory.former))]


def is_outdated(
    memory: ServerHistory,
    known: ListedServer | None,
    entry: ListedServer,
    now: Nanoseconds,
) -> bool:
    """Return whether an entry is older than what was known of its server.

    Args:
        memory: What is remembered.
        known: The entry of the same name that is in use, if there is one.
        entry: The entry that was read.
        now: Current time.
    """
    if now >= memory.settles_at:
        return False
    if known is not None:
        return _age(entry) < _age(known)
    former = memory.former.get(entry.name)
    # A server that left and lives has counted on since.
    return former is not None and _age(entry) <= _age(former)


def _age(server: ListedServer) -> tuple[int, int]:
    return server.started_at_ms, server.sequence
