"""Tests of the relay that injects link faults.

A test that depends on a fault proves nothing if the relay does not inject it.
"""

import asyncio

from geraniumshelf_standins.link.relay import FaultyLink, LinkFaults


async def _echo(reader, writer) -> None:
    while chunk := await reader.read(65536):
        writer.write(chunk)
        await writer.drain()
    writer.close()


async def _exchange(pair, text: bytes) -> bytes:
    reader, writer = pair
    writer.write(text)
    return await asyncio.wait_for(reader.readexactly(len(text)), 10)


async def _is_answered(pair) -> bool:
    reader, writer = pair
    writer.write(b'x')
    try:
        return bool(await asyncio.wait_for(reader.read(1), 0.2))
    except TimeoutError:
        return False


def test_link_delays_limits_cuts_and_silences() -> None:
    """Each fault takes effect; silenced connections stay so, new ones work."""

    async def scenario() -> None:
        server = await asyncio.start_server(_echo, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        link = FaultyLink('127.0.0.1:0', f'127.0.0.1:{port}')
        host, _, port_text = (await link.start()).rpartition(':')
        loop = asyncio.get_running_loop()

        async def connect():
            return await asyncio.open_connection(host, int(port_text))

        old_connection = await connect()
        body = b'0123456789' * 100_000
        assert await _exchange(old_connection, body) == body
        link.faults = LinkFaults(
            delay_ms=50, stall_ms=50, stall_interval_bytes=1, bytes_per_s=1000
        )
        started = loop.time()
        await _exchange(old_connection, b'x' * 100)
        assert loop.time() - started >= 0.2
        link.faults = LinkFaults()
        assert link.silence() == 1
        assert not await _is_answered(old_connection)
        new_connection = await connect()
        assert await _exchange(new_connection, b'x') == b'x'
        link.faults = LinkFaults(is_dropping_backward=True)
        assert not await _is_answered(new_connection)
        await link.stop()
        server.close()

    asyncio.run(scenario())
