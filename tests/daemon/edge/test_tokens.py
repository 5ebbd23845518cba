"""Tests requests that wait for tokens of their account."""

import asyncio

from geraniumshelf_core.shares.messages import TokenGrant
from geraniumshelf_core.shares.quotas import AccountQuotas, divide_quotas
from geraniumshelf_core.shares.transfers import MAX_WAIT_NS, TokenScope
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.clock import boot_time
from geraniumshelf_daemon.edge.tokens import AccountTokens, TokenDemand

_TIMEOUT_S = 5


def _quotas(rate: float) -> AccountQuotas:
    quotas = AccountQuotas(0, 0, 5)
    account = SiteAccount('shop', ('k',), rate, 1.1)
    divide_quotas(quotas, [account], 1, boot_time())
    return quotas


async def _acquire(tokens: AccountTokens) -> tuple[bool, int]:
    started_at = boot_time()
    async with asyncio.timeout(_TIMEOUT_S):
        is_granted = await tokens.acquire('shop', 4 * MAX_WAIT_NS)
    return is_granted, boot_time() - started_at


def test_request_waits_for_a_token_that_comes_soon() -> None:
    """Guard against refusals while the token buckets are still empty.

    After a power loss all buckets are empty, and requests were refused at once.
    """
    tokens = AccountTokens(_quotas(20), boot_time, lambda _demand, _now: None)
    granted, _ = asyncio.run(_acquire(tokens))
    assert granted


def test_request_takes_a_token_of_another_daemon() -> None:
    """Guard against refusals while another daemon has spare tokens.

    The local bucket of an account with a low rate refills too slowly.
    """
    demands: list[TokenDemand] = []

    def reply(demand: TokenDemand, now: int) -> None:
        demands.append(demand)
        tokens.receive_grant(TokenGrant(now, demand.account, demand.wanted, 0))

    tokens = AccountTokens(_quotas(0.1), boot_time, reply)
    granted, _ = asyncio.run(_acquire(tokens))
    assert granted
    assert demands == [TokenDemand('shop', 1, TokenScope.REGION)]


def test_account_beyond_its_rate_is_refused_soon_and_then_at_once() -> None:
    """Guard against long waits of requests that are refused anyway."""

    async def scenario() -> None:
        tokens = AccountTokens(
            _quotas(0.1), boot_time, lambda _demand, _now: None
        )
        granted, waited = await _acquire(tokens)
        assert not granted
        assert MAX_WAIT_NS <= waited < SECOND_NS
        granted, waited = await _acquire(tokens)
        assert not granted
        assert waited < MAX_WAIT_NS // 3

    asyncio.run(scenario())


def test_grant_without_a_waiting_request_never_overfills_the_bucket() -> None:
    """Guard against more tokens in a bucket than the share of the daemon.

    The requests of all daemons would then exceed the limit of the account.
    """
    quotas = _quotas(0.1)
    tokens = AccountTokens(quotas, boot_time, lambda _demand, _now: None)
    tokens.receive_grant(TokenGrant(boot_time(), 'shop', 5, 0))
    bucket = quotas.shares['shop'].bucket
    assert bucket.tokens == bucket.capacity < 2


def test_late_grant_without_a_waiting_request_is_dropped() -> None:
    """Guard against requests beyond the limit of the account.

    The granting daemon has refilled its bucket by the time a late grant
    arrives.
    """
    quotas = _quotas(0.1)
    tokens = AccountTokens(quotas, boot_time, lambda _demand, _now: None)
    requested_at = boot_time() - 2 * MAX_WAIT_NS
    tokens.receive_grant(TokenGrant(requested_at, 'shop', 1, 0))
    granted, _ = asyncio.run(_acquire(tokens))
    assert not granted


def test_waiting_requests_get_tokens_by_priority() -> None:
    """Guard against urgent requests that wait behind others of the account.

    Three requests wait, and tokens of another daemon arrive one by one.
    """
    served: list[int] = []

    async def request(tokens: AccountTokens, priority: int) -> None:
        if await tokens.acquire('shop', 4 * MAX_WAIT_NS, priority):
            served.append(priority)

    async def scenario() -> None:
        tokens = AccountTokens(
            _quotas(0.1), boot_time, lambda _demand, _now: None
        )
        requests = [
            asyncio.create_task(request(tokens, priority))
            for priority in (2, 1, 0)
        ]
        for _ in requests:
            await asyncio.sleep(0.02)
            tokens.receive_grant(TokenGrant(boot_time(), 'shop', 1, 0))
        async with asyncio.timeout(_TIMEOUT_S):
            await asyncio.gather(*requests)

    asyncio.run(scenario())
    assert served == [0, 1, 2]


def test_refused_requests_are_told_different_times() -> None:
    """Guard against callers that return together and are refused again."""
    tokens = AccountTokens(_quotas(2), boot_time, lambda _demand, _now: None)
    asyncio.run(_acquire(tokens))
    first, second = tokens.state_retry('shop'), tokens.state_retry('shop')
    assert second - first > MAX_WAIT_NS
