"""Tests of servers that reject requests without being full."""

import asyncio

import pytest
from tests.platform.harness import (
    CallerResponse,
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin

_COUNT = 4
# Time in which the slack of the bounds allows a retry for each request.
_RETRY_TOKENS_S = 1.5


async def _send(harness: EdgeHarness, target: str) -> CallerResponse:
    caller = await harness.connect()
    if target.startswith('/read/'):
        return await caller.fetch(target)
    return await caller.fetch(target, method='POST', body=b'x')


@pytest.mark.parametrize('prefix', ['/read/', '/sale/', '/photo/'])
def test_rejected_request_runs_once_at_another_server(prefix: str) -> None:
    """Guard against refusals while another server accepts the request.

    A rejected request has not run, so this also holds for requests that must
    not run twice.
    """

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        servers['i-1'].is_rejecting = True
        async with running_harness(servers, make_configuration()) as harness:
            await asyncio.sleep(_RETRY_TOKENS_S)
            for number in range(_COUNT):
                target = f'{prefix}{number}'
                assert (await _send(harness, target)).status == 200
            assert len(servers['i-2'].received) == _COUNT
            assert servers['i-1'].shed_count
            metrics = await harness.read_metrics()
            assert 'geraniumshelf_rejections_partial_total' in metrics
            assert 'geraniumshelf_rejections_full_total' not in metrics

    run_scenario(scenario)


@pytest.mark.parametrize('prefix', ['/read/', '/sale/'])
def test_request_that_all_servers_reject_may_be_retried_soon(
    prefix: str,
) -> None:
    """Guard against long waits when servers reject without being full."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2', 'i-3')}
        for server in servers.values():
            server.is_rejecting = True
        async with running_harness(servers, make_configuration()) as harness:
            for number in range(_COUNT):
                response = await _send(harness, f'{prefix}{number}')
                assert response.status == 503
                assert b'"ran": "not-run"' in response.body
                assert 0.05 <= float(response.headers['retry-after']) <= 0.1
            for server in servers.values():
                server.is_rejecting = False
            for number in range(_COUNT):
                target = f'{prefix}{_COUNT + number}'
                assert (await _send(harness, target)).status == 200

    run_scenario(scenario)


def test_request_that_full_servers_reject_is_told_to_wait() -> None:
    """Guard against callers that return at once to servers without room."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', is_full=True)}
        async with running_harness(servers, make_configuration()) as harness:
            response = await _send(harness, '/read/1')
            assert response.status == 503
            assert float(response.headers['retry-after']) >= 0.2
            metrics = await harness.read_metrics()
            assert 'geraniumshelf_rejections_full_total' in metrics

    run_scenario(scenario)
