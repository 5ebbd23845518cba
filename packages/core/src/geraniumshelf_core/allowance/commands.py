"""Changes of a limit; each first brings it up to the present."""

from attrs import evolve

from geraniumshelf_core.allowance.floors import Floor
from geraniumshelf_core.allowance.queries import (
    borrowed_until,
    can_spare,
    in_use,
    kept_floor,
    lent_total,
)
from geraniumshelf_core.allowance.state import (
    FLOOR_TERM_NS,
    TOKEN_TERM_NS,
    AllowanceLedger,
    Grant,
    Limit,
    Loan,
    lender_term,
    split_remnant,
)
from geraniumshelf_core.units import MICRO_TOKENS, Nanoseconds


def advance(limit: Limit, now: Nanoseconds) -> None:
    """Refill up to now, ending each loan at its term."""
    loans = [*limit.borrowed, *limit.lent]
    ended = [loan for loan in loans if loan.ends_at <= now]
    for loan in sorted(ended, key=lambda each: each.ends_at):
        limit.bucket.refill(loan.ends_at)
        kept_in = limit.lent if loan in limit.lent else limit.borrowed
        kept_in.remove(loan)
        _resize(limit)
    limit.bucket.refill(now)


def set_floor(limit: Limit, floor: Floor, now: Nanoseconds) -> None:
    """Put a floor in force at once; what is out on loan stays counted."""
    advance(limit, now)
    limit.floor = floor
    _resize(limit)


def take(limit: Limit, now: Nanoseconds) -> bool | Loan:
    """Take one token.

    Returns:
        Whether there was one; the token loan that it came from, if any, so
        that it can be settled. Its capacity is given up at once.
    """
    advance(limit, now)
    if not limit.bucket.take(MICRO_TOKENS):
        return False
    for loan in limit.borrowed:
        if loan.is_token and loan.capacity >= MICRO_TOKENS:
            loan.capacity -= MICRO_TOKENS
            if loan.capacity == 0:
                limit.borrowed.remove(loan)
            _resize(limit)
            return loan
    return True


def lend_floor(
    book: AllowanceLedger, account: str, borrower: str, now: Nanoseconds
) -> Grant | None:
    """Lend all that is kept of the own floor, with its tokens."""
    limit = book.limit(account, now)
    advance(limit, now)
    kept = kept_floor(limit)
    if kept.capacity == 0 and kept.rate == 0:
        return None
    tokens = min(limit.bucket.tokens, kept.capacity)
    loan = Loan(
        book.next_loan_id,
        borrower,
        kept.rate,
        kept.capacity,
        now + lender_term(FLOOR_TERM_NS),
    )
    return _hand_over(book, limit, loan, tokens)


def lend_tokens(
    book: AllowanceLedger,
    account: str,
    borrower: str,
    count: int,
    now: Nanoseconds,
) -> Grant | None:
    """Lend whole tokens that are there, backed until the loan ends."""
    limit = book.limit(account, now)
    advance(limit, now)
    ends_at = now + lender_term(TOKEN_TERM_NS)
    amount = count * MICRO_TOKENS
    backing = limit.floor.capacity + borrowed_until(limit, ends_at).capacity
    if limit.bucket.tokens < amount:
        return None
    if lent_total(limit).capacity + amount > backing:
        return None
    loan = Loan(book.next_loan_id, borrower, 0, amount, ends_at, is_token=True)
    return _hand_over(book, limit, loan, amount)


def renew(
    limit: Limit, loan_id: int, borrower: str, now: Nanoseconds
) -> Loan | None:
    """Extend a floor loan without tokens, smaller if the floor has shrunk."""
    advance(limit, now)
    loan = _find(limit.lent, borrower, loan_id)
    if loan is None or loan.is_token:
        return None
    lent = lent_total(limit, with_remnants=False)
    rate = max(0, loan.rate - max(0, lent.rate - limit.floor.rate))
    excess = max(0, lent.capacity - limit.floor.capacity)
    capacity = max(0, loan.capacity - excess)
    if (rate, capacity) != (loan.rate, loan.capacity):
        limit.lent.append(split_remnant(loan, rate, capacity))
    loan.rate = rate
    loan.capacity = capacity
    loan.ends_at = now + lender_term(FLOOR_TERM_NS)
    return evolve(loan)


