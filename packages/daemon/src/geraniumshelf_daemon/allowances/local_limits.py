"""Floors, account owners and the allowance ledger of this daemon."""

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
from geraniumshelf_daemon.allowances.interface import MembershipView, SlotView
from geraniumshelf_daemon.replication.interface import ConfigurationSource

# Bounds how long a floor is used after a claim or a revision has changed. The
# time margins of claims are longer.
REFRESH_INTERVAL_NS: Final[Nanoseconds] = 100 * MILLISECOND_NS

_LOAN_ID_BITS: Final = 31


@define(eq=False)
class LocalLimits:
    """The limits at this daemon, updated with revisions, slots and members."""

    instance: str
    clock: Callable[[], Nanoseconds]
    source: ConfigurationSource
    members: MembershipView
    slots: SlotView
    ledger: AllowanceLedger = Factory(
        lambda: AllowanceLedger(randbits(_LOAN_ID_BITS))
    )
    accounts: dict[str, ClientAccount] = Factory(dict)
    accounts_by_tag: dict[int, str] = Factory(dict)
    tags_by_account: dict[str, int] = Factory(dict)
    _owners: dict[str, str | None] = Factory(dict)
    _owned_tags: tuple[int, ...] = ()
    _floor_inputs: tuple[Any, ...] = ()
    _holders: tuple[str, ...] = ()
    _revision: int = 0
    _claim_identity: tuple[str, int] = ('', 0)
    _layouts: LayoutHistory = Factory(LayoutHistory)
    _refreshed_at: Nanoseconds | None = None

    def limit(self, account: str) -> Limit:
        """Return the limit of an account with an up-to-date floor."""
        now = self.clock()
        last = self._refreshed_at
        if last is None or now - last >= REFRESH_INTERVAL_NS:
            self.refresh()
        return self.ledger.limit(account, now)

    def owner(self, account: str) -> str | None:
        """Return the instance that owns an account and pools its tokens."""
        return self._owners.get(account)

    def lenders(self) -> dict[str, tuple[int, ...]]:
        """Return the tags of the accounts to borrow floors for, by lender."""
        others = [holder for holder in self._holders if holder != self.instance]
        return dict.fromkeys(others, self._owned_tags)

    def signature(self) -> tuple[Any, ...]:
        """Return a value that changes with the revision or slot holders."""
        return (self._revision, self._holders)

    def has_layouts(self) -> bool:
        """Return whether all layouts that may be in use are known here."""
        return bool(self._layouts.in_force(self.clock()))

    def refresh(self) -> None:
        """Recompute floors and owners if their inputs have changed."""
        self._refreshed_at = self.clock()
        configuration = self.source.configuration
        if configuration is None:
            return
        self._update_accounts(configuration)
        layouts = self._layouts_in_force()
        slots = self.slots.usable_slots()
        floor_inputs = (self._revision, layouts, slots)
        if floor_inputs == self._floor_inputs:
            return
        self._floor_inputs = floor_inputs
        for name in set(self.accounts).union(self.ledger.limits):
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
            set_floor(self.ledger.limit(name, now), total, now)

    def _layouts_in_force(self) -> tuple[Layout, ...]:
        identity = self.slots.claim_identity()
        if identity != self._claim_identity:
            self._claim_identity = identity
            self._layouts.restart()
        differing = self.slots.differing_claims(self._layouts.since)
        read_at = differing.read_at if differing else 0
        confirmed = self.members.confirmed_revisions(read_at)
        self._layouts.record_adoption(differing, confirmed, self.clock())
        return self._layouts.in_force(self.clock())

    def _update_accounts(self, configuration: Configuration) -> None:
        revision = self.source.revision
        if revision != self._revision:
            self._revision = revision
            self._layouts.add(revision, slot_layout(configuration))
            self.accounts = {
                account.name: account for account in configuration.accounts
            }
            self.accounts_by_tag = account_tags(self.accounts)
            self.tags_by_account = {
                name: tag for tag, name in self.accounts_by_tag.items()
            }
            self._holders = ()
        holders = tuple(sorted(self.members.slot_holders().values()))
        if holders != self._holders:
            self._holders = holders
            self._owners = {
                name: account_owner(name, holders) for name in self.accounts
            }
            self._owned_tags = tuple(
                tag
                for tag, account in self.accounts_by_tag.items()
                if self.owner(account) == self.instance
            )
