"""Causes the failures of backend servers and callers on loopback."""

import asyncio

import pytest
from tests.daemon.front.harness import front_harness, outcomes, run, until

from geraniumshelf_core.errors import ResultCode
from geraniumshelf_daemon.clock import current_time


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_cut_answer_never_looks_whole(method: str) -> None:
    """A caller would take half a price list for the whole one."""

    async def scenario() -> None:
        async with front_harness() as w:
            w.set_faults(0, cut_after=1_000_000)
            path = 'list' if method == 'GET' else 'sale'
            answer = await w.ask(method, f'/desk/{path}?size=4800000')
            assert answer.status == 200
            assert not answer.is_whole
            assert outcomes(w) == ['cut']

    run(scenario)


def test_silent_connection_is_replaced_and_its_siblings_dropped() -> None:
    """Requests would queue up on connections that never answer."""

    async def scenario() -> None:
        async with front_harness(progress_ms=300) as w:
            address = f'127.0.0.1:{w.servers[0].port}'
            w.set_faults(0, service_ms=100)
            await asyncio.gather(w.ask(), w.ask())
            assert w.pool.idle_count(address) == 2
            w.set_faults(0, silence=1)
            answer = await w.ask()
            assert answer.status == 200
            assert outcomes(w) == ['done', 'done', 'done', 'silent']
            assert w.pool.idle_count(address) == 1

    run(scenario)


def test_sale_on_a_silent_connection_is_not_sent_again() -> None:
    """The silent server may have entered the sale."""

    async def scenario() -> None:
        async with front_harness(servers=2, progress_ms=300) as w:
            await w.ask()
            w.set_faults(0, silence=1)
            w.set_faults(1, silence=1)
            before = len(w.records)
            answers = [await w.ask('POST', '/desk/sale') for _ in range(4)]
            silent = [a for a in answers if a.status != 200]
            for answer in silent:
                assert answer.code == ResultCode.BACKEND_SILENT
                assert answer.ran == 'unknown'
            assert silent
            assert len(w.records) - before == len(answers)

    run(scenario)


def test_shed_sale_goes_to_another_server() -> None:
    """A sale that did not run should not be lost to one busy server."""

    async def scenario() -> None:
        async with front_harness(servers=2) as w:
            w.set_faults(0, shed=True)
            for _ in range(6):
                answer = await w.ask('POST', '/desk/sale', body=b'candle')
                assert answer.status == 200
            done = [r for r in w.records if r.outcome == 'done']
            assert len(done) == 6

    run(scenario)


def test_refusal_by_all_servers_says_not_run_truthfully() -> None:
    """Guarantee 8: the caller may come back only if nothing ran."""

    async def scenario() -> None:
        async with front_harness(servers=2) as w:
            w.set_faults(0, shed=True)
            w.set_faults(1, shed=True)
            answer = await w.ask('POST', '/desk/sale', body=b'candle')
            assert answer.code == ResultCode.BACKEND_REFUSED
            assert (answer.status, answer.ran) == (503, 'not-run')
            assert answer.headers['retry-after'] == '1'
            assert set(outcomes(w)) == {'shed'}

    run(scenario)


def test_server_without_a_process_is_passed_over() -> None:
    """A refused connection is proof that nothing was sent."""

    async def scenario() -> None:
        async with front_harness(extra_ports=(1,)) as w:
            for _ in range(6):
                assert (await w.ask('POST', '/desk/sale')).status == 200
            assert len(w.records) == 6

    run(scenario)


def test_shed_request_waits_for_a_slot() -> None:
    """A server that other daemons fill is busy, which is no refusal yet."""

    async def scenario() -> None:
        async with front_harness(slots=1) as w:
            backend = w.servers[0].backend
            backend.in_flight = 1
            asking = asyncio.ensure_future(w.ask())
            await until(lambda: w.records)
            await asyncio.sleep(0.02)
            backend.in_flight -= 1
            assert (await asking).status == 200

    run(scenario)


def test_leaving_caller_cancels_its_work() -> None:
    """Abandoned work would hold slots that others need."""

    async def scenario() -> None:
        async with front_harness() as w:
            w.set_faults(0, service_ms=60_000)
            caller = await w.connect()
            caller.send('GET', '/desk/list')
            await until(lambda: len(w.records) == 1)
            caller.close()
            await until(lambda: outcomes(w) == ['cancelled'])
            assert w.servers[0].backend.in_flight == 0

    run(scenario)


