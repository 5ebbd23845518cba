"""Guards the transfer of tokens between daemons."""

from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumshelf_core.shares.quotas import (
    AccountQuotas,
    admit,
    divide_quotas,
    measure_needs,
    take_token,
)
from geraniumshelf_core.shares.transfers import (
    MAX_WAIT_NS,
    TokenScope,
    WaitingRequests,
    accept_tokens,
    begin_token_request,
    expire_wait,
    grant_tokens,
    max_token_wait,
    should_refuse,
)
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_DAEMONS = 4
_WINDOW_S = 5
_ACCOUNT = SiteAccount('shop', ('k',), 8, 10)
_LIMIT = (8 * _WINDOW_S + 10) * 1.1 + 20
_STEP_NS = 50 * MILLISECOND_NS


def _fleet() -> list[AccountQuotas]:
    fleet = [AccountQuotas(0.1, 20, _WINDOW_S) for _ in range(_DAEMONS)]
    for quotas in fleet:
        divide_quotas(quotas, [_ACCOUNT], _DAEMONS, 0)
    return fleet


def _max_in_window(times: list[int]) -> int:
    width = _WINDOW_S * SECOND_NS
    return max(
        (sum(start <= at < start + width for at in times) for start in times),
        default=0,
    )


@settings(max_examples=30, deadline=None)
@given(
    load=st.lists(
        st.tuples(
            st.integers(0, _DAEMONS - 1),
            st.integers(0, 8),
            st.integers(0, 6),
            st.booleans(),
        ),
        min_size=100,
        max_size=250,
    )
)
def test_transfers_do_not_add_to_the_limit(
    load: list[tuple[int, int, int, bool]],
) -> None:
    """A token that is spent twice would let an account exceed its rate."""
    fleet = _fleet()
    admitted: list[int] = []
    for step, (daemon, requests, delay, is_lost) in enumerate(load):
        now = step * _STEP_NS
        waiting = WaitingRequests()
        for _ in range(requests):
            if admit(fleet[daemon], 'shop', now):
                admitted.append(now)
            else:
                waiting.count += 1
        for lender, quotas in enumerate(fleet):
            if lender == daemon or not waiting.count:
                continue
            granted = grant_tokens(quotas, 'shop', waiting.count, now)
            if not is_lost:
                accept_tokens(waiting, granted, now, now + delay * _STEP_NS)
        admitted.extend([now] * waiting.granted)
    assert _max_in_window(admitted) <= _LIMIT


def test_burst_at_one_daemon_is_served_by_the_tokens_of_others() -> None:
    """The share of one daemon covers only one or two requests of a burst."""
    fleet = _fleet()
    now = 10 * SECOND_NS
    served = sum(admit(fleet[0], 'shop', now) for _ in range(12))
    assert served < 12
    waiting = WaitingRequests(count=12 - served)
    for quotas in fleet[1:]:
        accept_tokens(waiting, grant_tokens(quotas, 'shop', 12, now), now, now)
    assert served + waiting.granted == 12


def test_daemon_keeps_what_its_callers_need_soon() -> None:
    """Two busy daemons must not take tokens from each other in turn."""
    quotas = _fleet()[0]
    for step in range(1, 100):
        now = step * _STEP_NS
        admit(quotas, 'shop', now)
        measure_needs(quotas, now)
    now = 30 * SECOND_NS
    assert grant_tokens(quotas, 'shop', 100, now) >= 1
    assert take_token(quotas, 'shop', now)


def test_late_tokens_are_dropped() -> None:
    """The lender's bucket may have been refilled before they arrive."""
    waiting = WaitingRequests(count=3)
    accept_tokens(waiting, 3, 0, MAX_WAIT_NS + 1)
    assert not waiting.granted
    accept_tokens(waiting, 5, 0, MAX_WAIT_NS)
    assert waiting.granted == 3


def test_other_regions_are_asked_if_the_own_one_has_no_tokens() -> None:
    """If all regions were asked at once, most of the tokens would be lost."""
    waiting = WaitingRequests(count=2)
    interval = 30 * MILLISECOND_NS
    scopes = [
        begin_token_request(waiting, step * interval) for step in range(3)
    ]
    assert scopes == [
        TokenScope.REGION,
        TokenScope.OTHER_REGIONS,
        TokenScope.NOBODY,
    ]
    assert begin_token_request(waiting, SECOND_NS) is TokenScope.REGION


def test_next_token_request_follows_a_reply_at_once() -> None:
    """A second request was refused although the asked daemon had tokens."""
    waiting = WaitingRequests(count=1)
    assert begin_token_request(waiting, 0) is TokenScope.REGION
    accept_tokens(waiting, 1, 0, MILLISECOND_NS)
    assert begin_token_request(waiting, MILLISECOND_NS) is TokenScope.REGION


def test_account_without_tokens_is_refused_at_once() -> None:
    """Requests beyond the rate must not all wait before their refusal."""
    waiting = WaitingRequests()
    assert not should_refuse(waiting, 0)
    expire_wait(waiting, 0)
    assert should_refuse(waiting, 1)
    assert not should_refuse(waiting, SECOND_NS)


def test_wait_leaves_most_of_the_time_for_the_answer() -> None:
    """With long waits, all responses of an account at its limit are late."""
    target = 200 * MILLISECOND_NS
    assert max_token_wait(target) <= target // 4
    assert max_token_wait(10 * SECOND_NS) == MAX_WAIT_NS
