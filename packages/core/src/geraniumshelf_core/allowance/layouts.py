"""Layouts of slots that some holder may still have in force."""

from collections.abc import Mapping
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.allowance.floors import Layout
from geraniumshelf_core.allowance.state import QUARANTINE, lender_term
from geraniumshelf_core.units import Nanoseconds

# A loan of a share in a former layout may be out for one term after its
# lender has confirmed the next revision.
SETTLING_TIME: Final[Nanoseconds] = lender_term(QUARANTINE)


@define
class LayoutHistory:
    """The layouts by revision, and when all holders had confirmed them."""

    _known: dict[int, Layout] = Factory(dict)
    _confirmed_at: dict[int, Nanoseconds] = Factory(dict)

    def add(self, revision: int, layout: Layout) -> None:
        """Remember the layout of a revision in force here.

        Only changes are kept: a holder that is gone holds up settling, and
        there are 26,000 revisions a day.
        """
        newest = max(self._known, default=0)
        if self._known.get(newest) != layout:
            self._known[revision] = layout

    def note(self, confirmed: Mapping[str, int], now: Nanoseconds) -> None:
        """Note which revisions all holders have confirmed.

        Args:
            confirmed: Last confirmed revision per slot ever seen.
            now: Nanoseconds.
        """
        oldest = min(confirmed.values(), default=0)
        for revision in self._known:
            if revision <= oldest:
                self._confirmed_at.setdefault(revision, now)
        start = self._start(now)
        for past in tuple(filter(start.__gt__, self._known)):
            self._known.pop(past)
            self._confirmed_at.pop(past, None)

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

    def _start(self, now: Nanoseconds) -> int:
        """Return the newest revision that has settled, 0 for none."""
        settled = (
            revision
            for revision, since in self._confirmed_at.items()
            if now - since >= SETTLING_TIME
        )
        return max(settled, default=0)