def accept(limit: Limit, loan: Loan, tokens: int, now: Nanoseconds) -> None:
    """Take a loan into use; its end counts from when it was asked for."""
    advance(limit, now)
    if loan.ends_at > now:
        limit.borrowed.append(loan)
        _resize(limit)
        limit.bucket.add(tokens)


def accept_renewal(limit: Limit, renewed: Loan, now: Nanoseconds) -> None:
    """Extend a borrowed loan that is still held, or make it smaller."""
    advance(limit, now)
    loan = _find(limit.borrowed, renewed.peer, renewed.loan_id)
    if loan is None:
        return
    loan.ends_at = max(loan.ends_at, renewed.ends_at)
    loan.rate = min(loan.rate, renewed.rate)
    loan.capacity = min(loan.capacity, renewed.capacity)
    _resize(limit)


def return_loan(limit: Limit, loan: Loan, now: Nanoseconds) -> int | None:
    """End a borrowed loan early.

    Returns:
        Micro-tokens that go back, or ``None`` if the loan backs others.
    """
    advance(limit, now)
    if loan not in limit.borrowed or not can_spare(limit, loan):
        return None
    tokens = min(limit.bucket.tokens, loan.capacity)
    limit.bucket.take(tokens)
    limit.borrowed.remove(loan)
    _resize(limit)
    return tokens


def receive_return(
    limit: Limit, borrower: str, loan_id: int, tokens: int, now: Nanoseconds
) -> None:
    """Receive a loan given back early; unknown loans change nothing."""
    advance(limit, now)
    loan = _find(limit.lent, borrower, loan_id)
    if loan is not None:
        limit.lent.remove(loan)
        _resize(limit)
        limit.bucket.add(min(tokens, loan.capacity))


def settle(
    limit: Limit, borrower: str, loan_id: int, used: int, now: Nanoseconds
) -> None:
    """Get back the capacity of used tokens, empty.

    Args:
        limit: The limit.
        borrower: Instance name.
        loan_id: The token loan.
        used: Micro-tokens used of it since the last settlement.
        now: Nanoseconds.
    """
    advance(limit, now)
    loan = _find(limit.lent, borrower, loan_id)
    if loan is None or not loan.is_token:
        return
    loan.capacity -= min(used, loan.capacity)
    if loan.capacity == 0:
        limit.lent.remove(loan)
    _resize(limit)


def remove_ended_loans(book: AllowanceLedger, now: Nanoseconds) -> int:
    """Drop the numbers of loans that are no longer out.

    Returns:
        How many loans are out.
    """
    for number, limit in tuple(book.limits_by_loan_id.items()):
        advance(limit, now)
        if all(loan.loan_id != number for loan in limit.lent):
            book.limits_by_loan_id.pop(number)
    return len(book.limits_by_loan_id)


def _hand_over(
    book: AllowanceLedger, limit: Limit, loan: Loan, tokens: int
) -> Grant:
    book.next_loan_id += 1
    limit.bucket.take(tokens)
    limit.lent.append(loan)
    book.limits_by_loan_id[loan.loan_id] = limit
    _resize(limit)
    return Grant(evolve(loan), tokens)


def _resize(limit: Limit) -> None:
    sizes = in_use(limit)
    limit.bucket.resize(sizes.rate, sizes.capacity)


def _find(loans: list[Loan], peer: str, loan_id: int) -> Loan | None:
    for loan in loans:
        if (loan.loan_id, loan.peer, loan.is_remnant) == (loan_id, peer, False):
            return loan
    return None
