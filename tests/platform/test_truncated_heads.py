"""Tests of responses whose head breaks off."""

import pytest
from tests.platform.faulty_servers import (
    SIGNED,
    TruncatingServer,
    build_response,
)
from tests.platform.harness import (
    make_configuration,
    run_scenario,
    running_harness,
)

_HEAD = f'HTTP/1.1 200 x\r\nX-Request-Id: id-/sale/1\r\n{SIGNED}'
_FRAMINGS = (
    'Connection: close\r\n',
    'Content-Length: 10\r\n',
    'Transfer-Encoding: chunked\r\n',
)


@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('prefix', [b'', build_response('id-0', b'other')])
def test_head_that_breaks_off_never_looks_complete(
    prefix: bytes, framing: str
) -> None:
    """Guard against a success with an empty body that looks complete.

    The head may follow a response to another request.
    """

    async def scenario() -> None:
        server = TruncatingServer('i-1')
        server.full_response = prefix + f'{_HEAD}{framing}\r\n'.encode()
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            for length in range(len(prefix), len(server.full_response)):
                server.sent_bytes = length
                harness.daemon._state.placement.servers['i-1'].ejected_until = 0
                caller = await harness.connect()
                response = await caller.fetch('/sale/1', method='POST')
                assert response.status == 502, server.full_response[:length]
                caller.close()

    run_scenario(scenario)
