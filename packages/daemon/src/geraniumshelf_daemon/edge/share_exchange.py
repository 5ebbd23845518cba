"""Moves shares of limits between daemons."""

import asyncio
import heapq
from collections.abc import Callable
from random import Random
from typing import Final

from geraniumshelf_core.presence.queries import assigned_standbys
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.shares.holding import (
    borrow_whole_share,
    held_shares,
    lend_whole_share,
)
from geraniumshelf_core.shares.loans import LOAN_TERM_NS, wanted_loans
from geraniumshelf_core.shares.messages import (
    ShareLoan,
    ShareRequest,
    WholeShareLoan,
    WholeShareRequest,
)
from geraniumshelf_core.shares.owners import (
    lend_to_owner,
    owned_accounts,
    owner_loan_term,
)
from geraniumshelf_core.shares.quotas import (
    Quotas,
    borrow_share,
    lend_share,
    measure_needs,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.messages import encode_message
from geraniumshelf_daemon.edge.owners import OwnerView

# Time between two rounds of questions; a term covers two of them.
_ROUND_S: Final = 0.5
# The same where shares are gathered, for shorter terms.
_GATHERING_ROUND_S: Final = 0.2
_SPREAD: Final = 0.2
# Whole shares have a term of 1 s and stay with the same entry.
_STANDBY_ROUND_MS: Final = 350
_STANDBY_ROUND_NS: Final[Nanoseconds] = _STANDBY_ROUND_MS * MILLISECOND_NS
# Accounts in one datagram, which must not be cut on the way.
_MOST_ACCOUNTS: Final = 60


class ShareExchange:
    """Asks other daemons for shares and answers theirs.

    Args:
        presence: What is known of the other daemons.
        owners: Who gathers the shares of accounts.
        quotas: Shares of this daemon.
        port: Sends and takes messages.
        own_heartbeat: Returns the newest beat of this daemon.
        clock: Returns the current time, nanoseconds.
        random: Spreads the questions of the daemons.
    """

    def __init__(
        self,
        presence: PresenceState,
        owners: OwnerView,
        quotas: Quotas,
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
        port.register(ShareRequest, self._lend)
        port.register(ShareLoan, self._borrow)
        port.register(WholeShareRequest, self._lend_whole)
        port.register(WholeShareLoan, self._borrow_whole)

    async def run(self) -> None:
        """Ask for shares until the task is cancelled."""
        standbys_asked_at = 0
        while True:
            now = self._clock()
            self._owners.update()
            if not self._own_heartbeat().is_standby:
                self._ask_accounts(now)
                if now - standbys_asked_at >= _STANDBY_ROUND_NS:
                    standbys_asked_at = now
                    self._ask_standbys(now)
            pause = _ROUND_S
            if self._owners.is_pooling:
                pause = _GATHERING_ROUND_S
            spread = 1 + _SPREAD * (self._random.random() - 0.5)
            await asyncio.sleep(pause * spread)

    def _ask_accounts(self, now: Nanoseconds) -> None:
        is_pooling = self._owners.is_pooling
        entries = [
            one.heartbeat
            for name, one in self._presence.peers.items()
            if not one.heartbeat.is_standby
            and (not is_pooling or self._owners.is_near(name))
        ]
        wanted = self._wanted(len(entries), now)
        names = tuple(wanted)
        for start in range(0, len(names), _MOST_ACCOUNTS):
            part = {
                name: wanted[name]
                for name in names[start : start + _MOST_ACCOUNTS]
            }
            datagram = encode_message(
                ShareRequest(self._own_heartbeat().name, now, part)
            )
            for beat in entries:
                self._port.send_encoded(beat.ip, datagram)

    def _wanted(self, entries: int, now: Nanoseconds) -> dict[str, float]:
        # Demand is measured in any case; tokens of shares are applied by it.
        needs = measure_needs(self._quotas, now)
        if self._owners.is_pooling:
            name = self._own_heartbeat().name
            owned = owned_accounts(self._owners.near, self._quotas, name)
            return dict.fromkeys(owned, float(len(self._presence.registered)))
        held = held_shares(self._quotas.holding, now)
        wanted = wanted_loans(needs, held, entries)
        most = heapq.nlargest(_MOST_ACCOUNTS, wanted, key=wanted.__getitem__)
        return {name: wanted[name] for name in most}

    def _ask_standbys(self, now: Nanoseconds) -> None:
        own = self._own_heartbeat()
        datagram = encode_message(WholeShareRequest(own.name, now))
        for beat in assigned_standbys(self._presence, own):
            self._port.send_encoded(beat.ip, datagram)

    def _lend(self, request: ShareRequest) -> None:
        now = self._clock()
        term = LOAN_TERM_NS
        if self._owners.is_pooling:
            term = owner_loan_term(self._quotas.holding, now)
        lent = {}
        for account, wanted in request.wanted.items():
            part = self._lend_part(request.name, account, wanted, term)
            if part:
                lent[account] = part
        if lent:
            loan = ShareLoan(
                self._own_heartbeat().name, request.requested_at, term, lent
            )
            self._answer(request.name, loan)

    def _lend_part(
        self, name: str, account: str, wanted: float, term: Nanoseconds
    ) -> float:
        now = self._clock()
        if self._owners.find(account) == name:
            return lend_to_owner(self._quotas, account, name, term, now)
        return lend_share(self._quotas, account, name, wanted, now)

    def _borrow(self, loan: ShareLoan) -> None:
        for account, part in loan.lent.items():
            borrow_share(
                self._quotas,
                account,
                loan.name,
                part,
                loan.requested_at,
                loan.term,
            )

    def _lend_whole(self, request: WholeShareRequest) -> None:
        own = self._own_heartbeat()
        if own.is_standby and lend_whole_share(
            self._quotas.holding, request.name, self._clock()
        ):
            loan = WholeShareLoan(own.name, request.requested_at)
            self._answer(request.name, loan)

    def _borrow_whole(self, loan: WholeShareLoan) -> None:
        borrow_whole_share(self._quotas.holding, loan.name, loan.requested_at)

    def _answer(self, name: str, loan: ShareLoan | WholeShareLoan) -> None:
        neighbour = self._presence.peers.get(name)
        if neighbour is not None:
            self._port.send(neighbour.heartbeat.ip, loan)
