"""Tests of the simulated caller.

Its own failures would be counted as failures of the fleet.
"""

import asyncio
from random import Random

from geraniumshelf_standins.caller.client import Caller, Job

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


def test_connection_closed_while_idle_is_not_used_again() -> None:
    """A server that stops closes its idle keep-alive connections.

    A caller that reused one would report a failed request.
    """
    writers = []

    async def serve(reader, writer) -> None:
        writers.append(writer)
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(_ANSWER)

    async def scenario() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        caller = Caller('', [], Random(1))
        address = f'127.0.0.1:{port}'
        first = await caller.send(Job('s'), address, 'x')
        again = await caller.send(Job('s'), address, 'x')
        assert first.status == again.status == 200
        assert len(writers) == 1
        writers[0].close()
        await writers[0].wait_closed()
        after = await caller.send(Job('s'), address, 'x')
        assert after.status == 200, after
        caller.close()
        server.close()

    asyncio.run(scenario())
