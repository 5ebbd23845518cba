"""Guards requests against failures of backend servers and callers."""

import asyncio

import pytest
from tests.daemon.front.harness import front_harness, outcomes, run, wait_until

from geraniumshelf_core.errors import ResultCode
from geraniumshelf_daemon.clock import current_time


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_cut_answer_never_looks_whole(method: str) -> None:
    """A caller would take a truncated response for a complete one."""

    async def scenario() -> None:
        async with front_harness() as harness:
            harness.set_faults(0, cut_after=1_000_000)
            path = 'list' if method == 'GET' else 'sale'
            response = await harness.request(
                method, f'/desk/{path}?size=4800000'
            )
            assert response.status == 200
            assert not response.is_complete
            assert outcomes(harness) == ['cut']

    run(scenario)


def test_silent_connection_is_replaced_and_its_siblings_dropped() -> None:
    """Requests would accumulate on connections that never respond."""

    async def scenario() -> None:
        async with front_harness(progress_ms=300) as harness:
            address = f'127.0.0.1:{harness.servers[0].port}'
            harness.set_faults(0, service_ms=100)
            await asyncio.gather(harness.request(), harness.request())
            assert harness.pool.idle_count(address) == 2
            harness.set_faults(0, silence=1)
            response = await harness.request()
            assert response.status == 200
            assert outcomes(harness) == ['done', 'done', 'done', 'silent']
            assert harness.pool.idle_count(address) == 1

    run(scenario)


def test_sale_on_a_silent_connection_is_not_sent_again() -> None:
    """The silent server may have executed the request."""

    async def scenario() -> None:
        async with front_harness(servers=2, progress_ms=300) as harness:
            await harness.request()
            harness.set_faults(0, silence=1)
            harness.set_faults(1, silence=1)
            before = len(harness.records)
            responses = [
                await harness.request('POST', '/desk/sale') for _ in range(4)
            ]
            silent = [a for a in responses if a.status != 200]
            for response in silent:
                assert response.code == ResultCode.BACKEND_SILENT
                assert response.ran == 'unknown'
            assert silent
            assert len(harness.records) - before == len(responses)

    run(scenario)


def test_shed_sale_goes_to_another_server() -> None:
    """A request that did not run should not fail due to one busy server."""

    async def scenario() -> None:
        async with front_harness(servers=2) as harness:
            harness.set_faults(0, shed=True)
            for _ in range(6):
                response = await harness.request(
                    'POST', '/desk/sale', body=b'candle'
                )
                assert response.status == 200
            done = [r for r in harness.records if r.outcome == 'done']
            assert len(done) == 6

    run(scenario)


def test_refusal_by_all_servers_says_not_run_truthfully() -> None:
    """Guarantee 8: the caller may retry only if the request did not run."""

    async def scenario() -> None:
        async with front_harness(servers=2) as harness:
            harness.set_faults(0, shed=True)
            harness.set_faults(1, shed=True)
            response = await harness.request(
                'POST', '/desk/sale', body=b'candle'
            )
            assert response.code == ResultCode.BACKEND_REFUSED
            assert (response.status, response.ran) == (503, 'not-run')
            assert response.headers['retry-after'] == '1'
            assert set(outcomes(harness)) == {'shed'}

    run(scenario)


def test_server_without_a_process_is_passed_over() -> None:
    """After a refused connection a retry is safe, as nothing was sent."""

    async def scenario() -> None:
        async with front_harness(extra_ports=(1,)) as harness:
            for _ in range(6):
                assert (
                    await harness.request('POST', '/desk/sale')
                ).status == 200
            assert len(harness.records) == 6

    run(scenario)


def test_shed_request_waits_for_a_slot() -> None:
    """Other daemons may fill a server; the request waits for a free slot."""

    async def scenario() -> None:
        async with front_harness(slots=1) as harness:
            backend = harness.servers[0].backend
            backend.in_flight = 1
            pending = asyncio.ensure_future(harness.request())
            await wait_until(lambda: harness.records)
            await asyncio.sleep(0.02)
            backend.in_flight -= 1
            assert (await pending).status == 200

    run(scenario)


def test_leaving_caller_cancels_its_work() -> None:
    """Requests of disconnected callers would occupy slots."""

    async def scenario() -> None:
        async with front_harness() as harness:
            harness.set_faults(0, service_ms=60_000)
            caller = await harness.connect()
            caller.send('GET', '/desk/list')
            await wait_until(lambda: len(harness.records) == 1)
            caller.close()
            await wait_until(lambda: outcomes(harness) == ['cancelled'])
            assert harness.servers[0].backend.in_flight == 0

    run(scenario)


