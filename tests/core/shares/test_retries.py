"""Guards the retry budget of a service over all daemons."""

from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumshelf_core.shares.division import cold_limit, whole_units
from geraniumshelf_core.shares.retries import (
    RetryShares,
    divide_slack,
    earn_retries,
    spend_retry,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_RATIO = 0.2
_SLACK = 58.0
_WINDOW_S = 10
_DAEMONS = 3


@settings(max_examples=30, deadline=None)
@given(
    load=st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 12)),
        min_size=100,
        max_size=250,
    )
)
def test_retries_stay_within_the_budget(load: list[tuple[int, int]]) -> None:
    """Retries of all requests would add to the overload of shedding servers."""
    fleet = []
    for _ in range(_DAEMONS):
        shares = RetryShares(_RATIO, _SLACK, _WINDOW_S)
        divide_slack(shares, _DAEMONS, 0)
        fleet.append(shares)
    requests: list[int] = []
    retries: list[int] = []
    for step, (request_count, retry_count) in enumerate(load):
        now = step * 200 * MILLISECOND_NS
        for shares in fleet:
            for _ in range(request_count):
                earn_retries(shares, 'desk', now)
                requests.append(now)
            retries.extend(
                now
                for _ in range(retry_count)
                if spend_retry(shares, 'desk', now)
            )
    width = _WINDOW_S * SECOND_NS
    for end in {*retries}:
        window = range(end - width, end + 1)
        sent_requests = sum(at in window for at in requests)
        sent_retries = sum(at in window for at in retries)
        assert sent_retries <= _RATIO * sent_requests + _SLACK


@settings(max_examples=30, deadline=None)
@given(restarts=st.lists(st.integers(0, 150), min_size=1, max_size=4))
def test_restarts_bring_no_further_retries(restarts: list[int]) -> None:
    """Guard against a whole slack of retries after each restart."""
    shares = RetryShares(_RATIO, _SLACK, _WINDOW_S, started_at=0)
    retries: list[int] = []
    for step in range(150):
        now = step * 200 * MILLISECOND_NS
        if step in restarts:
            shares = RetryShares(_RATIO, _SLACK, _WINDOW_S, started_at=now)
        while spend_retry(shares, 'desk', now):
            retries.append(now)
    width = _WINDOW_S * SECOND_NS
    for end in {*retries}:
        window = range(end - width, end + 1)
        assert sum(at in window for at in retries) <= _SLACK


def test_cold_shares_add_up_to_the_limit_at_most() -> None:
    """The daemons of a region must not exceed the limit of a cold server."""
    limit = cold_limit(15, 1.5, 5)
    for daemons in range(1, 40):
        assert daemons * whole_units(limit / daemons, 1) <= limit
        assert whole_units(limit / daemons, daemons) <= limit
