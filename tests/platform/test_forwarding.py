"""Tests of requests at a daemon that has not loaded, served by another one."""

import asyncio

import pytest
from attrs import evolve
from tests.platform.harness import HOST, TIMEOUT_S, make_path
from tests.platform.server_standin import ReceivedRequest
from tests.platform.zone_harness import SLOW_S, Zone, run_in_zone

from geraniumshelf_daemon.edge import forwarding


def test_stop_tells_a_busy_connection_of_a_daemon_that_has_loaded() -> None:
    """Guard against sales cut on connections older than the configuration.

    They stayed forwarded and were closed at the end of the grace period.
    """

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        assert (await caller.fetch('/sale/1', method='POST')).status == 200
        await zone.load()
        stopping = asyncio.create_task(zone.daemons['n1'].stop())
        await asyncio.sleep(0.2)
        last = await caller.fetch('/sale/2', method='POST')
        assert last.status == 200
        assert last.headers.get('connection') == 'close'
        await stopping
        assert zone.targets() == ['/sale/1', '/sale/2']

    run_in_zone(scenario)


def test_loaded_daemon_serves_connections_that_it_had_forwarded() -> None:
    """Guard against clients that depend on two daemons for good."""

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        assert (await caller.fetch('/read/1')).status == 200
        await zone.load()
        await zone.daemons.pop('n2').close()
        assert (await caller.fetch('/read/2')).status == 200

    run_in_zone(scenario)


@pytest.mark.parametrize('is_loaded', [False, True])
def test_stop_waits_for_all_answers_of_a_pipelined_connection(
    is_loaded: bool,
) -> None:
    """Guard against a second answer lost because the first one had begun."""

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        assert (await caller.fetch('/read/0')).status == 200
        if is_loaded:
            await zone.load()
        stopping = asyncio.create_task(zone.daemons['n1'].stop())
        await asyncio.sleep(1.8)
        caller.send('/read/1')
        caller.send('/read/slow')
        assert (await caller.receive()).body == b'/read/1'
        last = await caller.receive()
        assert last.body == b'/read/slow'
        assert last.headers.get('connection') == 'close'
        await stopping

    run_in_zone(scenario)


@pytest.mark.parametrize('delay_s', [0.1, 0.8])
def test_request_late_in_a_stop_is_refused_before_it_runs(
    delay_s: float,
) -> None:
    """Guard against forwarded work that the end of the stop cuts.

    A caller may not repeat it elsewhere, as it may have run.
    """

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        assert (await caller.fetch('/read/0')).status == 200
        stopping = asyncio.create_task(zone.daemons['n1'].stop())
        await asyncio.sleep(2)
        # The first request keeps the connection open. The second one is late,
        # or gets late as it waits for the first response.
        caller.send('/read/slow')
        await asyncio.sleep(delay_s)
        caller.send('/sale/late', 'POST', b'x')
        assert (await caller.receive()).body == b'/read/slow'
        late = await caller.receive()
        assert late.status == 503
        assert float(late.headers['retry-after']) > 0
        await stopping
        assert '/sale/late' not in zone.targets()

    run_in_zone(scenario)


def test_change_of_the_entry_cuts_no_answer() -> None:
    """Guard against connections closed as idle while an answer is due."""

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        caller.send('/read/1')
        caller.send('/read/slow')
        assert (await caller.receive()).status == 200
        # The entry counts as leaving, so it is no target any more.
        stopping = asyncio.create_task(zone.daemons.pop('n2').stop())
        await asyncio.sleep(0.1)
        other = await zone.connect()
        assert (await other.fetch('/read/other')).status == 503
        assert (await caller.receive()).body == b'/read/slow'
        await stopping

    run_in_zone(scenario)


@pytest.fixture
def silent_entry(monkeypatch: pytest.MonkeyPatch) -> list[asyncio.StreamReader]:
    """Replace the entry by one that accepts requests and never answers."""
    accepted: list[asyncio.StreamReader] = []

    async def accept(
        reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
    ) -> None:
        accepted.append(reader)

    async def listen() -> str:
        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    forward = forwarding.RequestForwarder.forward

    async def forward_to_silent(self, caller, target, *arguments):
        target = evolve(target, front_address=await listen())
        await forward(self, caller, target, *arguments)

    monkeypatch.setattr(
        forwarding.RequestForwarder, 'forward', forward_to_silent
    )
    return accepted


