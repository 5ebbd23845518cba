"""Functions that modify a limit; each first advances it to the current time."""

from attrs import evolve

from geraniumshelf_core.allowance.floors import Floor
from geraniumshelf_core.allowance.queries import (
    borrowed_until,
    can_return,
    lent_total,
    unlent_floor,
    usable_size,
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
from geraniumshelf_core.units import MICROS_PER_UNIT, Nanoseconds


def advance(limit: Limit, now: Nanoseconds) -> None:
    """Refill the bucket up to now, removing each loan at its end."""
    loans = [*limit.borrowed, *limit.lent]
    ended = [loan for loan in loans if loan.ends_at <= now]
    for loan in sorted(ended, key=lambda ended_loan: ended_loan.ends_at):
        limit.bucket.refill(loan.ends_at)
        loans_of_side = limit.lent if loan in limit.lent else limit.borrowed
        loans_of_side.remove(loan)
        _resize(limit)
    limit.bucket.refill(now)


def set_floor(limit: Limit, floor: Floor, now: Nanoseconds) -> None:
    """Set the floor immediately; outstanding loans stay counted."""
    advance(limit, now)
    limit.floor = floor
    _resize(limit)


def take(limit: Limit, now: Nanoseconds) -> bool | Loan:
    """Take one token.

    Returns:
        Whether a token was available, or the token loan that it came from, so
        that the loan can be settled. The loan loses the capacity immediately.
    """
    advance(limit, now)
    if not limit.bucket.take(MICROS_PER_UNIT):
        return False
    for loan in limit.borrowed:
        if loan.is_token and loan.capacity >= MICROS_PER_UNIT:
            loan.capacity -= MICROS_PER_UNIT
            if loan.capacity == 0:
                limit.borrowed.remove(loan)
            _resize(limit)
            return loan
    return True


def lend_floor(
    ledger: AllowanceLedger, account: str, borrower: str, now: Nanoseconds
) -> Grant | None:
    """Lend all of the own floor that is not lent yet, with its tokens."""
    limit = ledger.limit(account, now)
    advance(limit, now)
    unlent = unlent_floor(limit)
    if unlent.capacity == 0 and unlent.rate == 0:
        return None
    tokens = min(limit.bucket.tokens, unlent.capacity)
    loan = Loan(
        ledger.next_loan_id,
        borrower,
        unlent.rate,
        unlent.capacity,
        now + lender_term(FLOOR_TERM_NS),
    )
    return _grant(ledger, limit, loan, tokens)


def lend_tokens(
    ledger: AllowanceLedger,
    account: str,
    borrower: str,
    count: int,
    now: Nanoseconds,
) -> Grant | None:
    """Lend whole available tokens that are backed until the loan ends.

    They are backed by the own floor and by loans that end no earlier.
    """
    limit = ledger.limit(account, now)
    advance(limit, now)
    ends_at = now + lender_term(TOKEN_TERM_NS)
    amount = count * MICROS_PER_UNIT
    backing = limit.floor.capacity + borrowed_until(limit, ends_at).capacity
    if limit.bucket.tokens < amount:
        return None
    if lent_total(limit).capacity + amount > backing:
        return None
    loan = Loan(
        ledger.next_loan_id, borrower, 0, amount, ends_at, is_token=True
    )
    return _grant(ledger, limit, loan, amount)


def renew(
    limit: Limit, loan_id: int, borrower: str, now: Nanoseconds
) -> Loan | None:
    """Extend a floor loan without tokens; shrink it if the floor has shrunk."""
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
    """Start to use a loan, whose term counts from the time of the request."""
    advance(limit, now)
    if loan.ends_at > now:
        limit.borrowed.append(loan)
        _resize(limit)
        limit.bucket.add(tokens)


def accept_renewal(limit: Limit, renewed: Loan, now: Nanoseconds) -> None:
    """Extend or shrink a borrowed loan that is still held."""
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
        Micro-tokens to return, or ``None`` if loans to others depend on it.
    """
    advance(limit, now)
    if loan not in limit.borrowed or not can_return(limit, loan):
        return None
    tokens = min(limit.bucket.tokens, loan.capacity)
    limit.bucket.take(tokens)
    limit.borrowed.remove(loan)
    _resize(limit)
    return tokens


def receive_return(
    limit: Limit, borrower: str, loan_id: int, tokens: int, now: Nanoseconds
) -> None:
    """Accept a loan that is returned early; ignore unknown loans."""
    advance(limit, now)
    loan = _find(limit.lent, borrower, loan_id)
    if loan is not None:
        limit.lent.remove(loan)
        _resize(limit)
        limit.bucket.add(min(tokens, loan.capacity))


def settle(
    limit: Limit, borrower: str, loan_id: int, used: int, now: Nanoseconds
) -> None:
    """Reclaim the capacity of used tokens, without the tokens.

    Args:
        limit: The limit.
        borrower: Instance name.
        loan_id: The token loan.
        used: Micro-tokens used of it since the last settlement.
        now: Current time, nanoseconds.
    """
    advance(limit, now)
    loan = _find(limit.lent, borrower, loan_id)
    if loan is None or not loan.is_token:
        return
    loan.capacity -= min(used, loan.capacity)
    if loan.capacity == 0:
        limit.lent.remove(loan)
    _resize(limit)


def remove_ended_loans(ledger: AllowanceLedger, now: Nanoseconds) -> int:
    """Remove the numbers of loans that are no longer outstanding.

    Returns:
        Number of outstanding loans.
    """
    for loan_id, limit in tuple(ledger.limits_by_loan_id.items()):
        advance(limit, now)
        if all(loan.loan_id != loan_id for loan in limit.lent):
            ledger.limits_by_loan_id.pop(loan_id)
    return len(ledger.limits_by_loan_id)


def _grant(
    ledger: AllowanceLedger, limit: Limit, loan: Loan, tokens: int
) -> Grant:
    ledger.next_loan_id += 1
    limit.bucket.take(tokens)
    limit.lent.append(loan)
    ledger.limits_by_loan_id[loan.loan_id] = limit
    _resize(limit)
    return Grant(evolve(loan), tokens)


def _resize(limit: Limit) -> None:
    size = usable_size(limit)
    limit.bucket.resize(size.rate, size.capacity)


def _find(loans: list[Loan], peer: str, loan_id: int) -> Loan | None:
    for loan in loans:
        if (loan.loan_id, loan.peer, loan.is_remnant) == (loan_id, peer, False):
            return loan
    return None
