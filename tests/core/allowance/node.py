"""One daemon of a simulated fleet, on its own clock."""

from attrs import Factory, define

from geraniumshelf_core.allowance.floors import (
    Layout,
)
from geraniumshelf_core.allowance.layouts import (
    DifferingClaims,
    LayoutHistory,
)
from geraniumshelf_core.allowance.state import (
    AllowanceLedger,
    Limit,
)

ACCOUNT = 'vendor'


@define
class Revision:
    """Totals of the limit and the declared slots."""

    rate: int
    burst: int
    layout: Layout


@define
class Node:
    """A daemon with its book and its view of the others."""

    name: str
    slots: tuple[str, ...]
    drift_ppm: int
    book: AllowanceLedger
    usable_at: int = 0
    layouts: LayoutHistory = Factory(LayoutHistory)
    revision: int = 0
    heard: dict[str, int] = Factory(dict)
    claimed: int = 0
    unlike: DifferingClaims | None = None
    asked: dict[int, int] = Factory(dict)
    settled: list[tuple[str, int]] = Factory(list)

    @property
    def limit(self) -> Limit:
        return self.book.limits[ACCOUNT]
