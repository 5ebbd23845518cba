"""Interfaces through which the allowances read members and slots."""

from collections.abc import Mapping
from typing import Protocol

from geraniumshelf_core.allowance.layouts import DifferingClaims
from geraniumshelf_core.units import Nanoseconds


class MembershipView(Protocol):
    """The slots held by all daemons, as known to this daemon."""

    def slot_holders(self) -> Mapping[str, str]:
        """Return the instance names of live holders by slot.

        The slot of this daemon is included.
        """

    def confirmed_revisions(self, after: Nanoseconds) -> Mapping[str, int]:
        """Return the last revision by slot that was reported after a time."""


class SlotView(Protocol):
    """The slots whose floors this daemon may use now."""

    def usable_slots(self) -> tuple[str, ...]:
        """Return the own slots whose floors may be used.

        Their quarantine has passed and their claims were renewed in time.
        """

    def claim_identity(self) -> tuple[str, int]:
        """Return the slot and the time of the claim, which identify it."""

    def differing_claims(self, since: int) -> DifferingClaims | None:
        """Return the claims of other slots that have another layout.

        Args:
            since: First revision with the layout in force.

        Returns:
            ``None`` until the own claim was written with this layout and all
            claims were listed after that write.
        """
