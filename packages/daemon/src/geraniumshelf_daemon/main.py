"""The command line of the daemon."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Sequence
from typing import Final

from geraniumshelf_core.errors import OperatorError
from geraniumshelf_daemon.application import Daemon
from geraniumshelf_daemon.observability.logs import LogFormat, configure_logging
from geraniumshelf_daemon.settings import Settings, read_settings

_EXIT_SETTINGS: Final = 2
_EXIT_ADDRESS: Final = 3


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until it is told to stop.

    Returns:
        0 after a graceful shutdown, 2 for an invalid setting, 3 if an address
        cannot be listened at.
    """
    given = sys.argv[1:] if arguments is None else arguments
    try:
        settings = read_settings(given, os.environ)
    except OperatorError as error:
        sys.stderr.write(f'geraniumshelfd: {error}\n')
        return _EXIT_SETTINGS
    configure_logging(LogFormat(settings.log_format))
    try:
        asyncio.run(run_daemon(settings))
    except OSError as error:
        sys.stderr.write(f'geraniumshelfd: {error}\n')
        return _EXIT_ADDRESS
    return 0


async def run_daemon(settings: Settings) -> None:
    """Run a daemon until SIGTERM, SIGINT or an operator's order.

    Raises:
        OSError: If an address is in use.
    """
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.begin_stop)
    await daemon.start()
    # Modules and their constants live as long as the daemon; a collector that
    # visits them stops requests for some 30 ms each time.
    gc.collect()
    gc.freeze()
    await daemon.wait_stop()
    await daemon.stop()
