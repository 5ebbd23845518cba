"""State of the member table: entries of all members and their digests."""

from typing import Final

from attrs import Factory, define, frozen

from geraniumshelf_core.messages.membership import Hello
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

_DAY_S: Final = 86400

# Withdrawn entries are kept so that a late copy of the live entry is rejected.
WITHDRAWN_RETENTION_NS: Final[Nanoseconds] = _DAY_S * SECOND_NS


@frozen
class MemberEntry:
    """State of a member as published by itself, or its withdrawal by a peer.

    Attributes:
        hello: Introduction of the member.
        counter: Number of this entry. A member that finds an entry of one of
            its former incarnations, or its own entry withdrawn, continues with
            higher numbers.
        slot: Slot held, ``zone/number``, or empty.
        revision: A configuration revision that the member had in force.
        is_leaving: Whether the member is shutting down.
        is_failed_watcher: Whether it watches the platform without reaching it.
        is_withdrawn: Whether a linked peer lost the member.
    """

    hello: Hello
    counter: int
    slot: str = ''
    revision: int = 0
    is_leaving: bool = False
    is_failed_watcher: bool = False
    is_withdrawn: bool = False

    @property
    def version(self) -> tuple[int, int, bool]:
        """Return the sort key of the entries of an instance, newest last."""
        return (self.counter, self.hello.incarnation, self.is_withdrawn)


@frozen
class MemberRecord:
    """An entry as received by this daemon.

    Attributes:
        entry: The entry.
        clock_offset: Clock of the member minus the own clock, nanoseconds; too
            small by the transmission time of the entry.
        received_at: Time at which the entry was received, on the own clock.
    """

    entry: MemberEntry
    clock_offset: Nanoseconds
    received_at: Nanoseconds


@define
class Roster:
    """Table of members.

    Attributes:
        records: Known entries by instance, including withdrawn ones.
        digests: Digest of the live entries by zone.
        changes: Peer from which each unsent change was received, by instance;
            empty for changes made by this daemon.
        version: Number that grows with each change.
    """

    records: dict[str, MemberRecord] = Factory(dict)
    digests: dict[str, int] = Factory(dict)
    changes: dict[str, str] = Factory(dict)
    version: int = 0
