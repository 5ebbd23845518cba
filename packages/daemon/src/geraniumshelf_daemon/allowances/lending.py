"""Exchange of floors between lenders and owners."""

import asyncio
from collections.abc import Iterable
from typing import Any, Final

from attrs import define, field

from geraniumshelf_core.allowance import commands
from geraniumshelf_core.allowance.state import FLOOR_TERM_NS, Limit, Loan
from geraniumshelf_core.errors import PeerError
from geraniumshelf_core.messages.allowance import (
    LoanGrant,
    LoanRequest,
    LoanReturn,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.allowances.checks import (
    check_grant,
    check_notes,
    check_numbers,
)
from geraniumshelf_daemon.allowances.shares import Shares
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.peers.interface import PeerNetwork

# A loan of 4 s that is renewed every 2 s outlives one lost exchange.
_ANSWER_TIMEOUT: Final[Nanoseconds] = SECOND_NS


# Loan number and micro-tokens.
_Note = tuple[int, int]
_Tags = dict[str, tuple[int, ...]]

# Account tag, loan number, rate, capacity, tokens.
_Given = tuple[int, int, int, int, int]


@define(eq=False)
class FloorExchange:
    """Borrows floors for owned accounts and lends the own floors."""

    _shares: Shares
    _network: PeerNetwork
    _terms: tuple[Any, ...] = field(default=(), init=False)

    def __attrs_post_init__(self) -> None:
        self._network.register(LoanRequest, self._lend)
        self._network.register(LoanReturn, self._take_back)

    def is_changed(self) -> bool:
        """Tell whether members or owners changed since the last round."""
        return self._shares.signature() != self._terms

    async def renew(self) -> None:
        """Return what is owned no longer; borrow and renew the rest."""
        self._terms = self._shares.signature()
        wanted = self._shares.lenders()
        self._give_back(wanted)
        held = self._held()
        await asyncio.gather(
            *(
                self._borrow(lender, tags, held.get(lender, {}))
                for lender, tags in wanted.items()
            )
        )

    def return_all(self) -> None:
        """Give all borrowed floors back, at a graceful stop."""
        self._give_back({})

    def _held(self) -> dict[str, dict[int, Limit]]:
        """Return the limits with borrowed floors by lender and number."""
        held: dict[str, dict[int, Limit]] = {}
        for limit in self._shares.book.limits.values():
            for loan in limit.borrowed:
                if not loan.is_token:
                    held.setdefault(loan.peer, {})[loan.loan_id] = limit
        return held

    async def _borrow(
        self, lender: str, tags: tuple[int, ...], held: dict[int, Limit]
    ) -> None:
        if not held and not tags:
            return
        ends_at = self._shares.clock() + FLOOR_TERM_NS
        try:
            grant = await self._network.request(
                lender, LoanRequest(tuple(held), tags), _ANSWER_TIMEOUT
            )
            check_grant(grant)
        except PeerError:
            return
        self._accept(lender, grant, held, ends_at)

    def _accept(
        self,
        lender: str,
        grant: LoanGrant,
        held: dict[int, Limit],
        ends_at: Nanoseconds,
    ) -> None:
        now = self._shares.clock()
        sizes = {number: (rate, size) for number, rate, size in grant.resized}
        for number in held.keys() & {*grant.renewed, *sizes}:
            for loan in _find(held[number].borrowed, lender, number):
                rate, size = sizes.get(number, (loan.rate, loan.capacity))
                renewed = Loan(number, lender, rate, size, ends_at)
                commands.accept_renewal(held[number], renewed, now)
        self._accept_given(lender, grant, ends_at)

    def _accept_given(
        self, lender: str, grant: LoanGrant, ends_at: Nanoseconds
    ) -> None:
        for tag, number, rate, size, tokens in grant.new_loans:
            account = self._shares.tags.get(tag)
            if account is not None:
                loan = Loan(number, lender, rate, size, ends_at)
                limit = self._shares.limit(account)
                commands.accept(limit, loan, tokens, self._shares.clock())

    def _give_back(self, wanted: _Tags) -> None:
        returned: dict[str, list[_Note]] = {}
        for account, limit in self._shares.book.limits.items():
            tag = self._shares.tag_of.get(account, 0)
            unwanted = [
                each
                for each in limit.borrowed
                if not each.is_token and tag not in wanted.get(each.peer, ())
            ]
            for loan in unwanted:
                tokens = commands.return_loan(limit, loan, self._shares.clock())
                if tokens is not None:
                    notes = returned.setdefault(loan.peer, [])
                    notes.append((loan.loan_id, tokens))
        for peer, notes in returned.items():
            self._network.notify(peer, LoanReturn(tuple(notes)))

    async def _lend(self, peer: str, request: LoanRequest) -> LoanGrant:
        check_numbers(request.held_loans, request.wanted_accounts)
        self._shares.refresh()
        now = self._shares.clock()
        lent_at = self._shares.book.limits_by_loan_id
        limits = {
            number: lent_at[number]
            for number in request.held_loans
            if number in lent_at
        }
        before = {
            (lent.loan_id, lent.rate, lent.capacity)
            for limit in limits.values()
            for lent in limit.lent
        }
        loans = [
            commands.renew(limit, number, peer, now)
            for number, limit in limits.items()
        ]
        sizes = [
            (loan.loan_id, loan.rate, loan.capacity)
            for loan in loans
            if loan is not None
        ]
        return LoanGrant(
            tuple(size[0] for size in sizes if size in before),
            tuple(size for size in sizes if size not in before),
            tuple(self._lend_floors(peer, request.wanted_accounts, now)),
        )

    def _lend_floors(
        self, peer: str, wanted: Iterable[int], now: Nanoseconds
    ) -> Iterable[_Given]:
        for tag in wanted:
            account = self._shares.tags.get(tag)
            if account is None:
                log_event(Event.LOAN_REFUSED, 'unknown account', peer=peer)
                continue
            grant = commands.lend_floor(self._shares.book, account, peer, now)
            if grant is not None:
                loan = grant.loan
                yield (
                    tag,
                    loan.loan_id,
                    loan.rate,
                    loan.capacity,
                    grant.tokens,
                )

    async def _take_back(self, peer: str, message: LoanReturn) -> None:
        check_notes(message.returned)
        now = self._shares.clock()
        for number, tokens in message.returned:
            limit = self._shares.book.limits_by_loan_id.get(number)
            if limit is not None:
                commands.receive_return(limit, peer, number, tokens, now)


def _find(loans: list[Loan], peer: str, number: int) -> list[Loan]:
    return [
        loan for loan in loans if (loan.peer, loan.loan_id) == (peer, number)
    ]
