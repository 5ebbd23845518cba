"""The members as the allowances need them."""

from collections.abc import Mapping

from attrs import define, field

from geraniumshelf_core.messages.membership import Heartbeat
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members


@define
class SlotMembers:
    """Implements ``MembershipView`` over heartbeats and the table."""

    _members: Members
    _version: int = field(default=-1, init=False)
    _confirmed: dict[str, int] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._members.subscribe(self._note)

    def slot_holders(self) -> Mapping[str, str]:
        """Return the instance by slot of live holders, own included."""
        return self._members.slot_holders(current_time())

    def confirmed_revisions(self) -> Mapping[str, int]:
        """Return the highest confirmed revision by slot, for all ever seen.

        A holder that restarts reports revision 0 until it has one, but it has
        not had an older one in force since.
        """
        roster = self._members.state.roster
        if roster.version != self._version:
            self._version = roster.version
            for record in roster.records.values():
                self._confirm(record.entry.slot, record.entry.revision)
        return self._confirmed

    def _note(self, _peer: str, heartbeat: Heartbeat) -> None:
        self._confirm(heartbeat.slot, heartbeat.revision)

    def _confirm(self, slot: str, revision: int) -> None:
        if slot:
            known = self._confirmed.get(slot, 0)
            self._confirmed[slot] = max(known, revision)
