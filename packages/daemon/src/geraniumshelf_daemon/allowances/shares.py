"""Floors, owners and the book of this daemon."""

from collections.abc import Callable, Mapping
from secrets import randbits
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.allowance.commands import advance, set_floor
from geraniumshelf_core.allowance.floors import (
    Floor,
    Layout,
    layouts_in_force,
    slot_floor,
    slot_layout,
)
from geraniumshelf_core.allowance.owners import account_owners, account_tags
from geraniumshelf_core.allowance.queries import has_ended_loan
from geraniumshelf_core.allowance.state import Book, Limit
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
    book: Book = Factory(lambda: Book(randbits(_LOAN_ID_BITS)))
    accounts: dict[str, ClientAccount] = Factory(dict)
    tags: dict[int, str] = Factory(dict)
    tag_of: dict[str, int] = Factory(dict)
    _owners: dict[str, dict[str, str]] = Factory(dict)
    _regions: dict[str, str] = Factory(dict)
    _layouts: dict[int, Layout] = Factory(dict)
    _refreshed_at: Nanoseconds | None = None
    _lenders: dict[str, tuple[int, ...]] = Factory(dict)
    # Revision, own slots and layouts that the floors were computed from.
    _basis: tuple[int, tuple[str, ...], tuple[Layout, ...]] | None = None

    def limit(self, account: str) -> Limit:
        """Return the limit of an account, with a floor that is up to date."""
        self.refresh_if_due()
        return self.book.limit(account, self.clock())

    def owners(self, account: str, instance: str) -> list[str]:
        """Return the owners for an instance, that of its region first."""
        by_region = self._owners.get(account, {})
        first = by_region.get(self._regions.get(instance, ''))
        rest = sorted(set(by_region.values()))
        return sorted(rest, key=lambda owner: owner != first)

    def lenders(self) -> dict[str, tuple[int, ...]]:
        """Return the account tags to borrow floors of, by lender."""
        return self._lenders

    def refresh_if_due(self) -> None:
        """Refresh unless this was done a short time ago."""
        last = self._refreshed_at
        if last is None or self.clock() - last >= REFRESH_PERIOD:
            self.refresh()

    def refresh(self) -> None:
        """Recompute floors and owners if what they depend on has changed."""
        now = self.clock()
        self._refreshed_at = now
        configuration = self.source.configuration
        if configuration is None:
            return
        self._read(configuration)
        layouts = self._possible_layouts()
        slots = self.slots.usable_slots()
        basis = (self.source.revision, slots, layouts)
        if basis == self._basis:
            self._end_loans(now)
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
            set_floor(self.book.limit(name, now), total, now)

    def _end_loans(self, now: Nanoseconds) -> None:
        for limit in self.book.limits.values():
            if has_ended_loan(limit, now):
                advance(limit, now)

    def _pools(self, account: str, region: str) -> bool:
        owner = self._owners.get(account, {}).get(region)
        return owner == self.instance

    def _read(self, configuration: Configuration) -> None:
        revision = self.source.revision
        if revision not in self._layouts:
            self._layouts[revision] = slot_layout(configuration)
            self.accounts = {each.name: each for each in configuration.accounts}
            self.tags = account_tags(self.accounts)
            self.tag_of = {name: tag for tag, name in self.tags.items()}
            self._regions = {}
            self._lenders = {}
        regions = _instance_regions(configuration, self.members.slot_holders())
        if regions != self._regions:
            self._regions = regions
            self._owners = {
                name: account_owners(name, account.burst, regions)
                for name, account in self.accounts.items()
            }
            self._lenders = self._find_lenders()

    def _find_lenders(self) -> dict[str, tuple[int, ...]]:
        return {
            lender: tuple(
                tag
                for tag, account in self.tags.items()
                if self._pools(account, region)
            )
            for lender, region in self._regions.items()
            if lender != self.instance
        }

    def _possible_layouts(self) -> tuple[Layout, ...]:
        confirmed = self.members.confirmed_revisions()
        oldest = min(confirmed.values(), default=0)
        past = [each for each in self._layouts if each <= oldest]
        for revision in sorted(past)[:-1]:
            self._layouts.pop(revision)
        return layouts_in_force(self._layouts, confirmed, self.source.revision)


def _instance_regions(
    configuration: Configuration, holders: Mapping[str, str]
) -> dict[str, str]:
    regions = {zone.name: zone.region for zone in configuration.zones}
    return {
        instance: regions.get(slot.rpartition('/')[0], '')
        for slot, instance in sorted(holders.items())
    }