def test_frozen_entry_holds_a_request_for_the_timeout_of_its_route(
    silent_entry: list[asyncio.StreamReader],
) -> None:
    """Guard against requests that hang at a daemon which has loaded since."""

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        caller.send('/sale/1', 'POST', b'x', X_Deadline_Ms='9000')
        await zone.wait_until(lambda: bool(silent_entry))
        started_at = asyncio.get_running_loop().time()
        await zone.load()
        response = await caller.receive()
        assert response.status == 504
        assert asyncio.get_running_loop().time() - started_at < 5

    run_in_zone(scenario)


def test_frozen_entry_holds_a_request_for_the_deadline_of_its_caller(
    silent_entry: list[asyncio.StreamReader],
) -> None:
    """Guard against requests that wait for a frozen daemon without end."""

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        response = await caller.fetch('/read/1', X_Deadline_Ms='600')
        assert response.status == 504

    run_in_zone(scenario)


def test_sale_whose_entry_dies_is_not_sent_again() -> None:
    """Guard against a sale that runs twice, or is said not to have run."""

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        caller.send('/sale/slow', 'POST', b'x')
        await zone.wait_until(lambda: bool(zone.server._writers))
        await asyncio.sleep(0.3)
        await zone.daemons.pop('n2').close()
        response = await caller.receive()
        assert response.status == 502
        await asyncio.sleep(SLOW_S)
        assert len(zone.targets()) <= 1

    run_in_zone(scenario)


def test_forwarded_request_is_not_forwarded_again() -> None:
    """Guard against requests that circle between daemons."""

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        response = await caller.fetch(
            '/read/1', **{'Geraniumshelf-Forwarded': '1'}
        )
        assert response.status == 503
        assert not zone.targets()

    run_in_zone(scenario)


def test_forwarded_request_reaches_a_server_like_any_other() -> None:
    """Guard against keys, marks and wrong deadlines at servers."""

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        response = await caller.fetch(
            '/photo/1?a=b', method='PUT', body=b'x' * 100_000
        )
        assert response.status == 200
        [received] = zone.server.received
        assert received.method == 'PUT'
        assert received.target == '/photo/1?a=b'
        assert received.body == b'x' * 100_000
        assert received.headers['x-tenant'] == 'shop'
        assert received.headers['x-request-id'] == 'id-/photo/1?a=b'
        assert 0 < int(received.headers['x-deadline-ms']) <= 2000
        assert not {'x-api-key', 'geraniumshelf-forwarded'} & set(
            received.headers
        )

    run_in_zone(scenario)


def test_refusal_of_an_entry_keeps_its_code() -> None:
    """Guard against refusals whose cause a caller can't tell."""

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        unknown = await caller.fetch('/nowhere/1')
        assert unknown.status == 404
        assert unknown.headers['geraniumshelf-code'] == '2003'
        assert unknown.headers['geraniumshelf-ran'] == 'not-run'

    run_in_zone(scenario)


def test_work_of_a_forwarded_caller_that_left_is_cancelled() -> None:
    """Guard against slots used for responses that no caller reads."""

    async def scenario(zone: Zone) -> None:
        zone.server.work_s = SLOW_S
        caller = await zone.connect()
        caller.send('/read/1')
        await zone.wait_until(lambda: bool(zone.server.received))
        caller.close()
        await zone.wait_until(lambda: zone.server.aborted_count == 1)

    paths = [make_path('/read/', timeout_s=4)]
    run_in_zone(scenario, hosts=[{'host': HOST, 'paths': paths}])


def test_cut_response_of_an_entry_is_not_complete() -> None:
    """Guard against a long response that looks whole without its end."""

    async def scenario(zone: Zone) -> None:
        body = b'x' * 2_000_000

        def respond(request: ReceivedRequest) -> bytes:
            head = (
                'HTTP/1.1 200 x\r\nX-Response-Signature: s\r\n'
                f'X-Request-Id: {request.headers["x-request-id"]}\r\n'
                f'Content-Length: {2 * len(body)}\r\n\r\n'
            )
            return head.encode() + body

        zone.server.make_response = respond
        caller = await zone.connect()
        caller.send('/read/1')
        await caller.reader.readuntil(b'\r\n\r\n')
        await zone.daemons.pop('n2').close()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            async with asyncio.timeout(TIMEOUT_S):
                await caller.reader.readexactly(2 * len(body))

    run_in_zone(scenario)
