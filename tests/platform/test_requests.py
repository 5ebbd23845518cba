"""Tests of requests that pass through the daemon and the adapter."""

import asyncio
import json

from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ReceivedRequest, ServerStandin


def _make_servers(*names: str) -> dict[str, ServerStandin]:
    return {name: ServerStandin(name) for name in names}


async def _earn_retries(harness: EdgeHarness) -> None:
    # Each request adds 0.2 to the retry budget, which is empty at the start.
    caller = await harness.connect()
    for number in range(10):
        assert (await caller.fetch(f'/open/{number}')).status == 200
    for server in harness.servers.values():
        server.received.clear()


def test_request_reaches_a_server_without_the_key() -> None:
    """The server must get the account and the deadline, but no API key."""

    async def scenario() -> None:
        servers = _make_servers('i-1')
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            response = await caller.fetch(
                '/read/x?q=1', Cookie='X-Affinity-Key=7'
            )
            assert response.status == 200
            assert response.body == b'/read/x?q=1'
            assert response.headers['x-response-signature'] == 's'
            (received,) = servers['i-1'].received
            assert received.headers['x-tenant'] == 'shop'
            assert received.headers['x-expect-instance'] == 'i-1'
            assert 0 < int(received.headers['x-deadline-ms']) <= 2000
            assert 'x-api-key' not in received.headers

    run_scenario(scenario)


def test_refusals_before_any_server() -> None:
    """Callers do not retry a request after these statuses."""

    async def scenario() -> None:
        servers = _make_servers('i-1')
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            assert (await caller.fetch('/none/x')).status == 404
            assert (
                await caller.fetch('/read/x', X_Api_Key='wrong')
            ).status == 401
            too_large = await caller.fetch(
                '/photo/x', method='POST', body=b'x' * 1000001
            )
            assert too_large.status == 413
            assert not servers['i-1'].received

    run_scenario(scenario)


def test_open_route_needs_no_key_and_passes_no_account() -> None:
    """On a route without a key check, a caller could claim any account."""

    async def scenario() -> None:
        servers = _make_servers('i-1')
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            response = await caller.fetch('/open/x', X_Tenant='shop')
            assert response.status == 200
            assert 'x-tenant' not in servers['i-1'].received[0].headers

    run_scenario(scenario)


def test_daemon_without_configuration_says_not_run() -> None:
    """A 404 would tell callers not to retry."""

    async def scenario() -> None:
        async with running_harness(_make_servers('i-1')) as harness:
            assert await harness.check_ready() == 503
            caller = await harness.connect()
            response = await caller.fetch('/read/x')
            assert response.status == 503
            assert float(response.headers['retry-after']) > 0

    run_scenario(scenario)


