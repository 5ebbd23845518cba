"""Floors, owners and the book of this daemon."""

from collections.abc import Callable
from secrets import randbits
from typing import Any, Final

from attrs import Factory, define

from geraniumshelf_core.allowance.commands import set_floor
from geraniumshelf_core.allowance.floors import (
    Floor,
    Layout,
    slot_floor,
    slot_layout,
)
from geraniumshelf_core.allowance.layouts import LayoutHistory
from geraniumshelf_core.allowance.owners import account_owner, account_tags
from geraniumshelf_core.allowance.state import AllowanceLedger, Limit
from geraniumshelf_core.configuration.model import (
    ClientAccount,
    Configuration,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.allowances.interface import MembershipView, SlotUse
from geraniumshelf_daemon.replication.interface import ConfigurationSource

# Bounds the use of a floor after a claim or a revision has changed; the
# margins of claims are longer.
REFRESH_PERIOD: Final[Nanoseconds] = 100 * MILLISECOND_NS

_LOAN_ID_BITS: Final = 31


@define(eq=False)
class Shares:
    """The book of this daemon, kept in step with revisions and members."""

    instance: str
    clock: Callable[[], Nanoseconds]
    source: ConfigurationSource
    members: MembershipView
    slots: SlotUse
    book: AllowanceLedger = Factory(
        lambda: AllowanceLedger(randbits(_LOAN_ID_BITS))
    )
    accounts: dict[str, ClientAccount] = Factory(dict)
    tags: dict[int, str] = Factory(dict)
    tag_of: dict[str, int] = Factory(dict)
    _owners: dict[str, str | None] = Factory(dict)
    _pooled: tuple[int, ...] = ()
    _basis: tuple[Any, ...] = ()
    _holders: tuple[str, ...] = ()
    _revision: int = 0
    _claim_number: tuple[str, int] = ('', 0)
    _layouts: LayoutHistory = Factory(LayoutHistory)
    _refreshed_at: Nanoseconds | None = None

    def limit(self, account: str) -> Limit:
        """Return the limit of an account, with a floor that is up to date."""
        now = self.clock()
        last = self._refreshed_at
        if last is None or now - last >= REFRESH_PERIOD:
            self.refresh()
        return self.book.limit(account, now)

    def owner(self, account: str) -> str | None:
        """Return the instance at which an account is pooled."""
        return self._owners.get(account)

    def lenders(self) -> dict[str, tuple[int, ...]]:
        """Return the account tags to borrow floors of, by lender."""
        others = [each for each in self._holders if each != self.instance]
        return dict.fromkeys(others, self._pooled)

    def signature(self) -> tuple[Any, ...]:
        """Return what changes with the revision or the slot holders."""
        return (self._revision, self._holders)

    def has_floors(self) -> bool:
        """Tell whether the layouts in force are known here."""
        return bool(self._layouts.in_force(self.clock()))

    def refresh(self) -> None:
        """Recompute floors and owners if what they depend on has changed."""
        self._refreshed_at = self.clock()
        configuration = self.source.configuration
        if configuration is None:
            return
        self._read(configuration)
        layouts = self._layouts_in_force()
        slots = self.slots.usable_slots()
        basis = (self._revision, layouts, slots)
        if basis == self._basis:
            return
        self._basis = basis
        for name in set(self.accounts).union(self.book.limits):
            account = self.accounts.get(name, ClientAccount(name, 0, 0))
            floors = [
                slot_floor(account.rate_per_s, account.burst, slot, layouts)
                for slot in slots
            ]
            total = Floor(
                sum(floor.rate for floor in floors),
                sum(floor.capacity for floor in floors),
            )
            now = self.clock()
            set_floor(self.book.limit(name, now), total, now)

    def _layouts_in_force(self) -> tuple[Layout, ...]:
        number = self.slots.claim_identity()
        if number != self._claim_number:
            self._claim_number = number
            self._layouts.restart()
        unlike = self.slots.differing_claims(self._layouts.since)
        read_at = unlike.read_at if unlike else 0
        heard = self.members.confirmed_revisions(read_at)
        self._layouts.record_adoption(unlike, heard, self.clock())
        return self._layouts.in_force(self.clock())

    def _read(self, configuration: Configuration) -> None:
        revision = self.source.revision
        if revision != self._revision:
            self._revision = revision
            self._layouts.add(revision, slot_layout(configuration))
            self.accounts = {each.name: each for each in configuration.accounts}
            self.tags = account_tags(self.accounts)
            self.tag_of = {name: tag for tag, name in self.tags.items()}
            self._holders = ()
        holders = tuple(sorted(self.members.slot_holders().values()))
        if holders != self._holders:
            self._holders = holders
            self._owners = {
                name: account_owner(name, holders) for name in self.accounts
            }
            self._pooled = tuple(
                tag
                for tag, account in self.tags.items()
                if self.owner(account) == self.instance
            )
