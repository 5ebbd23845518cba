"""Guards the operators' address and the polling of loads."""

import asyncio
import json

from tests.daemon.front.harness import run, until, world
from tornado.httpclient import AsyncHTTPClient

from geraniumshelf_core.errors import OperatorError, ResultCode
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.front.operators import OperatorCalls, OperatorServer
from geraniumshelf_daemon.upstream.load import LoadPoller
from geraniumshelf_daemon.upstream.pool import ConnectionPool
from geraniumshelf_standins.backend.state import LoadLie


def test_operators_read_status_and_begin_a_drain() -> None:
    """An operator must get a numbered answer in each case."""

    async def drain() -> object:
        raise OperatorError(ResultCode.APPLY_CONFLICT, 'already leaving')

    async def scenario() -> None:
        calls = OperatorCalls(lambda: {'revision': 3}, lambda: [], drain)
        server = OperatorServer(calls)
        base = f'http://127.0.0.1:{server.listen("127.0.0.1", 0)}/v1'
        client = AsyncHTTPClient()

        async def fetch(path: str, **kw):
            answer = await client.fetch(base + path, raise_error=False, **kw)
            return answer.code, json.loads(answer.body)

        assert await fetch('/status') == (200, {'revision': 3})
        assert await fetch('/timeline') == (200, [])
        status, told = await fetch('/drain', method='POST', body='')
        assert (status, told['code']) == (409, ResultCode.APPLY_CONFLICT)
        status, told = await fetch('/nothing')
        assert (status, told['name']) == (404, 'NOT_FOUND')
        await server.close()

    run(scenario)


def test_polling_finds_leaving_servers_and_survives_lies() -> None:
    """Guarantee 10; a server that lies or is gone stops no report."""

    async def scenario() -> None:
        async with world(servers=3, extra_ports=(1,)) as w:
            pool = ConnectionPool(1, SECOND_NS)
            poller = LoadPoller(w.dispatcher, pool, SECOND_NS // 5)
            polling = asyncio.ensure_future(poller.run())
            states = w.dispatcher.state.servers
            w.servers[0].backend.in_flight = 1
            w.servers[0].backend.loads.append((0, 1))
            w.fault(1, drain=True)
            w.fault(2, load_lie=LoadLie.IDLE)
            w.servers[2].backend.loads.append((0, 9))
            await until(lambda: states['s1'].is_leaving)
            await until(lambda: states['s0'].others == 1)
            assert states['s2'].others == 0
            assert states['s3'].reported_at is None
            w.fault(1, drain=False)
            await until(lambda: not states['s1'].is_leaving)
            assert states['s1'].available_since is not None
            polling.cancel()
            pool.close()

    run(scenario)
