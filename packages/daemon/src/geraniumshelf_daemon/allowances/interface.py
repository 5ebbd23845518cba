"""What the allowances need to know of the members of the fleet."""

from collections.abc import Mapping
from typing import Protocol


class MembershipView(Protocol):
    """The slots of all daemons, as far as known here."""

    def slot_holders(self) -> Mapping[str, str]:
        """Return the instance name by slot of live holders, own included."""

    def confirmed_revisions(self) -> Mapping[str, int]:
        """Return the last confirmed revision by slot, for all ever seen.

        A restarted holder that reports 0 keeps its former revision here; a
        slot that was never heard from is left out.
        """


class SlotUse(Protocol):
    """The slots whose floors this daemon may use now."""

    def usable_slots(self) -> tuple[str, ...]:
        """Return own slots past their quarantine and renewed in time."""
