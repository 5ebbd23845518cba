"""The members as the allowances need them."""

from collections.abc import Mapping

from attrs import define, field

from geraniumshelf_core.messages.membership import Heartbeat
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members


@define
class SlotMembers:
    """Implements ``MembershipView`` over heartbeats."""

    _members: Members
    _confirmed: dict[str, tuple[Nanoseconds, int]] = field(
        factory=dict, init=False
    )

    def __attrs_post_init__(self) -> None:
        self._members.subscribe(self._note)

    def slot_holders(self) -> Mapping[str, str]:
        """Return the instance by slot of live holders, own included."""
        return self._members.slot_holders(current_time())

    def confirmed_revisions(self, after: Nanoseconds) -> Mapping[str, int]:
        """Return the last revision by slot in heartbeats after a time."""
        return {
            slot: revision
            for slot, (heard_at, revision) in self._confirmed.items()
            if heard_at > after
        }

    def _note(self, _peer: str, heartbeat: Heartbeat) -> None:
        if heartbeat.slot:
            self._confirmed[heartbeat.slot] = (
                current_time(),
                heartbeat.revision,
            )
