"""Guards the total that all daemons admit for one account."""

from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumshelf_core.shares.loans import LOAN_TERM_NS, wanted_loans
from geraniumshelf_core.shares.quotas import (
    AccountQuotas,
    admit,
    borrow_share,
    describe_share,
    divide_quotas,
    lend_share,
    measure_needs,
)
from geraniumshelf_core.shares.whole_shares import (
    borrow_whole_share,
    withdraw_share,
)
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_DAEMONS = 4
_RATE = 40.0
_BURST = 30.0
_OVERSHOOT = 0.1
_SLACK = 20.0
_WINDOW_S = 5
_STEP_NS = 50 * MILLISECOND_NS
_ACCOUNT = SiteAccount('shop', ('k',), _RATE, _BURST)
_LIMIT = (_RATE * _WINDOW_S + _BURST) * (1 + _OVERSHOOT) + _SLACK


def _quotas(now: int) -> AccountQuotas:
    quotas = AccountQuotas(_OVERSHOOT, _SLACK, _WINDOW_S)
    divide_quotas(quotas, [_ACCOUNT], _DAEMONS, now)
    return quotas


def _request_loans(
    fleet: list[AccountQuotas], borrower: int, lost: set[int], now: int
) -> None:
    wanted = wanted_loans(measure_needs(fleet[borrower], now), 1, _DAEMONS - 1)
    for lender, quotas in enumerate(fleet):
        for name, amount in wanted.items():
            if lender == borrower:
                continue
            lent = lend_share(quotas, name, str(borrower), amount, now)
            # The reply may be lost after the lender has lent its share.
            if lent and lender not in lost:
                borrow_share(fleet[borrower], name, str(lender), lent, now)


def _max_in_window(times: list[int]) -> int:
    width = _WINDOW_S * SECOND_NS
    return max(
        (sum(start <= at <= start + width for at in times) for start in times),
        default=0,
    )


@settings(max_examples=25, deadline=None)
@given(
    load=st.lists(
        st.tuples(
            st.integers(0, _DAEMONS - 1),
            st.integers(0, 6),
            st.sets(st.integers(0, _DAEMONS - 1)),
            st.booleans(),
        ),
        min_size=60,
        max_size=160,
    )
)
def test_sum_of_all_daemons_stays_within_the_limit(
    load: list[tuple[int, int, set[int], bool]],
) -> None:
    """Loans, lost replies and restarts must not add to an account's rate."""
    now = 0
    fleet = [_quotas(now) for _ in range(_DAEMONS)]
    admitted: list[int] = []
    for daemon, requests, lost, restarts in load:
        now += _STEP_NS
        if restarts and requests == 0:
            # A restart takes longer than the current terms.
            now += 2 * LOAN_TERM_NS
            fleet[daemon] = _quotas(now)
        _request_loans(fleet, daemon, lost, now)
        admitted.extend(
            now
            for _ in range(requests * 5)
            if admit(fleet[daemon], 'shop', now)
        )
    assert _max_in_window(admitted) <= _LIMIT


def test_one_daemon_gets_most_of_a_rate_that_no_other_uses() -> None:
    """An even split would refuse callers of one zone below the rate."""
    fleet = [_quotas(0) for _ in range(_DAEMONS)]
    served = 0
    steps = 20 * SECOND_NS // _STEP_NS
    for step in range(1, steps):
        now = step * _STEP_NS
        if step % 10 == 0:
            for borrower in range(_DAEMONS):
                _request_loans(fleet, borrower, set(), now)
        served += sum(admit(fleet[0], 'shop', now) for _ in range(2))
    assert served >= 0.7 * _RATE * 20


def test_lender_counts_a_loan_longer_than_the_borrower() -> None:
    """If the lender's term ended first, both would use the share."""
    lender, borrower = _quotas(0), _quotas(0)
    requested_at = SECOND_NS
    lent = lend_share(lender, 'shop', 'b', 0.5, requested_at)
    borrow_share(borrower, 'shop', 'l', lent, requested_at)
    share = borrower.shares['shop']
    admit(lender, 'shop', requested_at + LOAN_TERM_NS)
    admit(borrower, 'shop', requested_at + LOAN_TERM_NS)
    assert lender.shares['shop'].bucket.rate < share.rate
    assert share.bucket.rate == share.rate


def test_small_account_is_served_by_each_daemon_of_a_large_fleet() -> None:
    """A bucket with a capacity below one token never admits a request."""
    daemons = 73
    small = SiteAccount('shop', ('k',), 12, 12)
    admitted: list[int] = []
    for _ in range(daemons):
        quotas = AccountQuotas(_OVERSHOOT, _SLACK, _WINDOW_S)
        divide_quotas(quotas, [small], daemons, 0)
        times = [
            now
            for now in range(SECOND_NS, 30 * SECOND_NS, SECOND_NS // 2)
            if admit(quotas, 'shop', now)
        ]
        assert times
        admitted.extend(times)
    limit = (12 * _WINDOW_S + 12) * (1 + _OVERSHOOT) + _SLACK
    assert _max_in_window(admitted) <= limit


def test_tokens_count_from_the_start_of_the_daemon() -> None:
    """Callers may send requests while the daemon loads its configuration.

    A former standby, whose share may still be lent, gets tokens only from the
    time at which its limits are set.
    """
    quotas = AccountQuotas(_OVERSHOOT, _SLACK, _WINDOW_S, started_at=0)
    divide_quotas(quotas, [_ACCOUNT], _DAEMONS, SECOND_NS)
    assert admit(quotas, 'shop', SECOND_NS)
    lent = AccountQuotas(_OVERSHOOT, _SLACK, _WINDOW_S, started_at=0)
    withdraw_share(lent.whole_shares, 0)
    divide_quotas(lent, [_ACCOUNT], _DAEMONS, 2 * SECOND_NS)
    assert not admit(lent, 'shop', 2 * SECOND_NS)


def test_tokens_of_borrowed_shares_gather_without_requests() -> None:
    """A bucket that is resized only by requests loses tokens between them."""
    quotas = _quotas(0)
    alone = quotas.shares['shop'].bucket.capacity
    for step in range(1, 100):
        now = step * _STEP_NS
        borrow_whole_share(quotas.whole_shares, 'standby', now)
        measure_needs(quotas, now)
    assert quotas.shares['shop'].bucket.tokens > 1.5 * alone


def test_refusal_can_be_explained() -> None:
    """Without its inputs, the cause of a refusal below the rate is unknown."""
    quotas = _quotas(0)
    admit(quotas, 'shop', 0)
    assert describe_share(quotas, 'shop', 0) == (
        'tokens 0.00 of 12.59 rate 10.45/s demand 0.00/s'
        ' shares 1 after loans 1.00'
    )
    assert describe_share(quotas, 'free', 0) == 'no limit'


def test_account_without_a_limit_is_always_admitted() -> None:
    """A rate of 0 means that there is no limit, not that none is admitted."""
    quotas = AccountQuotas(_OVERSHOOT, _SLACK, _WINDOW_S)
    divide_quotas(quotas, [SiteAccount('free', ('k',))], 9, 0)
    assert all(admit(quotas, 'free', 0) for _ in range(1000))
