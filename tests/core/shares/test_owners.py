"""Guards the limit of an account whose shares are pooled at an owner."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumshelf_core.shares.loans import CLOCK_DRIFT_MARGIN_NS, LOAN_TERM_NS
from geraniumshelf_core.shares.owners import (
    AccountOwners,
    count_missing_tokens,
    deposit_tokens,
    find_owner,
    lend_to_owner,
    owned_accounts,
    owner_loan_term,
    record_token_demand,
    set_entries,
)
from geraniumshelf_core.shares.quotas import (
    AccountQuotas,
    admit,
    borrow_share,
    divide_quotas,
    measure_needs,
    time_to_admission,
)
from geraniumshelf_core.shares.transfers import (
    MAX_WAIT_NS,
    OWNER_TIMEOUT_NS,
    WaitingRequests,
    accept_tokens,
    begin_owner_request,
    expire_wait,
    grant_tokens,
    record_owner_wait,
    should_refuse,
)
from geraniumshelf_core.shares.whole_shares import (
    WHOLE_SHARE_TERM_NS,
    WholeShares,
    borrow_whole_share,
    count_shares,
    lend_whole_share,
)
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_WINDOW_S = 5
_STEP_NS = 50 * MILLISECOND_NS
_STEPS_PER_ROUND = 8
_ENTRIES = 27
_DAEMONS = 195
_ACCOUNT = SiteAccount('shop', ('k',), 5, 10)
_LIMIT = (5 * _WINDOW_S + 10) * 1.1 + 20


def _quotas(daemons: int, now: int = 0) -> AccountQuotas:
    quotas = AccountQuotas(0.1, 20, _WINDOW_S)
    divide_quotas(quotas, [_ACCOUNT], daemons, now)
    return quotas


def _pool_shares(
    fleet: list[AccountQuotas], owner: int, lost: frozenset[int], now: int
) -> None:
    for lender, quotas in enumerate(fleet):
        if lender == owner:
            continue
        term = owner_loan_term(quotas.whole_shares, now)
        lent = lend_to_owner(quotas, 'shop', str(owner), term, now)
        # The reply may be lost after the lender has lent its share.
        if lent and lender not in lost:
            borrow_share(fleet[owner], 'shop', str(lender), lent, now, term)


def _max_in_window(times: list[int]) -> int:
    width = _WINDOW_S * SECOND_NS
    return max(
        (sum(start <= at <= start + width for at in times) for start in times),
        default=0,
    )


@settings(max_examples=30, deadline=None)
@given(
    load=st.lists(
        st.tuples(
            st.integers(0, 3),
            st.integers(0, 3),
            st.frozensets(st.integers(0, 3)),
            st.integers(0, 30),
            st.booleans(),
        ),
        min_size=60,
        max_size=160,
    )
)
def test_pooled_shares_do_not_add_to_the_limit(
    load: list[tuple[int, int, frozenset[int], int, bool]],
) -> None:
    """All daemons together must not admit more than the limit.

    Two owners, lost loans, fetched tokens, pauses or restarts could put a share
    into use at two daemons.
    """
    now = 0
    fleet = [_quotas(4) for _ in range(4)]
    admitted: list[int] = []
    for daemon, owner, lost, pause, restarts in load:
        now += _STEP_NS * (1 + (pause if pause > 25 else 0))
        if restarts and not pause:
            # A restart takes longer than the current terms.
            now += 2 * LOAN_TERM_NS
            fleet[daemon] = _quotas(4, now)
        _pool_shares(fleet, owner, lost, now)
        admitted.extend(
            now for _ in range(15) if admit(fleet[daemon], 'shop', now)
        )
        if daemon != owner and pause % 2:
            waiting = WaitingRequests(count=9)
            granted = grant_tokens(fleet[owner], 'shop', 12, now, is_owner=True)
            left = accept_tokens(waiting, granted, now, now)
            deposit_tokens(fleet[daemon], 'shop', left, now)
            admitted.extend([now] * waiting.granted)
    assert _max_in_window(admitted) <= _LIMIT


def test_borrowed_share_is_not_lent_on_beyond_its_own_term() -> None:
    """A lent share must not be in use at its lender and at the owner."""
    standby, entry = WholeShares(), _quotas(_DAEMONS)
    requested_at = SECOND_NS
    assert lend_whole_share(standby, 'entry', requested_at)
    borrow_whole_share(entry.whole_shares, 'standby', requested_at)
    now = requested_at + WHOLE_SHARE_TERM_NS // 2
    term = owner_loan_term(entry.whole_shares, now)
    assert now + term <= requested_at + WHOLE_SHARE_TERM_NS
    assert count_shares(standby, now + term) == 0
    lend_to_owner(entry, 'shop', 'owner', term, now)
    assert (
        count_shares(
            standby, requested_at + WHOLE_SHARE_TERM_NS + CLOCK_DRIFT_MARGIN_NS
        )
        == 1
    )


def _serve(*, is_pooled: bool) -> float:
    """Return the served fraction of requests below the rate of an account.

    Callers send bursts of a few requests to any of the entries.
    """
    random = Random(1)
    fleet = [_quotas(_DAEMONS) for _ in range(_ENTRIES)]
    standby_count = _DAEMONS // _ENTRIES
    served, sent = 0, 0
    for step in range(1, 40 * SECOND_NS // _STEP_NS):
        now = step * _STEP_NS
        if step % _STEPS_PER_ROUND == 0:
            for quotas in fleet:
                for number in range(standby_count):
                    borrow_whole_share(quotas.whole_shares, str(number), now)
                measure_needs(quotas, now)
            if is_pooled:
                _pool_shares(fleet, 0, frozenset(), now)
        if now < 10 * SECOND_NS or random.random() > 0.07:
            continue
        entry = random.randrange(_ENTRIES)
        for _ in range(3):
            sent += 1
            is_served = admit(fleet[entry], 'shop', now)
            if not is_served and is_pooled:
                is_served = (
                    grant_tokens(fleet[0], 'shop', 1, now, is_owner=True) == 1
                )
            served += is_served
    return served / sent


def test_small_account_within_its_rate_is_served_by_a_large_fleet() -> None:
    """A small rate that 27 entry instances divide admits no bursts."""
    assert _serve(is_pooled=False) < 0.9
    assert _serve(is_pooled=True) >= 0.99


def test_owners_agree_and_are_spread() -> None:
    """A single owner of all accounts would serve requests of the whole fleet.

    Daemons that choose different owners would divide the shares.
    """
    names = [f'entry-{number}' for number in range(_ENTRIES)]
    first, second = AccountOwners(), AccountOwners()
    set_entries(first, names)
    set_entries(second, reversed(names))
    accounts = [f'account-{number}' for number in range(140)]
    owners = [find_owner(first, account) for account in accounts]
    assert owners == [find_owner(second, account) for account in accounts]
    assert len(set(owners)) > _ENTRIES // 2
    quotas = _quotas(_DAEMONS)
    (owner,) = {find_owner(first, 'shop')}
    assert owned_accounts(first, quotas, str(owner)) == ('shop',)
    set_entries(first, ())
    assert find_owner(first, 'shop') is None


def test_each_request_asks_the_owner_at_once() -> None:
    """A request that waits for the reply to another may be refused needlessly.

    Tokens are therefore requested for each request when it starts to wait.
    """
    waiting = WaitingRequests(count=1)
    step = 10 * MILLISECOND_NS
    assert begin_owner_request(waiting, step) == 1
    assert begin_owner_request(waiting, 2 * step) == 0
    waiting.count = 3
    assert begin_owner_request(waiting, 3 * step) == 2
    accept_tokens(waiting, 1, step, 4 * step)
    assert waiting.granted == 1
    assert begin_owner_request(waiting, 5 * step) == 0


def test_lost_owner_request_is_repeated_and_others_are_asked() -> None:
    """The owner may have failed while its loans have not ended yet.

    After its timeout the tokens are requested again, and other daemons too.
    """
    waiting = WaitingRequests(count=2)
    assert begin_owner_request(waiting, 0) == 2
    assert begin_owner_request(waiting, OWNER_TIMEOUT_NS) == 2
    assert waiting.is_owner_silent
    accept_tokens(waiting, 2, 0, OWNER_TIMEOUT_NS)
    assert not waiting.is_owner_silent


def test_late_owner_does_not_refuse_the_requests_that_follow() -> None:
    """One slow reply of an owner caused refusals for half a second."""
    waiting = WaitingRequests(count=1)
    expire_wait(waiting, 0, has_owner=True)
    assert not should_refuse(waiting, 1)


def test_request_is_refused_if_the_owner_has_no_token_in_time() -> None:
    """A request that cannot get a token in time must not wait for one."""
    waiting = WaitingRequests(count=1)
    record_owner_wait(waiting, MAX_WAIT_NS // 2, MAX_WAIT_NS, 0)
    assert not should_refuse(waiting, 1)
    assert begin_owner_request(waiting, MAX_WAIT_NS // 4) == 0
    assert begin_owner_request(waiting, MAX_WAIT_NS // 2) == 1
    record_owner_wait(waiting, 2 * MAX_WAIT_NS, MAX_WAIT_NS, 0)
    assert should_refuse(waiting, 1)


def test_owner_without_shares_is_asked_again_soon() -> None:
    """An owner whose share was lent announced a wait of 60 s.

    It was not asked again before that, although its loan ended much earlier.
    """
    quotas = _quotas(4)
    now = 10 * SECOND_NS
    lend_to_owner(
        quotas, 'shop', 'owner', owner_loan_term(quotas.whole_shares, now), now
    )
    wait = time_to_admission(quotas, 'shop')
    assert wait <= SECOND_NS
    waiting = WaitingRequests(count=1)
    record_owner_wait(waiting, 60 * SECOND_NS, MAX_WAIT_NS, now)
    assert begin_owner_request(waiting, now + SECOND_NS) == 1


def test_region_fetches_tokens_before_it_runs_out() -> None:
    """Tokens of another region arrive too late for requests that wait."""
    quotas = _quotas(3)
    now = 10 * SECOND_NS
    assert count_missing_tokens(quotas, 'shop', now) == 0
    for _ in range(200):
        now += _STEP_NS
        record_token_demand(quotas, 'shop', 2)
        measure_needs(quotas, now)
    share = quotas.shares['shop']
    share.bucket.tokens = 1
    missing = count_missing_tokens(quotas, 'shop', now)
    assert missing >= 5
    deposit_tokens(quotas, 'shop', missing, now)
    assert count_missing_tokens(quotas, 'shop', now) == 0
    deposit_tokens(quotas, 'shop', 1000, now)
    assert share.bucket.tokens == share.bucket.capacity


def test_shares_of_a_dead_owner_come_back_soon() -> None:
    """Accounts of an owner that was stopped had no tokens for seconds."""
    quotas = _quotas(4)
    now = 10 * SECOND_NS
    lend_to_owner(
        quotas, 'shop', 'owner', owner_loan_term(quotas.whole_shares, now), now
    )
    assert not admit(quotas, 'shop', now)
    later = now + 700 * MILLISECOND_NS
    admit(quotas, 'shop', later)
    assert quotas.shares['shop'].bucket.rate > 0
