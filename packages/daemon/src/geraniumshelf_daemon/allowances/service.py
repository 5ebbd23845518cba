"""Admission of requests by the allowances of client accounts."""

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
from geraniumshelf_daemon.allowances.floor_exchange import FloorExchange
from geraniumshelf_daemon.allowances.interface import MembershipView, SlotView
from geraniumshelf_daemon.allowances.local_limits import LocalLimits
from geraniumshelf_daemon.allowances.token_acquirer import TokenAcquirer
from geraniumshelf_daemon.allowances.token_lender import TokenLender
from geraniumshelf_daemon.allowances.token_queue import TokenQueue
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import gauge_metric
from geraniumshelf_daemon.peers.interface import PeerNetwork
from geraniumshelf_daemon.replication.interface import ConfigurationSource

# Half of the margin before the end of a loan in which unused tokens are
# returned.
_UPDATE_INTERVAL_MS: Final = 200
_RENEWAL_INTERVAL_NS: Final[Nanoseconds] = 2 * SECOND_NS
_WAIT_DIVISOR: Final = 4


@define(eq=False)
class AllowanceService:
    """Admits requests within the fleet-wide rate and burst of an account."""

    _instance: str
    _clock: Callable[[], Nanoseconds]
    _network: PeerNetwork
    _source: ConfigurationSource
    _members: MembershipView
    _slots: SlotView
    _limits: LocalLimits = field(init=False)
    _floor_exchange: FloorExchange = field(init=False)
    _queue: TokenQueue = field(init=False)
    _lender: TokenLender = field(init=False)
    _token_acquirer: TokenAcquirer = field(init=False)
    _exchange_tasks: set[asyncio.Task[None]] = field(
        init=False, default=Factory(set)
    )

    def __attrs_post_init__(self) -> None:
        self._limits = LocalLimits(
            self._instance,
            self._clock,
            self._source,
            self._members,
            self._slots,
        )
        self._floor_exchange = FloorExchange(self._limits, self._network)
        self._queue = TokenQueue(self._limits)
        self._lender = TokenLender(self._limits, self._network, self._queue)
        self._token_acquirer = TokenAcquirer(
            self._limits, self._network, self._queue
        )
        self._source.subscribe(lambda _: self._limits.refresh())

    async def acquire(self, account: str, wait_deadline: Nanoseconds) -> None:
        """Take one token of an account.

        Args:
            account: Account name.
            wait_deadline: Time at which the caller gives up, nanoseconds; at
                most a quarter of the time until then is spent here.

        Raises:
            RequestRefused: ``RATE_EXCEEDED`` with ``retry_after_s`` if no
                token was available.
        """
        self._limits.limit(account)
        max_time = max(0, (wait_deadline - self._clock()) // _WAIT_DIVISOR)
        is_known = account in self._limits.accounts
        if is_known and await self._token_acquirer.acquire(account, max_time):
            return
        raise RequestRefused(
            ResultCode.RATE_EXCEEDED,
            f'account {account} exceeded its rate and burst',
            retry_after_s=self._queue.retry_after_s(account),
        )

    def has_usable_floors(self) -> bool:
        """Return whether floors may be used.

        Until then no layout is in force, and the requests are refused.
        """
        return self._limits.has_layouts()

    async def run(self) -> None:
        """Exchange floors and return unused tokens until cancelled."""
        renewed_at = self._clock() - _RENEWAL_INTERVAL_NS
        while True:
            self._limits.refresh()
            self._token_acquirer.return_unused_tokens()
            now = self._clock()
            is_due = now - renewed_at >= _RENEWAL_INTERVAL_NS
            if is_due or self._floor_exchange.has_changed():
                renewed_at = now
                count = remove_ended_loans(self._limits.ledger, now)
                gauge_metric(Metric.LOANS_OUT, count)
                task = asyncio.create_task(
                    self._floor_exchange.exchange_floors()
                )
                self._exchange_tasks.add(task)
                task.add_done_callback(self._exchange_tasks.discard)
            await asyncio.sleep(
                ns_to_seconds(_UPDATE_INTERVAL_MS * MILLISECOND_NS)
            )

    def return_loans(self) -> None:
        """Return the borrowed floors at a graceful stop."""
        self._floor_exchange.return_all()
