"""Tests of permits for requests to servers that have named a limit."""

from random import Random

import pytest

from geraniumshelf_core.shares.permits import (
    PERMIT_TIME_NS,
    Granters,
    PermitGrant,
    PermitRequest,
    PermitStock,
    choose_granters,
    count_permits,
    grant_permits,
    granted_fraction,
    is_owner_silent,
    make_bucket,
    plan_request,
    record_grant,
    take_permit,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_WINDOW_NS = 4 * SECOND_NS
_STEP_NS = 10 * MILLISECOND_NS


def _request(name: str, wanted: int, now: int, rate: float) -> PermitRequest:
    return PermitRequest(name, now, 's1', 1, rate, 1, wanted)


def _allowed(rate: float) -> float:
    return 1.5 * rate * 4 + 5


def _max_in_window(times: list[int]) -> int:
    return max(
        (
            sum(first <= at < first + _WINDOW_NS for at in times)
            for first in times
        ),
        default=0,
    )


@pytest.mark.parametrize('rate', [0, 0.1, 0.5, 2, 5.6, 9, 60])
@pytest.mark.parametrize('daemons', [1, 9, 65])
@pytest.mark.parametrize('seed', [1, 2])
def test_no_window_holds_more_uses_than_the_limit_allows(
    rate: float, daemons: int, seed: int
) -> None:
    """Guard against permits that are saved up and used all at once.

    Every second of four daemons have no requests, and then a burst of them.
    """
    random = Random(seed)
    owner = make_bucket(0)
    stocks = [PermitStock() for _ in range(daemons)]
    used: list[int] = []
    for step in range(2000):
        now = step * _STEP_NS
        is_burst = now // SECOND_NS % 4 == 3
        for number, stock in enumerate(stocks):
            if random.random() > (0.5 if is_burst else 0.02):
                continue
            stock.needs += 1
            wanted = (
                0 if count_permits(stock, now) else plan_request(stock, now)
            )
            if wanted:
                request = _request(f'n{number}', wanted, now, rate)
                granted, wait = grant_permits(owner, rate, request, now)
                grant = PermitGrant('n0', now, 's1', 1, granted, wait)
                record_grant(stock, grant, now, is_from_owner=True)
            if take_permit(stock, now):
                used.append(now)
    assert _max_in_window(used) <= _allowed(rate)
    assert used


@pytest.mark.parametrize(
    ('rate', 'daemons'), [(0.5, 9), (5.6, 9), (0.5, 65), (5.6, 65), (5.6, 195)]
)
def test_rate_below_one_for_each_daemon_is_not_lost(
    rate: float, daemons: int
) -> None:
    """Guard against a server in need that gets nothing.

    Each daemon has few requests for the server, together they have twice the
    rate.
    """
    random = Random(1)
    owner = make_bucket(0)
    stocks = [PermitStock() for _ in range(daemons)]
    chance = 2 * rate / daemons * _STEP_NS / SECOND_NS
    uses = 0
    seconds = 40
    for step in range(seconds * SECOND_NS // _STEP_NS):
        now = step * _STEP_NS
        for number, stock in enumerate(stocks):
            if random.random() > chance:
                continue
            stock.needs += 1
            wanted = plan_request(stock, now)
            if wanted:
                request = _request(f'n{number}', wanted, now, rate)
                granted, wait = grant_permits(owner, rate, request, now)
                grant = PermitGrant('n0', now, 's1', 1, granted, wait)
                record_grant(stock, grant, now, is_from_owner=True)
            uses += take_permit(stock, now)
    assert uses >= 0.7 * rate * seconds


def test_permit_expires_by_the_time_of_its_request() -> None:
    """Guard against sending on a permit that was granted long ago.

    The daemon was suspended between the request and the grant.
    """
    stock = PermitStock()
    grant = PermitGrant('n0', 0, 's1', 1, 3, 0)
    record_grant(stock, grant, SECOND_NS, is_from_owner=True)
    assert not take_permit(stock, SECOND_NS)
    record_grant(stock, grant, SECOND_NS // 10, is_from_owner=True)
    assert count_permits(stock, PERMIT_TIME_NS - 1) == 3
    assert count_permits(stock, PERMIT_TIME_NS) == 0


@pytest.mark.parametrize('granted', [-5, 10**12])
def test_odd_grants_are_bounded(granted: int) -> None:
    """A malformed message must not use up the memory."""
    stock = PermitStock()
    grant = PermitGrant('n0', 0, 's1', 1, granted, -(10**20))
    record_grant(stock, grant, 0, is_from_owner=True)
    assert count_permits(stock, 0) <= 1000
    assert plan_request(stock, 0)


@pytest.mark.parametrize('wanted', [-5, 0, 10**12])
def test_odd_requests_take_no_more_than_there_is(wanted: int) -> None:
    """A malformed message must neither add permits nor take future ones."""
    owner = make_bucket(0)
    grant_permits(owner, 5, _request('n1', 0, 0, 5), 0)
    granted, _ = grant_permits(
        owner, 5, _request('n1', wanted, 0, 5), SECOND_NS
    )
    assert 0 <= granted <= 4
    assert owner.bucket.tokens >= 0


def test_deputy_is_asked_only_while_the_owner_is_silent() -> None:
    """A server must not get nothing because its owner has failed."""
    stock = PermitStock()
    assert plan_request(stock, 0)
    assert not is_owner_silent(stock, 299 * MILLISECOND_NS)
    assert is_owner_silent(stock, 300 * MILLISECOND_NS)
    deputy = PermitGrant('n1', 0, 's1', 1, 0, 0)
    record_grant(stock, deputy, 310 * MILLISECOND_NS, is_from_owner=False)
    assert is_owner_silent(stock, 310 * MILLISECOND_NS)
    owner = PermitGrant('n0', 0, 's1', 1, 0, 0)
    record_grant(stock, owner, 320 * MILLISECOND_NS, is_from_owner=True)
    assert not is_owner_silent(stock, 320 * MILLISECOND_NS)


def test_owner_is_in_the_region_of_the_server() -> None:
    """Permits from another region come too late for the request."""
    region, other = ('n1', 'n2', 'n3'), ('n4', 'n5')
    granters = choose_granters('s1', region, (*region, *other))
    assert granters is not None
    assert {granters.owner, granters.deputy} <= set(region)
    assert not granters.is_remote
    remote = choose_granters('s1', (), other)
    assert remote is not None
    assert remote.is_remote
    assert choose_granters('s1', (), ()) is None


@pytest.mark.parametrize(('one_side', 'other_side'), [(1, 2), (5, 5), (1, 64)])
def test_both_sides_of_a_cut_together_stay_near_the_rate(
    one_side: int, other_side: int
) -> None:
    """Guard against an owner with the whole rate on each side of a cut."""
    granters = Granters('n1', 'n2')
    total = granted_fraction(
        granters, 'n1', one_side, other_side
    ) + granted_fraction(granters, 'n1', other_side, one_side)
    assert 1 <= total <= 1.3


def test_only_owner_and_deputy_grant_permits() -> None:
    """Other daemons must not add permits to those of the owner."""
    granters = Granters('n1', 'n2')
    assert granted_fraction(granters, 'n1', 3, 0) == 1
    assert 0 < granted_fraction(granters, 'n2', 3, 0) < 0.5
    assert granted_fraction(granters, 'n3', 3, 0) == 0
    remote = Granters('n1', 'n2', is_remote=True)
    assert 0 < granted_fraction(remote, 'n1', 0, 3) < 0.5