def test_caller_that_stops_uploading_is_refused_and_its_work_ends() -> None:
    """A caller that stops sending would occupy a slot indefinitely."""

    async def scenario() -> None:
        async with front_harness(progress_ms=300) as harness:
            caller = await harness.connect()
            caller.send('PUT', '/desk/list', body=b'half', length=1000)
            response = await caller.receive()
            assert response.code == ResultCode.CALLER_SILENT
            assert response.ran == 'unknown'
            await wait_until(lambda: outcomes(harness) == ['cancelled'])

    run(scenario)


def test_deadline_is_passed_on_and_kept() -> None:
    """A request must not run on after the deadline of its caller."""

    async def scenario() -> None:
        async with front_harness() as harness:
            harness.set_faults(0, late_ms=60_000, silence=1)
            header = 'Geraniumshelf-Deadline-Ms: 400'
            response = await harness.request(headers=(header,))
            assert response.status == 504
            (record,) = harness.records
            sent = dict(record.headers)['Geraniumshelf-Deadline-Ms']
            assert 0 < int(sent) <= 400

    run(scenario)


def test_slots_limit_requests_and_too_long_a_wait_is_refused() -> None:
    """A server that runs more requests than its slots slows all of them.

    A request that cannot get a slot before its deadline is refused at once.
    """

    async def scenario() -> None:
        async with front_harness(slots=2) as harness:
            harness.set_faults(0, service_ms=20)
            responses = await asyncio.gather(
                *(harness.request() for _ in range(30))
            )
            assert {a.status for a in responses} == {200}
            assert harness.servers[0].backend.most_in_flight == 2
            harness.set_faults(0, service_ms=60_000)
            busy = [await harness.connect() for _ in range(2)]
            for caller in busy:
                caller.send('GET', '/desk/list')
            await wait_until(lambda: harness.servers[0].backend.in_flight == 2)
            header = 'Geraniumshelf-Deadline-Ms: 300'
            refused = await harness.request(headers=(header,))
            assert refused.code == ResultCode.OVERLOADED
            assert refused.ran == 'not-run'
            assert int(refused.headers['retry-after']) >= 1
            assert len(harness.records) == 32
            for caller in busy:
                caller.close()

    run(scenario)


def test_each_caller_gets_its_own_answer() -> None:
    """Guarantee 7: reused connections must not mix up responses."""

    async def scenario() -> None:
        async with front_harness(servers=3, slots=4) as harness:
            harness.set_faults(1, late_ms=30)

            async def is_own_response(size: int) -> bool:
                response = await harness.request(path=f'/desk/list?size={size}')
                return len(response.body) == size

            sizes = [16 * (1 + n * 7919 % 9000) for n in range(120)]
            assert all(
                await asyncio.gather(*(is_own_response(n) for n in sizes))
            )

    run(scenario)


def test_drain_finishes_running_requests_and_closes_the_port() -> None:
    """Guarantee 11: a planned stop interrupts no request."""

    async def scenario() -> None:
        async with front_harness() as harness:
            harness.set_faults(0, service_ms=400)
            caller = await harness.connect()
            caller.send('GET', '/desk/list')
            await wait_until(lambda: len(harness.records) == 1)
            draining = asyncio.ensure_future(
                harness.front.drain(current_time())
            )
            response = await caller.receive()
            assert response.status == 200
            assert response.headers['connection'] == 'close'
            await draining
            with pytest.raises(ConnectionRefusedError):
                await harness.connect()

    run(scenario)


def test_leaving_server_gets_no_new_work() -> None:
    """Guarantee 10: a backend server that leaves gets no new requests."""

    async def scenario() -> None:
        async with front_harness(servers=2) as harness:
            harness.dispatcher.state.servers['s0'].is_leaving = True
            for _ in range(6):
                assert (await harness.request()).status == 200
            assert not harness.servers[0].backend.records
            harness.dispatcher.state.servers['s1'].is_leaving = True
            refused = await harness.request()
            assert refused.code == ResultCode.NO_BACKEND_SERVER

    run(scenario)


def test_stopped_server_is_not_reached_over_kept_connections() -> None:
    """A closed keep-alive connection must be detected before its reuse."""

    async def scenario() -> None:
        async with front_harness(servers=2) as harness:
            await asyncio.gather(*(harness.request() for _ in range(4)))
            await harness.servers[0].close()
            for _ in range(6):
                assert (
                    await harness.request('POST', '/desk/sale')
                ).status == 200

    run(scenario)
