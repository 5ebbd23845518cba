"""The entries of all members and the digests over them."""

from typing import Final

from attrs import Factory, define, frozen

from geraniumshelf_core.messages.membership import Hello
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

_DAY_S: Final = 86400

# Withdrawn entries are kept so that a late copy of the live one stays out.
WITHDRAWN_RETENTION_NS: Final[Nanoseconds] = _DAY_S * SECOND_NS


@frozen
class MemberEntry:
    """What a member says of itself, or that its neighbours lost it.

    Attributes:
        hello: Its introduction.
        counter: Number of this entry; a member that finds an entry of a
            former incarnation, or its own withdrawn, continues above it.
        slot: Slot held, ``zone/number``, or empty.
        revision: A configuration revision that it had in force.
        is_leaving: Whether it is shutting down.
        is_failed_watcher: Whether it watches the platform without reaching it.
        is_withdrawn: Whether a neighbour lost it.
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
        """Return what orders the entries of an instance, the newest last."""
        return (self.counter, self.hello.incarnation, self.is_withdrawn)


@frozen
class MemberRecord:
    """A known entry.

    Attributes:
        entry: The entry.
        clock_offset: Clock of the member less the own clock, nanoseconds; it
            lags by the time that the entry was on its way.
        received_at: When it was taken in.
    """

    entry: MemberEntry
    clock_offset: Nanoseconds
    received_at: Nanoseconds


@define
class Roster:
    """The table of members.

    Attributes:
        records: Known entries by instance, also withdrawn ones.
        digests: Digest over the live entries of each zone.
        changes: Instances with changes to send, and the peer that each came
            from, empty for this daemon.
        version: Grows with each change.
    """

    records: dict[str, MemberRecord] = Factory(dict)
    digests: dict[str, int] = Factory(dict)
    changes: dict[str, str] = Factory(dict)
    version: int = 0
