"""Command that runs the simulated platform as a process."""

import argparse
import asyncio
import signal
import sys

from geraniumshelf_standins.platform.server import PlatformServer
from geraniumshelf_standins.platform.state import PlatformState


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--address', default='127.0.0.1:0')
    parser.add_argument('--instance-lag-s', type=float, default=0)
    options = parser.parse_args()
    asyncio.run(_serve(options.address, options.instance_lag_s))


async def _serve(address: str, instance_lag_s: float) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    server = PlatformServer(
        address, PlatformState(instance_lag_s=instance_lag_s)
    )
    server.start()
    sys.stdout.write(f'listening on {server.address}\n')
    sys.stdout.flush()
    await stopped.wait()
    await server.stop()


if __name__ == '__main__':
    main()
