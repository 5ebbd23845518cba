"""Tests of servers that write an earlier refusal once more."""

import pytest
from tests.platform.faulty_servers import build_response
from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ReceivedRequest, ServerStandin

_REFUSAL = (
    'HTTP/1.1 {status} x\r\n{ids}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


async def _sell(harness: EdgeHarness, target: str) -> int:
    caller = await harness.connect()
    return (await caller.fetch(target, method='POST', body=b'x')).status


@pytest.mark.parametrize('status', [429, 503])
@pytest.mark.parametrize(
    'ids', ['X-Request-Id: id-/sale/1\r\n', '', 'X-Request-Id: \r\n']
)
def test_second_copy_of_a_refusal_refuses_no_request_that_runs(
    status: int, ids: str
) -> None:
    """Guard against "not run" for a request that a server is running.

    The server writes the refusal of an earlier request once more, before its
    response to the next request on the connection.
    """
    refusal = _REFUSAL.format(status=status, ids=ids).encode()

    def respond(request: ReceivedRequest) -> bytes | None:
        request_id = request.headers['x-request-id']
        if request_id == 'id-/sale/1':
            return refusal
        if request_id == 'id-/sale/3':
            return refusal + build_response(request_id, b'sold')
        return None

    async def scenario() -> None:
        servers = {
            name: ServerStandin(name, make_response=respond)
            for name in ('i-1', 'i-2')
        }
        async with running_harness(servers, make_configuration()) as harness:
            for target in ('/sale/1', '/sale/2'):
                await _sell(harness, target)
            assert await _sell(harness, '/sale/3') in {200, 502}
            runs = [
                request
                for server in servers.values()
                for request in server.received
                if request.target == '/sale/3'
            ]
            assert len(runs) == 1

    run_scenario(scenario)
