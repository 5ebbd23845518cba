"""Members as holders of slots, for the allowances."""

from collections.abc import Mapping

from attrs import define, field

from geraniumshelf_core.messages.membership import Heartbeat
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members


@define
class SlotMembers:
    """Implements ``MembershipView`` over heartbeats and the roster."""

    _members: Members
    _heartbeat_revisions: dict[str, tuple[Nanoseconds, int]] = field(
        factory=dict, init=False
    )

    def __attrs_post_init__(self) -> None:
        self._members.subscribe(self._record_heartbeat)

    def slot_holders(self) -> Mapping[str, str]:
        """Return the live holder of each slot, including this instance."""
        return self._members.slot_holders(current_time())

    def confirmed_revisions(self, after: Nanoseconds) -> Mapping[str, int]:
        """Return the last revision per slot that was received after a time.

        This is not always the highest one, because a holder that restarts may
        read an older revision from a platform that lags behind.
        """
        received = {
            record.entry.slot: (record.received_at, record.entry.revision)
            for record in self._members.state.roster.records.values()
            if record.entry.slot
        }
        received.update(
            (slot, max(reported, received.get(slot, reported)))
            for slot, reported in self._heartbeat_revisions.items()
        )
        return {
            slot: revision
            for slot, (received_at, revision) in received.items()
            if received_at > after
        }

    def _record_heartbeat(self, _peer: str, heartbeat: Heartbeat) -> None:
        if heartbeat.slot:
            now = current_time()
            self._heartbeat_revisions[heartbeat.slot] = (
                now,
                heartbeat.revision,
            )
