"""What the allowances need to know of the members of the fleet."""

from collections.abc import Mapping
from typing import Protocol

from geraniumshelf_core.allowance.layouts import DifferingClaims
from geraniumshelf_core.units import Nanoseconds


class MembershipView(Protocol):
    """The slots of all daemons, as far as known here."""

    def slot_holders(self) -> Mapping[str, str]:
        """Return the instance name by slot of live holders, own included."""

    def confirmed_revisions(self, after: Nanoseconds) -> Mapping[str, int]:
        """Return the last revision by slot in heartbeats after a time."""


class SlotUse(Protocol):
    """The slots whose floors this daemon may use now."""

    def usable_slots(self) -> tuple[str, ...]:
        """Return own slots past their quarantine and renewed in time."""

    def claim_identity(self) -> tuple[str, int]:
        """Return what changes with each claim: the slot and its time."""

    def differing_claims(self, since: int) -> DifferingClaims | None:
        """Return the claims that show another layout.

        Returns:
            ``None`` before the own claim has shown the layout in force since
            that revision and all claims were listed after it.
        """
