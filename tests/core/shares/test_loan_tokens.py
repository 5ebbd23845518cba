"""Guards the tokens that are transferred with the loan of a share."""

from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumshelf_core.shares.loan_tokens import (
    MAX_AGE_NS,
    AcceptedTokens,
    accept_loan_tokens,
    lend_with_tokens,
    unused_time,
)
from geraniumshelf_core.shares.messages import LoanTokens
from geraniumshelf_core.shares.owners import owner_loan_term
from geraniumshelf_core.shares.quotas import (
    AccountQuotas,
    admit,
    borrow_share,
    divide_quotas,
)
from geraniumshelf_core.shares.whole_shares import (
    WHOLE_SHARE_TERM_NS,
    WholeShares,
    borrow_whole_share,
    lend_whole_share,
    withdraw_share,
)
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_DAEMONS = 4
_WINDOW_S = 5
_ACCOUNT = SiteAccount('shop', ('k',), 40, 30)
_LIMIT = (40 * _WINDOW_S + 30) * 1.1 + 20
_STEP_NS = 100 * MILLISECOND_NS


def _quotas(now: int) -> AccountQuotas:
    quotas = AccountQuotas(0.1, 20, _WINDOW_S, started_at=now)
    divide_quotas(quotas, [_ACCOUNT], _DAEMONS, now)
    return quotas


def _tokens(quotas: AccountQuotas) -> float:
    return quotas.shares['shop'].bucket.tokens


def test_unused_share_gives_tokens_once() -> None:
    """The tokens that a standby gathers at a start must not be lost.

    A repeated message must not add them again.
    """
    now = 3 * SECOND_NS
    standby, entry = WholeShares(), AccountQuotas(0.1, 20, _WINDOW_S)
    divide_quotas(entry, [_ACCOUNT], _DAEMONS, now)
    withdraw_share(standby, SECOND_NS)
    unused = unused_time(standby, now)
    assert unused == now - standby.lent_until > 0
    assert lend_whole_share(standby, 'entry', now)
    assert not unused_time(standby, now)
    borrow_whole_share(entry.whole_shares, 's', now)
    message = LoanTokens('s', now, unused, {})
    accepted = AcceptedTokens()
    assert accept_loan_tokens(accepted, entry, message, now)
    share = entry.shares['shop']
    expected = share.rate * unused / SECOND_NS
    assert abs(_tokens(entry) - expected) < 1e-6
    assert not accept_loan_tokens(accepted, entry, message, now)
    assert abs(_tokens(entry) - expected) < 1e-6


def test_late_tokens_and_those_of_an_earlier_run_are_dropped() -> None:
    """The lender may have its share back, and the earlier run its tokens."""
    entry = _quotas(SECOND_NS)
    late = LoanTokens('s', SECOND_NS + 1, SECOND_NS, {})
    now = SECOND_NS + 2 + MAX_AGE_NS
    assert not accept_loan_tokens(AcceptedTokens(), entry, late, now)
    early = LoanTokens('s', SECOND_NS - 1, SECOND_NS, {})
    assert not accept_loan_tokens(AcceptedTokens(), entry, early, SECOND_NS)


def test_tokens_move_to_the_owner_with_the_loan() -> None:
    """The smaller bucket of the lender cannot hold its tokens any more."""
    now = SECOND_NS
    lender, owner = _quotas(0), _quotas(0)
    term = owner_loan_term(lender.whole_shares, now)
    lent, tokens = lend_with_tokens(lender, 'shop', 'owner', term, now)
    assert lent == 1
    assert tokens > 5
    assert not _tokens(lender)
    borrow_share(owner, 'shop', 'l', lent, now, term)
    message = LoanTokens('l', now, 0, {'shop': tokens})
    accept_loan_tokens(AcceptedTokens(), owner, message, now)
    assert abs(_tokens(owner) - 2 * tokens) < 1e-6


@settings(max_examples=40, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(('lend', 'lose', 'repeat', 'restart', 'wait')),
            st.integers(1, 3),
            st.integers(0, 20),
            st.integers(0, 8),
        ),
        min_size=30,
        max_size=90,
    )
)
def test_unused_shares_do_not_add_to_the_limit(
    steps: list[tuple[str, int, int, int]],
) -> None:
    """A share must not give tokens at its lender's word and in use at once.

    Entry 0 borrows the shares of three standbys, which restart at any time,
    while messages are lost, late and repeated.
    """
    now = 10 * SECOND_NS
    entry = _quotas(now)
    accepted = AcceptedTokens()
    standbys = {number: WholeShares() for number in range(1, _DAEMONS)}
    for standby in standbys.values():
        withdraw_share(standby, now)
    admitted: list[int] = []
    for kind, number, pause, delay in steps:
        now += _STEP_NS * (1 + (pause if pause > 15 else 0))
        standby, name = standbys[number], str(number)
        if kind == 'restart':
            standbys[number] = WholeShares()
            withdraw_share(standbys[number], now)
        elif kind != 'wait':
            requested_at = now
            unused = unused_time(standby, now)
            lend_whole_share(standby, 'entry', now)
            now += delay * _STEP_NS
            if kind != 'lose':
                borrow_whole_share(entry.whole_shares, name, requested_at)
                message = LoanTokens(name, requested_at, unused, {})
                for _ in range(2 if kind == 'repeat' else 1):
                    accept_loan_tokens(accepted, entry, message, now)
        admitted.extend(now for _ in range(60) if admit(entry, 'shop', now))
    width = _WINDOW_S * SECOND_NS
    largest = max(
        sum(start <= at <= start + width for at in admitted)
        for start in admitted or [now]
    )
    assert largest <= _LIMIT


def test_share_in_use_is_never_stated_as_unused() -> None:
    """A share counts as lent until its borrower has surely stopped."""
    standby = WholeShares()
    assert not unused_time(standby, SECOND_NS)
    lend_whole_share(standby, 'entry', SECOND_NS)
    assert not unused_time(standby, SECOND_NS + WHOLE_SHARE_TERM_NS)
