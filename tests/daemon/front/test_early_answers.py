"""Guards uploads whose server answers early."""

import asyncio

import pytest
from tests.daemon.front.harness import KEY, front_harness, run, wait_until
from tests.platform.faulty_servers import EarlyServer


@pytest.mark.parametrize('pieces', [3, 10])
def test_early_answer_never_ends_a_cut_upload(pieces: int) -> None:
    """The server would take the part that it has for the whole body."""

    async def scenario() -> None:
        server = EarlyServer('s0')
        port = int((await server.listen()).rpartition(':')[2])
        async with front_harness(servers=0, extra_ports=(port,)) as harness:
            connection = await harness.connect()
            connection.writer.write(
                b'PUT /desk/list HTTP/1.1\r\nHost: entry\r\n'
                b'Transfer-Encoding: chunked\r\n'
                b'Geraniumshelf-Key: ' + KEY.encode() + b'\r\n\r\n'
            )
            for _ in range(pieces):
                connection.writer.write(b'5\r\npiece\r\n')
                await asyncio.sleep(0.05)
            if pieces == 10:
                connection.writer.write(b'0\r\n\r\n')
            response = await connection.receive()
            assert response.status == 200
            connection.close()
            [body] = server.bodies
            await wait_until(lambda: body.is_over)
            assert body.has_end == (pieces == 10)
            assert body.size == pieces * 5
        server.close()

    run(scenario)
