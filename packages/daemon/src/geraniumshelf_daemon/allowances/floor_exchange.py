"""Exchange of floors between lenders and account owners."""

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
from geraniumshelf_daemon.allowances.local_limits import LocalLimits
from geraniumshelf_daemon.allowances.message_checks import (
    check_grant,
    check_loan_amounts,
    check_non_negative,
)
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.peers.interface import PeerNetwork

# A floor loan lasts 4 s and is renewed every 2 s. With this timeout it
# survives one lost exchange.
_REPLY_TIMEOUT_NS: Final[Nanoseconds] = SECOND_NS


# Loan id and micro-tokens.
_LoanAmount = tuple[int, int]
_Tags = dict[str, tuple[int, ...]]

# Account tag, loan id, rate, capacity, tokens.
_NewLoan = tuple[int, int, int, int, int]


@define(eq=False)
class FloorExchange:
    """Borrows floors for accounts owned here and lends the own floors."""

    _limits: LocalLimits
    _network: PeerNetwork
    _last_signature: tuple[Any, ...] = field(default=(), init=False)

    def __attrs_post_init__(self) -> None:
        self._network.register(LoanRequest, self._lend)
        self._network.register(LoanReturn, self._receive_returns)

    def has_changed(self) -> bool:
        """Return whether revision or slot holders changed since last time."""
        return self._limits.signature() != self._last_signature

    async def exchange_floors(self) -> None:
        """Return floors no longer needed here; renew and borrow the rest."""
        self._last_signature = self._limits.signature()
        wanted = self._limits.lenders()
        self._return_unwanted(wanted)
        held = self._borrowed_limits()
        await asyncio.gather(
            *(
                self._borrow(lender, tags, held.get(lender, {}))
                for lender, tags in wanted.items()
            )
        )

    def return_all(self) -> None:
        """Return all borrowed floors at a graceful stop."""
        self._return_unwanted({})

    def _borrowed_limits(self) -> dict[str, dict[int, Limit]]:
        """Return the limits with borrowed floors by lender and loan id."""
        held: dict[str, dict[int, Limit]] = {}
        for limit in self._limits.ledger.limits.values():
            for loan in limit.borrowed:
                if not loan.is_token:
                    held.setdefault(loan.peer, {})[loan.loan_id] = limit
        return held

    async def _borrow(
        self, lender: str, tags: tuple[int, ...], held: dict[int, Limit]
    ) -> None:
        if not held and not tags:
            return
        ends_at = self._limits.clock() + FLOOR_TERM_NS
        try:
            grant = await self._network.request(
                lender, LoanRequest(tuple(held), tags), _REPLY_TIMEOUT_NS
            )
            check_grant(grant)
        except PeerError:
            return
        self._accept_grant(lender, grant, held, ends_at)

    def _accept_grant(
        self,
        lender: str,
        grant: LoanGrant,
        held: dict[int, Limit],
        ends_at: Nanoseconds,
    ) -> None:
        now = self._limits.clock()
        sizes = {loan_id: (rate, size) for loan_id, rate, size in grant.resized}
        for loan_id in held.keys() & {*grant.renewed, *sizes}:
            for loan in _find_loans(held[loan_id].borrowed, lender, loan_id):
                rate, size = sizes.get(loan_id, (loan.rate, loan.capacity))
                renewed = Loan(loan_id, lender, rate, size, ends_at)
                commands.accept_renewal(held[loan_id], renewed, now)
        self._accept_new_loans(lender, grant, ends_at)

    def _accept_new_loans(
        self, lender: str, grant: LoanGrant, ends_at: Nanoseconds
    ) -> None:
        for tag, loan_id, rate, size, tokens in grant.new_loans:
            account = self._limits.accounts_by_tag.get(tag)
            if account is not None:
                loan = Loan(loan_id, lender, rate, size, ends_at)
                limit = self._limits.limit(account)
                commands.accept(limit, loan, tokens, self._limits.clock())

    def _return_unwanted(self, wanted: _Tags) -> None:
        returned: dict[str, list[_LoanAmount]] = {}
        for account, limit in self._limits.ledger.limits.items():
            tag = self._limits.tags_by_account.get(account, 0)
            unwanted = [
                loan
                for loan in limit.borrowed
                if not loan.is_token and tag not in wanted.get(loan.peer, ())
            ]
            for loan in unwanted:
                tokens = commands.return_loan(limit, loan, self._limits.clock())
                if tokens is not None:
                    loan_amounts = returned.setdefault(loan.peer, [])
                    loan_amounts.append((loan.loan_id, tokens))
        for peer, loan_amounts in returned.items():
            self._network.notify(peer, LoanReturn(tuple(loan_amounts)))

    async def _lend(self, peer: str, request: LoanRequest) -> LoanGrant:
        check_non_negative(request.held_loans, request.wanted_accounts)
        self._limits.refresh()
        now = self._limits.clock()
        limits_by_loan = self._limits.ledger.limits_by_loan_id
        limits = {
            loan_id: limits_by_loan[loan_id]
            for loan_id in request.held_loans
            if loan_id in limits_by_loan
        }
        before = {
            (lent.loan_id, lent.rate, lent.capacity)
            for limit in limits.values()
            for lent in limit.lent
        }
        loans = [
            commands.renew(limit, loan_id, peer, now)
            for loan_id, limit in limits.items()
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
    ) -> Iterable[_NewLoan]:
        for tag in wanted:
            account = self._limits.accounts_by_tag.get(tag)
            if account is None:
                log_event(
                    Event.LOAN_REFUSED,
                    'no account has the requested tag',
                    peer=peer,
                )
                continue
            grant = commands.lend_floor(self._limits.ledger, account, peer, now)
            if grant is not None:
                loan = grant.loan
                yield (
                    tag,
                    loan.loan_id,
                    loan.rate,
                    loan.capacity,
                    grant.tokens,
                )

    async def _receive_returns(self, peer: str, message: LoanReturn) -> None:
        check_loan_amounts(message.returned)
        now = self._limits.clock()
        for loan_id, tokens in message.returned:
            limit = self._limits.ledger.limits_by_loan_id.get(loan_id)
            if limit is not None:
                commands.receive_return(limit, peer, loan_id, tokens, now)


def _find_loans(loans: list[Loan], peer: str, loan_id: int) -> list[Loan]:
    return [
        loan for loan in loans if (loan.peer, loan.loan_id) == (peer, loan_id)
    ]
