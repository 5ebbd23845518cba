"""Lends and borrows shares of rate limits between daemons."""

import asyncio
import heapq
from collections.abc import Callable
from random import Random
from typing import Final

from geraniumshelf_core.presence.queries import assigned_standbys
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.shares.loan_tokens import (
    MIN_TOKENS,
    AcceptedTokens,
    accept_loan_tokens,
    lend_with_tokens,
    unused_time,
)
from geraniumshelf_core.shares.loans import LOAN_TERM_NS, wanted_loans
from geraniumshelf_core.shares.messages import (
    LoanTokens,
    ShareLoan,
    ShareRequest,
    WholeShareLoan,
    WholeShareRequest,
)
from geraniumshelf_core.shares.owners import (
    owned_accounts,
    owner_loan_term,
)
from geraniumshelf_core.shares.quotas import (
    AccountQuotas,
    borrow_share,
    lend_share,
    measure_needs,
)
from geraniumshelf_core.shares.whole_shares import (
    borrow_whole_share,
    count_shares,
    lend_whole_share,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.messages import encode_message
from geraniumshelf_daemon.edge.owners import OwnerView
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

# Interval between two rounds of requests; the term of a loan covers two of
# them.
_REQUEST_INTERVAL_S: Final = 0.5
# The interval while owners pool shares, whose loans have shorter terms.
_POOLING_INTERVAL_S: Final = 0.2
_JITTER_FRACTION: Final = 0.2
# Interval of requests for whole shares: their loans have a term of 1 s and
# stay with the same entry instance.
_STANDBY_INTERVAL_MS: Final = 350
_STANDBY_INTERVAL_NS: Final[Nanoseconds] = _STANDBY_INTERVAL_MS * MILLISECOND_NS
# Maximum number of accounts in one datagram: a datagram must not be fragmented
# on the network path.
_MAX_ACCOUNTS: Final = 60


class ShareExchange:
    """Requests shares from other daemons and replies to theirs.

    Args:
        presence: State of the other daemons.
        owners: Daemons that pool the shares of accounts.
        quotas: Shares of this daemon.
        port: Sends and receives messages.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        clock: Returns the current time, nanoseconds.
        random: Adds jitter, so that daemons do not send at the same time.
    """

    def __init__(
        self,
        presence: PresenceState,
        owners: OwnerView,
        quotas: AccountQuotas,
        port: DatagramPort,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._presence = presence
        self._owners = owners
        self._quotas = quotas
        self._port = port
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._random = random
        self._accepted = AcceptedTokens()
        port.register(ShareRequest, self._lend)
        port.register(ShareLoan, self._borrow)
        port.register(WholeShareRequest, self._lend_whole)
        port.register(WholeShareLoan, self._borrow_whole)
        port.register(LoanTokens, self._accept_tokens)

    async def run(self) -> None:
        """Request shares until the task is cancelled."""
        standbys_requested_at = 0
        while True:
            now = self._clock()
            self._owners.update()
            if not self._own_heartbeat().is_standby:
                self._request_shares(now)
                if now - standbys_requested_at >= _STANDBY_INTERVAL_NS:
                    standbys_requested_at = now
                    self._request_standby_shares(now)
            interval = _REQUEST_INTERVAL_S
            if self._owners.is_pooling:
                interval = _POOLING_INTERVAL_S
            jitter = 1 + _JITTER_FRACTION * (self._random.random() - 0.5)
            await asyncio.sleep(interval * jitter)

    def _request_shares(self, now: Nanoseconds) -> None:
        is_pooling = self._owners.is_pooling
        entries = [
            peer.heartbeat
            for name, peer in self._presence.peers.items()
            if not peer.heartbeat.is_standby
            and (not is_pooling or self._owners.is_in_own_region(name))
        ]
        wanted = self._choose_accounts(len(entries), now)
        names = tuple(wanted)
        for start in range(0, len(names), _MAX_ACCOUNTS):
            batch = {
                name: wanted[name]
                for name in names[start : start + _MAX_ACCOUNTS]
            }
            datagram = encode_message(
                ShareRequest(self._own_heartbeat().name, now, batch)
            )
            for entry in entries:
                self._port.send_encoded(entry.ip, datagram)

    def _choose_accounts(
        self, entries: int, now: Nanoseconds
    ) -> dict[str, float]:
        # Demand is measured even while owners pool shares, because this also
        # applies loans to the token buckets.
        needs = measure_needs(self._quotas, now)
        if self._owners.is_pooling:
            name = self._own_heartbeat().name
            owned = owned_accounts(
                self._owners.own_region_owners, self._quotas, name
            )
            return dict.fromkeys(owned, float(len(self._presence.registered)))
        held = count_shares(self._quotas.whole_shares, now)
        wanted = wanted_loans(needs, held, entries)
        accounts = heapq.nlargest(_MAX_ACCOUNTS, wanted, key=wanted.__getitem__)
        return {name: wanted[name] for name in accounts}

    def _request_standby_shares(self, now: Nanoseconds) -> None:
        own_heartbeat = self._own_heartbeat()
        datagram = encode_message(WholeShareRequest(own_heartbeat.name, now))
        for standby in assigned_standbys(self._presence, own_heartbeat):
            self._port.send_encoded(standby.ip, datagram)

    def _lend(self, request: ShareRequest) -> None:
        now = self._clock()
        term = LOAN_TERM_NS
        if self._owners.is_pooling:
            term = owner_loan_term(self._quotas.whole_shares, now)
        lent = {}
        tokens = {}
        for account, wanted in request.wanted.items():
            share, surplus = self._lend_share(
                request.name, account, wanted, term
            )
            if share:
                lent[account] = share
            if surplus >= MIN_TOKENS:
                tokens[account] = surplus
        name = self._own_heartbeat().name
        if lent:
            loan = ShareLoan(name, request.requested_at, term, lent)
            self._reply(request.name, loan)
        self._send_tokens(request, 0, tokens)

    def _lend_share(
        self, name: str, account: str, wanted: float, term: Nanoseconds
    ) -> tuple[float, float]:
        """Lend shares; return them and the tokens that the bucket loses."""
        now = self._clock()
        if self._owners.owner_of(account) == name:
            return lend_with_tokens(self._quotas, account, name, term, now)
        return lend_share(self._quotas, account, name, wanted, now), 0

    def _borrow(self, loan: ShareLoan) -> None:
        for account, share in loan.lent.items():
            borrow_share(
                self._quotas,
                account,
                loan.name,
                share,
                loan.requested_at,
                loan.term,
            )

    def _lend_whole(self, request: WholeShareRequest) -> None:
        own_heartbeat = self._own_heartbeat()
        whole_shares = self._quotas.whole_shares
        now = self._clock()
        unused = unused_time(whole_shares, now)
        if not own_heartbeat.is_standby or not lend_whole_share(
            whole_shares, request.name, now
        ):
            return
        name = own_heartbeat.name
        self._reply(request.name, WholeShareLoan(name, request.requested_at))
        self._send_tokens(request, unused, {})

    def _borrow_whole(self, loan: WholeShareLoan) -> None:
        borrow_whole_share(
            self._quotas.whole_shares, loan.name, loan.requested_at
        )

    def _send_tokens(
        self,
        request: ShareRequest | WholeShareRequest,
        unused: Nanoseconds,
        tokens: dict[str, float],
    ) -> None:
        if self._quotas.policies.lends_tokens and (unused or tokens):
            name = self._own_heartbeat().name
            message = LoanTokens(name, request.requested_at, unused, tokens)
            self._reply(request.name, message)

    def _accept_tokens(self, message: LoanTokens) -> None:
        if self._own_heartbeat().is_standby:
            return
        now = self._clock()
        if accept_loan_tokens(self._accepted, self._quotas, message, now):
            count_metric(Metric.LOAN_TOKENS_ACCEPTED)

    def _reply(
        self, name: str, reply: ShareLoan | WholeShareLoan | LoanTokens
    ) -> None:
        peer = self._presence.peers.get(name)
        if peer is not None:
            self._port.send(peer.heartbeat.ip, reply)
