"""Load of look-ups on one daemon over keep-alive connections."""

import asyncio
from random import Random
from typing import Final

_CONNECTION_COUNT: Final = 4
_CONTENT_LENGTH_PREFIX: Final = b'content-length:'


async def run_lookups(
    address: str, clients: tuple[str, ...], seconds: float
) -> int:
    """Send look-ups, each after the answer to the previous one.

    Args:
        address: Caller address of the daemon.
        clients: Client addresses, one of which each look-up names at random.
        seconds: Duration of the load.

    Returns:
        Number of answers over all connections.
    """
    counts = await asyncio.gather(
        *(
            _send_lookups(address, clients, seconds, Random(number))
            for number in range(_CONNECTION_COUNT)
        )
    )
    return sum(counts)


async def _send_lookups(
    address: str, clients: tuple[str, ...], seconds: float, random: Random
) -> int:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    count = 0
    while loop.time() < end:
        client = random.choice(clients)
        writer.write(
            f'GET /v1/lookup?service=stock-desk&client={client} HTTP/1.1\r\n'
            f'Host: {address}\r\n\r\n'.encode()
        )
        head = await reader.readuntil(b'\r\n\r\n')
        if not head.startswith(b'HTTP/1.1 200'):
            raise OSError(f'look-up at {address} failed: {head.decode()!r}')
        for line in head.split(b'\r\n'):
            if line.lower().startswith(_CONTENT_LENGTH_PREFIX):
                await reader.readexactly(int(line.partition(b':')[2]))
        count += 1
    writer.close()
    return count
