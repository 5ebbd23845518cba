"""Load of look-ups for one daemon over connections that are kept open."""

import asyncio
from random import Random
from typing import Final

_CONNECTIONS: Final = 4
_LENGTH: Final = b'content-length:'


async def run_lookups(address: str, clients: tuple[str, ...], s: float) -> int:
    """Ask for look-ups as fast as answers come; return their number."""
    counts = await asyncio.gather(
        *(
            _ask(address, clients, s, Random(number))
            for number in range(_CONNECTIONS)
        )
    )
    return sum(counts)


async def _ask(
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
            raise OSError(head.decode())
        for line in head.split(b'\r\n'):
            if line.lower().startswith(_LENGTH):
                await reader.readexactly(int(line.partition(b':')[2]))
        count += 1
    writer.close()
    return count
