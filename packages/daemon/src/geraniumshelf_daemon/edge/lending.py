"""Moves shares of limits and tokens between daemons."""

import asyncio
import heapq
from collections.abc import Callable, Mapping
from random import Random
from typing import Final

from geraniumshelf_core.presence.queries import is_large, sponsored_standbys
from geraniumshelf_core.presence.state import Beat, PresenceState
from geraniumshelf_core.shares.gathering import (
    AccountOwners,
    find_owner,
    lend_all,
    loan_term,
    owned_accounts,
    set_entries,
)
from geraniumshelf_core.shares.holding import (
    borrow_whole,
    held_shares,
    lend_whole,
)
from geraniumshelf_core.shares.loans import TERM_NS, wanted_loans
from geraniumshelf_core.shares.messages import (
    ShareLoan,
    ShareRequest,
    TokenGrant,
    TokenRequest,
    WholeShareLoan,
    WholeShareRequest,
)
from geraniumshelf_core.shares.quotas import (
    Quotas,
    borrow_share,
    lend_share,
    measure_needs,
    wait_for_admission,
)
from geraniumshelf_core.shares.transfers import Reach, hand_out
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.messages import encode_message
from geraniumshelf_daemon.edge.tokens import TokenQuestion

# Time between two rounds of questions; a term covers two of them.
_ROUND_S: Final = 0.4
_SPREAD: Final = 0.2
# Accounts in one datagram, which must not be cut on the way.
_MOST_ACCOUNTS: Final = 60
# Entries that are asked for the same tokens; what comes twice is lost.
_ASKED_ENTRIES: Final = 2


