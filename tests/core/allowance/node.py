"""A daemon of a simulated fleet, with its own clock."""

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
    """Rate and burst of the limit, and the declared slots."""

    rate: int
    burst: int
    layout: Layout


@define
class Node:
    """A daemon with its ledger and its knowledge of the other daemons."""

    name: str
    slots: tuple[str, ...]
    drift_ppm: int
    ledger: AllowanceLedger
    usable_at: int = 0
    layouts: LayoutHistory = Factory(LayoutHistory)
    revision: int = 0
    confirmed_revisions: dict[str, int] = Factory(dict)
    claimed_revision: int = 0
    differing: DifferingClaims | None = None
    request_times: dict[int, int] = Factory(dict)
    unsettled: list[tuple[str, int]] = Factory(list)

    @property
    def limit(self) -> Limit:
        return self.ledger.limits[ACCOUNT]