def test_requests_of_one_connection_run_at_once_and_answer_in_order() -> None:
    """Pipelined requests of a caller would be delayed by the earlier ones."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', work_s=0.2)}
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            started_at = asyncio.get_running_loop().time()
            for number in range(4):
                caller.send(f'/read/{number}')
            for number in range(4):
                response = await caller.receive()
                assert response.body == f'/read/{number}'.encode()
            assert asyncio.get_running_loop().time() - started_at < 0.7

    run_scenario(scenario)


def test_body_reaches_the_server_whole() -> None:
    """A truncated upload would be lost."""

    async def scenario() -> None:
        servers = _make_servers('i-1')
        body = bytes(range(256)) * 1000
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            response = await caller.fetch('/photo/x', method='POST', body=body)
            assert response.status == 200
            assert servers['i-1'].received[0].body == body

    run_scenario(scenario)


def test_shed_request_runs_at_the_second_home() -> None:
    """A full server has not run the request, so another one may run it."""

    async def scenario() -> None:
        servers = {
            'i-1': ServerStandin('i-1', slots=1, work_s=0.3),
            'i-2': ServerStandin('i-2', slots=1, work_s=0.3),
        }
        async with running_harness(servers, make_configuration()) as harness:
            await _earn_retries(harness)
            callers = [await harness.connect() for _ in range(2)]
            responses = await asyncio.gather(
                *(caller.fetch('/sale/x', method='POST') for caller in callers)
            )
            assert [response.status for response in responses] == [200, 200]
            assert [len(one.received) for one in servers.values()] == [1, 1]

    run_scenario(scenario)


def test_sale_whose_response_was_lost_is_not_sent_again() -> None:
    """A customer would be charged twice if the sale ran on both servers."""

    async def scenario() -> None:
        servers = _make_servers('i-1', 'i-2')
        for server in servers.values():
            server.make_response = lambda _: b''
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            response = await caller.fetch('/sale/x', method='POST')
            assert response.status == 502
            assert sum(len(server.received) for server in servers.values()) == 1

    run_scenario(scenario)


def test_read_whose_response_was_lost_is_sent_to_another_server() -> None:
    """A safe request may run twice, so the caller need not get an error."""

    async def scenario() -> None:
        servers = _make_servers('i-1', 'i-2')
        targets: list[str] = []

        def lose_first(request: ReceivedRequest) -> bytes | None:
            targets.append(request.target)
            return b'' if len(targets) == 1 else None

        async with running_harness(servers, make_configuration()) as harness:
            await _earn_retries(harness)
            for server in servers.values():
                server.make_response = lose_first
            caller = await harness.connect()
            assert (await caller.fetch('/read/x')).status == 200
            assert len(targets) == 2

    run_scenario(scenario)


def test_response_of_another_request_is_skipped() -> None:
    """A late copy of a response may arrive before the next response."""

    async def scenario() -> None:
        server = ServerStandin('i-1')

        def respond_twice(request: ReceivedRequest) -> bytes | None:
            if request.target != '/read/2':
                return None
            stray = b'HTTP/1.1 200 x\r\nX-Request-Id: id-/read/1\r\n'
            stray += (
                b'X-Response-Signature: s\r\nContent-Length: 5\r\n\r\nstray'
            )
            own = b'HTTP/1.1 200 x\r\nX-Request-Id: id-/read/2\r\n'
            own += b'X-Response-Signature: s\r\nContent-Length: 3\r\n\r\nown'
            return stray + own

        server.make_response = respond_twice
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            assert (await caller.fetch('/read/1')).body == b'/read/1'
            assert (await caller.fetch('/read/2')).body == b'own'
            assert (await caller.fetch('/read/3')).body == b'/read/3'

    run_scenario(scenario)


def test_unsigned_success_is_not_passed_on() -> None:
    """Bytes from another source must not be taken for the server's response."""

    async def scenario() -> None:
        server = ServerStandin('i-1')
        server.make_response = lambda _: (
            b'HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\nfake'
        )
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            response = await caller.fetch('/sale/x', method='POST')
            assert response.status == 502

    run_scenario(scenario)


def test_response_that_ends_with_its_connection_is_whole() -> None:
    """A server may send no length and close the connection after the body."""

    async def scenario() -> None:
        server = ServerStandin('i-1')

        def make_response(request: ReceivedRequest) -> bytes:
            head = 'HTTP/1.1 200 x\r\nX-Response-Signature: s\r\n'
            head += f'X-Request-Id: {request.headers["x-request-id"]}\r\n'
            return f'{head}Connection: close\r\n\r\nall of it'.encode()

        server.make_response = make_response
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            caller.send('/sale/x', method='POST')
            while not server.received:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            server.close()
            response = await caller.receive()
            assert response.body == b'all of it'

    run_scenario(scenario)


def test_directory_names_this_daemon() -> None:
    """Callers look up in the directory where to send their requests."""

    async def scenario() -> None:
        async with running_harness(
            _make_servers('i-1'), make_configuration()
        ) as harness:
            await asyncio.sleep(0.3)
            response = await harness.look_up('/resolve?name=x&region=a&zone=a1')
            listing = json.loads(response.body)
            assert listing['addresses'] == [harness.settings.front_address]
            assert 0 < listing['ttl_s'] <= 5

    run_scenario(scenario)


def test_key_that_goes_while_a_request_waits_runs_nothing() -> None:
    """A sale behind a slow response would run with a key withdrawn since."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', work_s=0.8)}
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            caller.send('/read/1')
            caller.send('/sale/1', method='POST')
            server = servers['i-1']
            async with asyncio.timeout(5):
                while not server.received:
                    await asyncio.sleep(0.01)
            harness.store.put(
                'config', 'main', make_configuration(2, tenants=[])
            )
            assert (await caller.receive()).status == 200
            assert (await caller.receive()).status == 401
            assert len(server.received) == 1

    run_scenario(scenario)
