"""Command that runs a simulated backend server as a process."""

import asyncio
import signal
import sys
from argparse import ArgumentParser, Namespace

from geraniumshelf_standins.backend.server import BackendServer
from geraniumshelf_standins.backend.state import BackendState, Faults


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    asyncio.run(_serve(_parse_arguments()))


def _parse_arguments() -> Namespace:
    parser = ArgumentParser(prog='geraniumshelf_standins.backend')
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--address', default='127.0.0.1:0')
    parser.add_argument('--slots', type=int, required=True)
    parser.add_argument('--service-ms', type=int, default=0)
    parser.add_argument('--cold-ms', type=int, default=0)
    return parser.parse_args()


async def _serve(arguments: Namespace) -> None:
    faults = Faults(service_ms=arguments.service_ms, cold_ms=arguments.cold_ms)
    backend = BackendState(
        arguments.name, arguments.service, arguments.slots, faults
    )
    host, _, port = arguments.address.rpartition(':')
    server = BackendServer(backend)
    bound = server.listen(host, int(port))
    sys.stdout.write(f'listening on {host}:{bound}\n')
    sys.stdout.flush()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await server.close()


if __name__ == '__main__':
    main()
