"""The members as look-ups and the decider need them."""

from attrs import define, field

from geraniumshelf_core.idempotency.request_id import request_id_prefix
from geraniumshelf_core.lookup.answer import EntryInstance
from geraniumshelf_core.membership.state import Member
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members


@define
class MemberEntries:
    """Implements ``EntrySource`` and ``DeciderDirectory`` over the members.

    Look-ups ask for the version with each answer, so the entries are kept
    until the next refresh.
    """

    _members: Members
    _entries: tuple[EntryInstance, ...] = field(default=(), init=False)
    _version: int = field(default=0, init=False)
    _made: dict[str, tuple[Member, EntryInstance]] = field(
        factory=dict, init=False
    )
    _live: tuple[Member, ...] = field(default=(), init=False)

    @property
    def version(self) -> int:
        """Return a number that grows with each change of the entries."""
        return self._version

    def refresh(self, now: Nanoseconds) -> None:
        """Take over the live members."""
        live = self._members.live_members(now)
        if live is self._live:
            return
        self._live = live
        # A peer that has just been linked has told neither its window nor its
        # revision; ids with a made-up window would be refused as expired.
        self._made = {
            member.hello.instance: (member, self._entry(member))
            for member in live
            if member.revision
        }
        entries = tuple(entry for _, entry in self._made.values())
        if entries != self._entries:
            self._entries = entries
            self._version += 1

    def entries(self) -> tuple[EntryInstance, ...]:
        """Return the live entry instances, also those that are leaving."""
        return self._entries

    def find(self, slot: str, incarnation: int) -> str | None:
        """Return the live instance that issued an id, ``None`` for none.

        Args:
            slot: First part of the request id: the instance name.
            incarnation: Incarnation in the request id.
        """
        self.refresh(current_time())
        made = self._made.get(slot)
        if made is None or made[0].hello.incarnation != incarnation:
            return None
        return slot

    def _entry(self, member: Member) -> EntryInstance:
        made = self._made.get(member.hello.instance)
        if made is not None and made[0] is member:
            return made[1]
        return _entry(member)


def _entry(member: Member) -> EntryInstance:
    hello = member.hello
    return EntryInstance(
        hello.instance,
        hello.zone,
        hello.region,
        hello.caller_address,
        request_id_prefix(hello.instance, hello.incarnation, member.window),
        member.is_leaving,
    )
