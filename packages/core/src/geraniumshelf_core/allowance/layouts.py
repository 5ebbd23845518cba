"""Layouts of slots that may still be in force at some holder."""

from collections.abc import Mapping
from hashlib import sha256
from typing import Final

from attrs import Factory, define, frozen

from geraniumshelf_core.allowance.floors import Layout
from geraniumshelf_core.allowance.state import QUARANTINE_NS, lender_term
from geraniumshelf_core.units import Nanoseconds

# A loan of a share in a former layout may be outstanding for one term after its
# lender has confirmed the next revision.
SETTLING_TIME_NS: Final[Nanoseconds] = lender_term(QUARANTINE_NS)

_DIGEST_CHARACTERS: Final = 16

# With one heartbeat and 0.3 revisions per second, only a few are needed.
_MAX_REVISIONS: Final = 1000


def layout_digest(layout: Layout) -> str:
    """Return the digest that stands for a layout in the claim of a slot."""
    digest = sha256('\n'.join(layout).encode()).hexdigest()
    return digest[:_DIGEST_CHARACTERS]


@frozen
class DifferingClaims:
    """Claims of other slots whose layout differs from the own claim.

    Attributes:
        revisions: Revision in the claim, by slot.
        read_at: Time at which the last of them was read, nanoseconds.
    """

    revisions: Mapping[str, int]
    read_at: Nanoseconds


@define
class LayoutHistory:
    """Layouts by first revision, and when all holders had adopted them.

    A layout is settled once the own claim shows it and all other holders are
    known to have it too, from claims that were listed later or from later
    heartbeats, and the loans of the former layout have ended. A holder stays
    within its share of the last settled layout and of each later one, so one
    layout is common to all holders.
    """

    _known: dict[int, Layout] = Factory(dict)
    _adopted_at: dict[int, Nanoseconds] = Factory(dict)
    _revisions: dict[int, None] = Factory(dict)

    @property
    def since(self) -> int:
        """Return the first revision with the newest layout, 0 for none."""
        return max(self._known, default=0)

    def add(self, revision: int, layout: Layout) -> None:
        """Record the layout of a revision that is in force at this daemon.

        Only changes of the layout are kept, because a holder that is gone
        delays settling and there are 26,000 revisions per day.
        """
        if self._known.get(self.since) != layout:
            self._known[revision] = layout
            self._revisions.clear()
        self._revisions[revision] = None
        if len(self._revisions) > _MAX_REVISIONS:
            self._revisions.pop(next(iter(self._revisions)))

    def restart(self) -> None:
        """Start settling again, because the others did not wait for this one.

        Former layouts are dropped.
        """
        for former in tuple(self._known):
            if former < self.since:
                self._known.pop(former)
        self._adopted_at.clear()

    def record_adoption(
        self,
        differing: DifferingClaims | None,
        confirmed: Mapping[str, int],
        now: Nanoseconds,
    ) -> None:
        """Record whether all holders have adopted the newest layout.

        Args:
            differing: Claims that show another layout; ``None`` before all
                claims were listed.
            confirmed: Revision by slot in heartbeats that are later than these
                claims.
            now: Current time, nanoseconds.
        """
        if differing is not None and all(
            self._has_adopted(confirmed.get(slot, 0), claimed)
            for slot, claimed in differing.revisions.items()
        ):
            self._adopted_at.setdefault(self.since, now)
        last_settled = self._last_settled(now)
        for former in tuple(filter(last_settled.__gt__, self._known)):
            self._known.pop(former)
            self._adopted_at.pop(former, None)

    def in_force(self, now: Nanoseconds) -> tuple[Layout, ...]:
        """Return layouts whose shares may be in use or on loan.

        Returns:
            The layouts. The result is empty while a holder may have a layout
            that this daemon does not know; no floor may be used until then.
        """
        last_settled = self._last_settled(now)
        if last_settled == 0:
            return ()
        layouts = (
            layout
            for revision, layout in self._known.items()
            if revision >= last_settled
        )
        return tuple(dict.fromkeys(layouts))

    def _has_adopted(self, confirmed: int, claimed: int) -> bool:
        """Return whether a heartbeat later than a claim confirms the layout.

        Revisions that were never in force at this daemon may have had another
        layout.
        """
        return confirmed >= claimed and confirmed in self._revisions

    def _last_settled(self, now: Nanoseconds) -> int:
        """Return the newest revision that has settled, 0 for none."""
        settled = (
            revision
            for revision, adopted_at in self._adopted_at.items()
            if now - adopted_at >= SETTLING_TIME_NS
        )
        return max(settled, default=0)
