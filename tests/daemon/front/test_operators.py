"""Guards the HTTP server for operators."""

import json

from tests.daemon.front.harness import run
from tornado.httpclient import AsyncHTTPClient

from geraniumshelf_core.errors import OperatorError, ResultCode
from geraniumshelf_daemon.front.operators import OperatorCalls, OperatorServer


def test_operators_read_status_and_begin_a_drain() -> None:
    """Every error must carry a result code."""

    async def drain() -> object:
        raise OperatorError(ResultCode.APPLY_CONFLICT, 'already leaving')

    async def scenario() -> None:
        calls = OperatorCalls(lambda: {'revision': 3}, lambda: [], drain)
        server = OperatorServer(calls)
        base = f'http://127.0.0.1:{server.listen("127.0.0.1", 0)}/v1'
        client = AsyncHTTPClient()

        async def fetch(path: str, **kw):
            response = await client.fetch(base + path, raise_error=False, **kw)
            return response.code, json.loads(response.body)

        assert await fetch('/status') == (200, {'revision': 3})
        assert await fetch('/timeline') == (200, [])
        status, content = await fetch('/drain', method='POST', body='')
        assert (status, content['code']) == (409, ResultCode.APPLY_CONFLICT)
        status, content = await fetch('/nothing')
        assert (status, content['name']) == (404, 'NOT_FOUND')
        await server.close()

    run(scenario)
