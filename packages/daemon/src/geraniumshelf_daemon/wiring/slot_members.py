"""The members as the allowances need them."""

from collections.abc import Mapping

from attrs import define, field

from geraniumshelf_core.messages.membership import Heartbeat
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members


@define
class SlotMembers:
    """Implements ``MembershipView`` over heartbeats and the table."""

    _members: Members
    _heard: dict[str, tuple[Nanoseconds, int]] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._members.subscribe(self._note)

    def slot_holders(self) -> Mapping[str, str]:
        """Return the instance by slot of live holders, own included."""
        return self._members.slot_holders(current_time())

    def confirmed_revisions(self, after: Nanoseconds) -> Mapping[str, int]:
        """Return the last revision by slot that was told after a time.

        It is not the highest one: a holder that restarts may read an older
        revision from a platform that lags.
        """
        told = {
            record.entry.slot: (record.received_at, record.entry.revision)
            for record in self._members.state.roster.records.values()
            if record.entry.slot
        }
        told.update(
            (slot, max(heard, told.get(slot, heard)))
            for slot, heard in self._heard.items()
        )
        return {
            slot: revision
            for slot, (told_at, revision) in told.items()
            if told_at > after
        }

    def _note(self, _peer: str, heartbeat: Heartbeat) -> None:
        if heartbeat.slot:
            now = current_time()
            self._heard[heartbeat.slot] = (now, heartbeat.revision)
