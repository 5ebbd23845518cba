"""Guards the number of shares in use over all daemons."""

from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumshelf_core.shares.quotas import AccountQuotas, admit, divide_quotas
from geraniumshelf_core.shares.retries import (
    RetryShares,
    divide_slack,
    spend_retry,
)
from geraniumshelf_core.shares.whole_shares import (
    WHOLE_SHARE_TERM_NS,
    WholeShares,
    borrow_whole_share,
    count_shares,
    lend_whole_share,
    withdraw_share,
)
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_DAEMONS = 6
_WINDOW_S = 5
_STEP_NS = 100 * MILLISECOND_NS
_ACCOUNT = SiteAccount('shop', ('k',), 12, 12)
_LIMIT = (12 * _WINDOW_S + 12) * 1.1 + 20
_STEPS = st.lists(
    st.tuples(
        st.integers(0, _DAEMONS - 1),
        st.integers(0, _DAEMONS - 1),
        st.sampled_from(('ask', 'lose', 'restart', 'wait')),
    ),
    min_size=40,
    max_size=120,
)


def _simulate_step(
    fleet: list[WholeShares], borrower: int, lender: int, kind: str, now: int
) -> None:
    """Simulate one loan between two daemons, or a restart of the lender."""
    if kind == 'restart':
        fleet[lender].borrowed.clear()
        withdraw_share(fleet[lender], now)
    elif kind != 'wait' and borrower != lender:
        if fleet[lender].borrowed:
            return
        lent = lend_whole_share(
            fleet[lender], str(borrower), now + _STEP_NS // 2
        )
        if lent and kind == 'ask':
            borrow_whole_share(fleet[borrower], str(lender), now)


@settings(max_examples=60, deadline=None)
@given(steps=_STEPS)
def test_shares_in_use_never_exceed_the_daemons(
    steps: list[tuple[int, int, str]],
) -> None:
    """A share in use at two daemons would exceed every limit of the fleet."""
    fleet = [WholeShares() for _ in range(_DAEMONS)]
    for step, (borrower, lender, kind) in enumerate(steps):
        now = step * _STEP_NS
        _simulate_step(fleet, borrower, lender, kind, now)
        for at in (now + _STEP_NS // 2, now + _STEP_NS):
            assert (
                sum(count_shares(whole_shares, at) for whole_shares in fleet)
                <= _DAEMONS
            )


def test_borrower_stops_before_the_lender_begins() -> None:
    """A share must not be in use at its lender and its borrower at once.

    The borrower learns of the loan later, while the reply is in transit.
    """
    lender, borrower = WholeShares(), WholeShares()
    assert lend_whole_share(lender, 'b', SECOND_NS)
    borrow_whole_share(borrower, 'l', SECOND_NS)
    end = SECOND_NS + WHOLE_SHARE_TERM_NS
    assert count_shares(borrower, end - 1) == 2
    assert count_shares(borrower, end) == 1
    assert count_shares(lender, end) == 0


def test_share_is_lent_to_one_daemon_at_a_time() -> None:
    """Two entry instances must not use the share of the same standby."""
    lender = WholeShares()
    assert lend_whole_share(lender, 'b', 0)
    assert lend_whole_share(lender, 'b', SECOND_NS)
    assert not lend_whole_share(lender, 'c', SECOND_NS + WHOLE_SHARE_TERM_NS)
    assert lend_whole_share(lender, 'c', 5 * SECOND_NS)


def test_restarted_standby_lends_nothing_at_first() -> None:
    """The previous run may have lent the share just before it ended."""
    whole_shares = WholeShares()
    withdraw_share(whole_shares, 0)
    assert count_shares(whole_shares, WHOLE_SHARE_TERM_NS) == 0
    assert not lend_whole_share(whole_shares, 'b', WHOLE_SHARE_TERM_NS)
    assert lend_whole_share(whole_shares, 'b', 2 * SECOND_NS)


def test_entry_admits_what_its_standbys_leave() -> None:
    """With 73 daemons, 64% of the requests below the rate were refused."""
    daemons, entries = 72, 12
    admitted: list[int] = []
    for _ in range(entries):
        whole_shares = WholeShares()
        quotas = AccountQuotas(0.1, 20, _WINDOW_S, whole_shares)
        divide_quotas(quotas, [_ACCOUNT], daemons, 0)
        for step in range(200):
            now = step * _STEP_NS
            for lender in range(daemons // entries - 1):
                borrow_whole_share(whole_shares, str(lender), now)
            admitted.extend(now for _ in range(5) if admit(quotas, 'shop', now))
    width = _WINDOW_S * SECOND_NS
    windows = [
        sum(start <= at < start + width for at in admitted)
        for start in range(0, 15 * SECOND_NS, SECOND_NS)
    ]
    assert max(windows) <= _LIMIT
    assert sum(admitted_at > 0 for admitted_at in admitted) >= 12 * 19


def test_standby_spends_no_retry_budget() -> None:
    """The slack of a lent share is spent by the entry instance that has it."""
    whole_shares = WholeShares()
    shares = RetryShares(0.2, 60, 10, whole_shares=whole_shares)
    divide_slack(shares, 3, 0)
    now = 10 * SECOND_NS
    lend_whole_share(whole_shares, 'b', now)
    assert not spend_retry(shares, 'desk', now)
    assert spend_retry(RetryShares(0.2, 60, 10), 'desk', now)