def test_caller_that_stops_uploading_is_told_and_its_work_ends() -> None:
    """A silent caller would hold a slot for ever."""

    async def scenario() -> None:
        async with front_harness(progress_ms=300) as w:
            caller = await w.connect()
            caller.send('PUT', '/desk/list', body=b'half', length=1000)
            answer = await caller.receive()
            assert answer.code == ResultCode.CALLER_SILENT
            assert answer.ran == 'unknown'
            await until(lambda: outcomes(w) == ['cancelled'])

    run(scenario)


def test_deadline_is_passed_on_and_kept() -> None:
    """Work that nobody waits for any more must end."""

    async def scenario() -> None:
        async with front_harness() as w:
            w.set_faults(0, late_ms=60_000, silence=1)
            header = 'Geraniumshelf-Deadline-Ms: 400'
            answer = await w.ask(headers=(header,))
            assert answer.status == 504
            (record,) = w.records
            sent = dict(record.headers)['Geraniumshelf-Deadline-Ms']
            assert 0 < int(sent) <= 400

    run(scenario)


def test_slots_bound_the_work_and_a_hopeless_wait_is_refused() -> None:
    """A server that runs more than its slots slows down everybody."""

    async def scenario() -> None:
        async with front_harness(slots=2) as w:
            w.set_faults(0, service_ms=20)
            answers = await asyncio.gather(*(w.ask() for _ in range(30)))
            assert {a.status for a in answers} == {200}
            assert w.servers[0].backend.most_in_flight == 2
            w.set_faults(0, service_ms=60_000)
            busy = [await w.connect() for _ in range(2)]
            for caller in busy:
                caller.send('GET', '/desk/list')
            await until(lambda: w.servers[0].backend.in_flight == 2)
            header = 'Geraniumshelf-Deadline-Ms: 300'
            refused = await w.ask(headers=(header,))
            assert refused.code == ResultCode.OVERLOADED
            assert refused.ran == 'not-run'
            assert int(refused.headers['retry-after']) >= 1
            assert len(w.records) == 32
            for caller in busy:
                caller.close()

    run(scenario)


def test_each_caller_gets_its_own_answer() -> None:
    """Guarantee 7: kept connections must not mix up answers."""

    async def scenario() -> None:
        async with front_harness(servers=3, slots=4) as w:
            w.set_faults(1, late_ms=30)

            async def ask(size: int) -> bool:
                answer = await w.ask(path=f'/desk/list?size={size}')
                return len(answer.body) == size

            sizes = [16 * (1 + n * 7919 % 9000) for n in range(120)]
            assert all(await asyncio.gather(*(ask(n) for n in sizes)))

    run(scenario)


def test_drain_finishes_running_requests_and_closes_the_port() -> None:
    """Guarantee 11: a planned stop interrupts no request."""

    async def scenario() -> None:
        async with front_harness() as w:
            w.set_faults(0, service_ms=400)
            caller = await w.connect()
            caller.send('GET', '/desk/list')
            await until(lambda: len(w.records) == 1)
            draining = asyncio.ensure_future(w.front.drain(current_time()))
            answer = await caller.receive()
            assert answer.status == 200
            assert answer.headers['connection'] == 'close'
            await draining
            with pytest.raises(ConnectionRefusedError):
                await w.connect()

    run(scenario)


def test_leaving_server_gets_no_new_work() -> None:
    """Guarantee 10."""

    async def scenario() -> None:
        async with front_harness(servers=2) as w:
            w.dispatcher.state.servers['s0'].is_leaving = True
            for _ in range(6):
                assert (await w.ask()).status == 200
            assert not w.servers[0].backend.records
            w.dispatcher.state.servers['s1'].is_leaving = True
            refused = await w.ask()
            assert refused.code == ResultCode.NO_BACKEND_SERVER

    run(scenario)


def test_stopped_server_is_not_reached_over_kept_connections() -> None:
    """A closed kept connection must be noticed before it is used."""

    async def scenario() -> None:
        async with front_harness(servers=2) as w:
            await asyncio.gather(*(w.ask() for _ in range(4)))
            await w.servers[0].close()
            for _ in range(6):
                assert (await w.ask('POST', '/desk/sale')).status == 200

    run(scenario)