class ShareExchange:
    """Asks other daemons for shares and tokens and answers theirs.

    Args:
        presence: What is known of the other daemons.
        quotas: Shares of this daemon.
        port: Sends and takes messages.
        own_beat: Returns the newest beat of this daemon.
        clock: Returns the current time, nanoseconds.
        random: Spreads the questions of the daemons.
        regions: Region by zone.
    """

    def __init__(
        self,
        presence: PresenceState,
        quotas: Quotas,
        port: DatagramPort,
        own_beat: Callable[[], Beat],
        clock: Callable[[], Nanoseconds],
        random: Random,
        regions: Mapping[str, str],
    ) -> None:
        self._presence = presence
        self._quotas = quotas
        self._port = port
        self._own_beat = own_beat
        self._clock = clock
        self._random = random
        self._regions = regions
        self._owners = AccountOwners()
        port.register(ShareRequest, self._lend)
        port.register(ShareLoan, self._borrow)
        port.register(WholeShareRequest, self._lend_whole)
        port.register(WholeShareLoan, self._borrow_whole)
        port.register(TokenRequest, self._hand_out)

    async def run(self) -> None:
        """Ask for shares until the task is cancelled."""
        while True:
            self._update_owners()
            if not self._own_beat().is_standby:
                self._ask_accounts(self._clock())
                self._ask_standbys(self._clock())
            spread = 1 + _SPREAD * (self._random.random() - 0.5)
            await asyncio.sleep(_ROUND_S * spread)

    def has_owner(self, account: str) -> bool:
        """Return whether another daemon gathers the shares of an account."""
        return self._owner_address(account) is not None

    def ask_tokens(self, question: TokenQuestion, now: Nanoseconds) -> None:
        """Ask other entries for tokens of an account."""
        datagram = encode_message(
            TokenRequest(
                self._own_beat().name, now, question.account, question.wanted
            )
        )
        for ip in self._asked(question):
            self._port.send_encoded(ip, datagram)

    def _asked(self, question: TokenQuestion) -> list[str]:
        if question.reach is Reach.OWNER:
            owner = self._owner_address(question.account)
            return [owner] if owner else []
        region = self._regions.get(self._own_beat().zone)
        is_near = question.reach is Reach.REGION
        addresses = [
            beat.ip
            for beat in self._beats()
            if beat.is_ready
            and (self._regions.get(beat.zone) == region) is is_near
        ]
        asked = min(len(addresses), _ASKED_ENTRIES)
        return self._random.sample(addresses, asked)

    def _owner_address(self, account: str) -> str | None:
        owner = find_owner(self._owners, account)
        neighbour = self._presence.neighbours.get(owner or '')
        return neighbour.beat.ip if neighbour else None

    def _beats(self) -> list[Beat]:
        return [one.beat for one in self._presence.neighbours.values()]

    def _update_owners(self) -> None:
        if not is_large(self._presence):
            set_entries(self._owners, ())
            return
        beats = (self._own_beat(), *self._beats())
        ready = (beat.name for beat in beats if beat.is_ready)
        set_entries(self._owners, ready)

    def _ask_accounts(self, now: Nanoseconds) -> None:
        entries = [beat for beat in self._beats() if not beat.is_standby]
        wanted = self._wanted(len(entries), now)
        names = tuple(wanted)
        for start in range(0, len(names), _MOST_ACCOUNTS):
            part = {
                name: wanted[name]
                for name in names[start : start + _MOST_ACCOUNTS]
            }
            datagram = encode_message(
                ShareRequest(self._own_beat().name, now, part)
            )
            for beat in entries:
                self._port.send_encoded(beat.ip, datagram)

    def _wanted(self, entries: int, now: Nanoseconds) -> dict[str, float]:
        # Demand is measured in any case; tokens of shares are applied by it.
        needs = measure_needs(self._quotas, now)
        if self._owners.entries:
            name = self._own_beat().name
            owned = owned_accounts(self._owners, self._quotas, name)
            return dict.fromkeys(owned, float(len(self._presence.registered)))
        held = held_shares(self._quotas.holding, now)
        wanted = wanted_loans(needs, held, entries)
        most = heapq.nlargest(_MOST_ACCOUNTS, wanted, key=wanted.__getitem__)
        return {name: wanted[name] for name in most}

    def _ask_standbys(self, now: Nanoseconds) -> None:
        own = self._own_beat()
        datagram = encode_message(WholeShareRequest(own.name, now))
        for beat in sponsored_standbys(self._presence, own):
            self._port.send_encoded(beat.ip, datagram)

    def _lend(self, request: ShareRequest) -> None:
        now = self._clock()
        term = TERM_NS
        if self._owners.entries:
            term = loan_term(self._quotas.holding, now)
        lent = {}
        for account, wanted in request.wanted.items():
            part = self._lend_part(request.name, account, wanted, term)
            if part:
                lent[account] = part
        if lent:
            loan = ShareLoan(
                self._own_beat().name, request.asked_at, term, lent
            )
            self._answer(request.name, loan)

    def _lend_part(
        self, name: str, account: str, wanted: float, term: Nanoseconds
    ) -> float:
        now = self._clock()
        if find_owner(self._owners, account) == name:
            return lend_all(self._quotas, account, name, term, now)
        return lend_share(self._quotas, account, name, wanted, now)

    def _borrow(self, loan: ShareLoan) -> None:
        for account, part in loan.lent.items():
            borrow_share(
                self._quotas,
                account,
                loan.name,
                part,
                loan.asked_at,
                loan.term,
            )

    def _lend_whole(self, request: WholeShareRequest) -> None:
        own = self._own_beat()
        if own.is_standby and lend_whole(
            self._quotas.holding, request.name, self._clock()
        ):
            loan = WholeShareLoan(own.name, request.asked_at)
            self._answer(request.name, loan)

    def _borrow_whole(self, loan: WholeShareLoan) -> None:
        borrow_whole(self._quotas.holding, loan.name, loan.asked_at)

    def _hand_out(self, request: TokenRequest) -> None:
        now = self._clock()
        own = self._own_beat().name
        account = request.account
        is_owner = find_owner(self._owners, account) == own
        granted = hand_out(
            self._quotas, account, request.wanted, now, is_owner=is_owner
        )
        is_short = is_owner and granted < request.wanted
        if granted or is_short:
            wait = wait_for_admission(self._quotas, account) if is_short else 0
            self._answer(
                request.name,
                TokenGrant(request.asked_at, account, granted, wait),
            )

    def _answer(
        self, name: str, message: ShareLoan | WholeShareLoan | TokenGrant
    ) -> None:
        neighbour = self._presence.neighbours.get(name)
        if neighbour is not None:
            self._port.send(neighbour.beat.ip, message)
