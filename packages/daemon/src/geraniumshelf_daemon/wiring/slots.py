"""The members as the allowances need them."""

from collections.abc import Mapping

from attrs import define, field

from geraniumshelf_core.messages.membership import Heartbeat
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members


@define
class SlotMembers:
    """Implements ``MembershipView`` over heartbeats."""

    _members: Members
    _confirmed: dict[str, int] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._members.subscribe(self._note)

    def slot_holders(self) -> Mapping[str, str]:
        """Return the instance by slot of live holders, own included."""
        return self._members.slot_holders(current_time())

    def confirmed_revisions(self) -> Mapping[str, int]:
        """Return the last confirmed revision by slot, for all ever seen."""
        return self._confirmed

    def _note(self, _peer: str, heartbeat: Heartbeat) -> None:
        if heartbeat.slot:
            self._confirmed[heartbeat.slot] = heartbeat.revision
