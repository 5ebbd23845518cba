"""Command that runs a TCP relay with link faults as a process."""

import asyncio
import signal
import sys
from argparse import ArgumentParser, Namespace

from geraniumshelf_standins.link.relay import FaultyLink, LinkFaults


def main() -> None:
    """Relay until SIGTERM or SIGINT; SIGUSR1 silences open connections."""
    asyncio.run(_serve(_parse_arguments()))


def _parse_arguments() -> Namespace:
    parser = ArgumentParser(prog='geraniumshelf_standins.link')
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--target', required=True)
    parser.add_argument('--delay-ms', type=int, default=0)
    parser.add_argument('--stall-ms', type=int, default=0)
    parser.add_argument('--stall-every', type=int, default=0)
    parser.add_argument('--bytes-per-s', type=int, default=0)
    return parser.parse_args()


async def _serve(arguments: Namespace) -> None:
    link = FaultyLink(arguments.listen, arguments.target)
    link.faults = LinkFaults(
        arguments.delay_ms,
        arguments.stall_ms,
        arguments.stall_every,
        arguments.bytes_per_s,
    )
    sys.stdout.write(f'listening on {await link.start()}\n')
    sys.stdout.flush()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    loop.add_signal_handler(signal.SIGUSR1, link.silence)
    await stopped.wait()
    await link.stop()


if __name__ == '__main__':
    main()
