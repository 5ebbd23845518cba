"""The allowances of client accounts."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import Factory, define, field

from geraniumshelf_core.allowance.commands import remove_ended_loans
from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    SECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.allowances.interface import MembershipView, SlotUse
from geraniumshelf_daemon.allowances.lender import TokenLender
from geraniumshelf_daemon.allowances.lending import FloorExchange
from geraniumshelf_daemon.allowances.queue import TokenQueue
from geraniumshelf_daemon.allowances.shares import Shares
from geraniumshelf_daemon.allowances.tokens import TokenDesk
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import gauge_metric
from geraniumshelf_daemon.peers.interface import PeerNetwork
from geraniumshelf_daemon.replication.interface import ConfigurationSource

# Half of the time before the end of a term in which unused tokens go back.
_TICK_MS: Final = 200
_RENEWAL_PERIOD: Final[Nanoseconds] = 2 * SECOND_NS
_WAIT_DIVISOR: Final = 4


@define(eq=False)
class AllowanceService:
    """Admits requests within the fleet-wide rate and burst of an account."""

    _instance: str
    _clock: Callable[[], Nanoseconds]
    _network: PeerNetwork
    _source: ConfigurationSource
    _members: MembershipView
    _slots: SlotUse
    _shares: Shares = field(init=False)
    _floors: FloorExchange = field(init=False)
    _queue: TokenQueue = field(init=False)
    _lender: TokenLender = field(init=False)
    _tokens: TokenDesk = field(init=False)
    _rounds: set[asyncio.Task[None]] = field(init=False, default=Factory(set))

    def __attrs_post_init__(self) -> None:
        self._shares = Shares(
            self._instance,
            self._clock,
            self._source,
            self._members,
            self._slots,
        )
        self._floors = FloorExchange(self._shares, self._network)
        self._queue = TokenQueue(self._shares)
        self._lender = TokenLender(self._shares, self._network, self._queue)
        self._tokens = TokenDesk(self._shares, self._network, self._queue)
        self._source.subscribe(lambda _: self._shares.refresh())

    async def acquire(self, account: str, give_up_at: Nanoseconds) -> None:
        """Take one token of an account.

        Args:
            account: Account name.
            give_up_at: When the caller gives up, nanoseconds.

        Raises:
            RequestRefused: ``RATE_EXCEEDED`` with ``retry_after_s``.
        """
        self._shares.limit(account)
        quarter = max(0, (give_up_at - self._clock()) // _WAIT_DIVISOR)
        is_known = account in self._shares.accounts
        if is_known and await self._tokens.acquire(account, quarter):
            return
        raise RequestRefused(
            ResultCode.RATE_EXCEEDED,
            f'account {account} is beyond its rate and burst',
            retry_after_s=self._queue.retry_after_s(account),
        )

    def has_usable_floors(self) -> bool:
        """Tell whether floors may be used; requests are refused before."""
        return self._shares.has_floors()

    async def run(self) -> None:
        """Exchange floors and settle token loans until cancelled."""
        renewed_at = self._clock() - _RENEWAL_PERIOD
        while True:
            self._shares.refresh()
            self._tokens.flush()
            now = self._clock()
            is_due = now - renewed_at >= _RENEWAL_PERIOD
            if is_due or self._floors.is_changed():
                renewed_at = now
                count = remove_ended_loans(self._shares.book, now)
                gauge_metric(Metric.LOANS_OUT, count)
                task = asyncio.create_task(self._floors.renew())
                self._rounds.add(task)
                task.add_done_callback(self._rounds.discard)
            await asyncio.sleep(ns_to_seconds(_TICK_MS * MILLISECOND_NS))

    def return_loans(self) -> None:
        """Give borrowed floors back, at a graceful stop."""
        self._floors.return_all()
