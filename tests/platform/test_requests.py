"""Guards the path of a request through the daemon and the adapter."""

import asyncio
import json

from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ReceivedRequest, ServerStandin


def _standins(*names: str) -> dict[str, ServerStandin]:
    return {name: ServerStandin(name) for name in names}


async def _earn_repeats(harness: EdgeHarness) -> None:
    # Each request allows a fifth of a repeat; a daemon starts with none.
    caller = await harness.connect()
    for number in range(10):
        assert (await caller.fetch(f'/open/{number}')).status == 200
    for server in harness.servers.values():
        server.received.clear()


def test_request_reaches_a_server_without_the_key() -> None:
    """The server must see the account, the time left and no key."""

    async def scenario() -> None:
        servers = _standins('i-1')
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            answer = await caller.fetch(
                '/read/x?q=1', Cookie='X-Affinity-Key=7'
            )
            assert answer.status == 200
            assert answer.body == b'/read/x?q=1'
            assert answer.headers['x-response-signature'] == 's'
            (received,) = servers['i-1'].received
            assert received.headers['x-tenant'] == 'shop'
            assert received.headers['x-expect-instance'] == 'i-1'
            assert 0 < int(received.headers['x-deadline-ms']) <= 2000
            assert 'x-api-key' not in received.headers

    run_scenario(scenario)


def test_refusals_before_any_server() -> None:
    """Callers don't repeat a request after these statuses."""

    async def scenario() -> None:
        servers = _standins('i-1')
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            assert (await caller.fetch('/none/x')).status == 404
            assert (
                await caller.fetch('/read/x', X_Api_Key='wrong')
            ).status == 401
            big = await caller.fetch(
                '/photo/x', method='POST', body=b'x' * 1000001
            )
            assert big.status == 413
            assert not servers['i-1'].received

    run_scenario(scenario)


def test_open_route_needs_no_key_and_passes_no_account() -> None:
    """A caller could act as an account on a route that checks no key."""

    async def scenario() -> None:
        servers = _standins('i-1')
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            answer = await caller.fetch('/open/x', X_Tenant='shop')
            assert answer.status == 200
            assert 'x-tenant' not in servers['i-1'].received[0].headers

    run_scenario(scenario)


def test_daemon_without_configuration_says_not_run() -> None:
    """A 404 would tell callers not to come back."""

    async def scenario() -> None:
        async with running_harness(_standins('i-1')) as harness:
            assert await harness.check_ready() == 503
            caller = await harness.connect()
            answer = await caller.fetch('/read/x')
            assert answer.status == 503
            assert float(answer.headers['retry-after']) > 0

    run_scenario(scenario)


def test_requests_of_one_connection_run_at_once_and_answer_in_order() -> None:
    """A caller that sends ahead would wait for each answer in turn."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', work_s=0.2)}
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            begun = asyncio.get_running_loop().time()
            for number in range(4):
                caller.send(f'/read/{number}')
            for number in range(4):
                answer = await caller.receive()
                assert answer.body == f'/read/{number}'.encode()
            assert asyncio.get_running_loop().time() - begun < 0.7

    run_scenario(scenario)


def test_body_reaches_the_server_whole() -> None:
    """A photograph that is cut is lost to the parish."""

    async def scenario() -> None:
        servers = _standins('i-1')
        body = bytes(range(256)) * 1000
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            answer = await caller.fetch('/photo/x', method='POST', body=body)
            assert answer.status == 200
            assert servers['i-1'].received[0].body == body

    run_scenario(scenario)


def test_shed_request_runs_at_the_second_home() -> None:
    """A server that is full says that it did not run the request."""

    async def scenario() -> None:
        servers = {
            'i-1': ServerStandin('i-1', slots=1, work_s=0.3),
            'i-2': ServerStandin('i-2', slots=1, work_s=0.3),
        }
        async with running_harness(servers, make_configuration()) as harness:
            await _earn_repeats(harness)
            callers = [await harness.connect() for _ in range(2)]
            answers = await asyncio.gather(
                *(one.fetch('/sale/x', method='POST') for one in callers)
            )
            assert [answer.status for answer in answers] == [200, 200]
            assert [len(one.received) for one in servers.values()] == [1, 1]

    run_scenario(scenario)


def test_sale_whose_answer_was_lost_is_not_sent_again() -> None:
    """A family would be charged twice."""

    async def scenario() -> None:
        servers = _standins('i-1', 'i-2')
        for server in servers.values():
            server.make_response = lambda _: b''
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            answer = await caller.fetch('/sale/x', method='POST')
            assert answer.status == 502
            assert sum(len(one.received) for one in servers.values()) == 1

    run_scenario(scenario)


def test_read_whose_answer_was_lost_is_sent_to_another_server() -> None:
    """A reading may run twice, so its caller need not fail."""

    async def scenario() -> None:
        servers = _standins('i-1', 'i-2')
        lost: list[str] = []

        def lose_first(request: ReceivedRequest) -> bytes | None:
            lost.append(request.target)
            return b'' if len(lost) == 1 else None

        async with running_harness(servers, make_configuration()) as harness:
            await _earn_repeats(harness)
            for server in servers.values():
                server.make_response = lose_first
            caller = await harness.connect()
            assert (await caller.fetch('/read/x')).status == 200
            assert len(lost) == 2

    run_scenario(scenario)


def test_answer_of_another_request_is_skipped() -> None:
    """A second answer may come where the next one is expected."""

    async def scenario() -> None:
        server = ServerStandin('i-1')

        def answer_twice(request: ReceivedRequest) -> bytes | None:
            if request.target != '/read/2':
                return None
            stray = b'HTTP/1.1 200 x\r\nX-Request-Id: id-/read/1\r\n'
            stray += (
                b'X-Response-Signature: s\r\nContent-Length: 5\r\n\r\nstray'
            )
            own = b'HTTP/1.1 200 x\r\nX-Request-Id: id-/read/2\r\n'
            own += b'X-Response-Signature: s\r\nContent-Length: 3\r\n\r\nown'
            return stray + own

        server.make_response = answer_twice
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            assert (await caller.fetch('/read/1')).body == b'/read/1'
            assert (await caller.fetch('/read/2')).body == b'own'
            assert (await caller.fetch('/read/3')).body == b'/read/3'

    run_scenario(scenario)


def test_unsigned_success_is_not_passed_on() -> None:
    """Bytes that are not the server's answer must not look like one."""

    async def scenario() -> None:
        server = ServerStandin('i-1')
        server.make_response = lambda _: (
            b'HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\nfake'
        )
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            answer = await caller.fetch('/sale/x', method='POST')
            assert answer.status == 502

    run_scenario(scenario)


def test_answer_that_ends_with_its_connection_is_whole() -> None:
    """A server may give no length and close after the last byte."""

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
            answered = await caller.receive()
            assert answered.body == b'all of it'

    run_scenario(scenario)


def test_directory_names_this_daemon() -> None:
    """Callers ask here where to send requests."""

    async def scenario() -> None:
        async with running_harness(
            _standins('i-1'), make_configuration()
        ) as harness:
            await asyncio.sleep(0.3)
            answer = await harness.look_up('/resolve?name=x&region=a&zone=a1')
            found = json.loads(answer.body)
            assert found['addresses'] == [harness.settings.front_address]
            assert 0 < found['ttl_s'] <= 5

    run_scenario(scenario)


def test_key_that_goes_while_a_request_waits_runs_nothing() -> None:
    """A sale behind a slow answer would run with a key long withdrawn."""

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
