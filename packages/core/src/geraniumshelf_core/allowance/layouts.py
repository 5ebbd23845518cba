"""Layouts of slots that some holder may still have in force."""

from collections.abc import Mapping
from hashlib import sha256
from typing import Final

from attrs import Factory, define, frozen

from geraniumshelf_core.allowance.floors import Layout
from geraniumshelf_core.allowance.state import QUARANTINE_NS, lender_term
from geraniumshelf_core.units import Nanoseconds

# A loan of a share in a former layout may be out for one term after its
# lender has confirmed the next revision.
SETTLING_TIME_NS: Final[Nanoseconds] = lender_term(QUARANTINE_NS)

_DIGEST_CHARACTERS: Final = 16

# A heartbeat a second and 0.3 revisions a second need a few of them.
_MOST_REVISIONS: Final = 1000


def layout_digest(layout: Layout) -> str:
    """Return the name of a layout in the claim of a slot."""
    digest = sha256('\n'.join(layout).encode()).hexdigest()
    return digest[:_DIGEST_CHARACTERS]


@frozen
class DifferingClaims:
    """The claims of other slots that show another layout.

    Attributes:
        revisions: Revision in the claim, by slot.
        read_at: When the last of them was read, nanoseconds.
    """

    revisions: Mapping[str, int]
    read_at: Nanoseconds


@define
class LayoutHistory:
    """The layouts by first revision, and when all holders had adopted them.

    A holder stays within its share of each layout from the last one on that
    had settled for it. A layout settles once the own claim shows it and all
    other holders are known to have it too, from claims that were listed
    later or from later heartbeats. So one layout is common to all holders.
    """

    _known: dict[int, Layout] = Factory(dict)
    _adopted_at: dict[int, Nanoseconds] = Factory(dict)
    _revisions: dict[int, None] = Factory(dict)

    @property
    def since(self) -> int:
        """Return the first revision with the newest layout, 0 for none."""
        return max(self._known, default=0)

    def add(self, revision: int, layout: Layout) -> None:
        """Remember the layout of a revision in force here.

        Only changes are kept: a holder that is gone holds up settling, and
        there are 26,000 revisions a day.
        """
        if self._known.get(self.since) != layout:
            self._known[revision] = layout
            self._revisions.clear()
        self._revisions[revision] = None
        if len(self._revisions) > _MOST_REVISIONS:
            self._revisions.pop(next(iter(self._revisions)))

    def restart(self) -> None:
        """Settle anew, because the others did not wait for this daemon."""
        for past in tuple(self._known):
            if past < self.since:
                self._known.pop(past)
        self._adopted_at.clear()

    def record_adoption(
        self,
        unlike: DifferingClaims | None,
        heard: Mapping[str, int],
        now: Nanoseconds,
    ) -> None:
        """Note whether all holders have adopted the newest layout.

        Args:
            unlike: Claims that show another layout; ``None`` before all
                were listed.
            heard: Revision by slot in heartbeats later than these.
            now: Nanoseconds.
        """
        if unlike is not None and all(
            self._has_adopted(heard.get(slot, 0), claimed)
            for slot, claimed in unlike.revisions.items()
        ):
            self._adopted_at.setdefault(self.since, now)
        start = self._start(now)
        for past in tuple(filter(start.__gt__, self._known)):
            self._known.pop(past)
            self._adopted_at.pop(past, None)

    def in_force(self, now: Nanoseconds) -> tuple[Layout, ...]:
        """Return layouts with shares that may be in use or out on loan.

        Returns:
            The layouts; none while a holder may have one that is not known
            here, and then no floor may be used.
        """
        start = self._start(now)
        if start == 0:
            return ()
        layouts = (
            layout for past, layout in self._known.items() if past >= start
        )
        return tuple(dict.fromkeys(layouts))

    def _has_adopted(self, heard: int, claimed: int) -> bool:
        """Tell whether a heartbeat later than a claim shows the layout.

        Revisions that were never in force here may have had another one.
        """
        return heard >= claimed and heard in self._revisions

    def _start(self, now: Nanoseconds) -> int:
        """Return the newest revision that has settled, 0 for none."""
        settled = (
            revision
            for revision, since in self._adopted_at.items()
            if now - since >= SETTLING_TIME_NS
        )
        return max(settled, default=0)
