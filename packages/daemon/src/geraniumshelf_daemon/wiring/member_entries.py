"""Members as entry instances, for look-ups and run decisions."""

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

    Each look-up response reads the version, so the entries are cached until the
    next refresh.
    """

    _members: Members
    _entries: tuple[EntryInstance, ...] = field(default=(), init=False)
    _version: int = field(default=0, init=False)
    _cache: dict[str, tuple[Member, EntryInstance]] = field(
        factory=dict, init=False
    )
    _live: tuple[Member, ...] = field(default=(), init=False)

    @property
    def version(self) -> int:
        """Return a number that increases with each change of the entries."""
        return self._version

    def refresh(self, now: Nanoseconds) -> None:
        """Update the entries if the live members have changed."""
        live = self._members.live_members(now)
        if live is self._live:
            return
        self._live = live
        # Window and revision of a newly linked peer are unknown until its first
        # heartbeat. Request ids with a guessed window would be refused as
        # expired.
        self._cache = {
            member.hello.instance: (member, self._find_or_build(member))
            for member in live
            if member.revision
        }
        entries = tuple(entry for _, entry in self._cache.values())
        if entries != self._entries:
            self._entries = entries
            self._version += 1

    def entries(self) -> tuple[EntryInstance, ...]:
        """Return the live entry instances, including leaving ones."""
        return self._entries

    def find(self, slot: str, incarnation: int) -> str | None:
        """Return the instance that issued an id, ``None`` if it isn't live.

        Args:
            slot: Instance name, the first part of the request id.
            incarnation: Incarnation in the request id.
        """
        self.refresh(current_time())
        cached = self._cache.get(slot)
        if cached is None or cached[0].hello.incarnation != incarnation:
            return None
        return slot

    def _find_or_build(self, member: Member) -> EntryInstance:
        cached = self._cache.get(member.hello.instance)
        if cached is not None and cached[0] is member:
            return cached[1]
        return _build_entry(member)


def _build_entry(member: Member) -> EntryInstance:
    hello = member.hello
    return EntryInstance(
        hello.instance,
        hello.zone,
        hello.region,
        hello.caller_address,
        request_id_prefix(hello.instance, hello.incarnation, member.window),
        member.is_leaving,
    )
