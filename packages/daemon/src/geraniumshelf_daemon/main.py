"""Command line of the daemon."""

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

_EXIT_INVALID_SETTING: Final = 2
_EXIT_LISTEN_FAILED: Final = 3


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon until a shutdown is requested.

    Returns:
        0 after a graceful shutdown, 2 if a setting is invalid, 3 if the daemon
        cannot listen on an address.
    """
    given = sys.argv[1:] if arguments is None else arguments
    try:
        settings = read_settings(given, os.environ)
    except OperatorError as error:
        sys.stderr.write(f'geraniumshelfd: {error}\n')
        return _EXIT_INVALID_SETTING
    configure_logging(LogFormat(settings.log_format))
    try:
        asyncio.run(run_daemon(settings))
    except OSError as error:
        sys.stderr.write(f'geraniumshelfd: {error}\n')
        return _EXIT_LISTEN_FAILED
    return 0


async def run_daemon(settings: Settings) -> None:
    """Run a daemon until SIGTERM, SIGINT or a drain by an operator.

    Raises:
        OSError: If an address is in use.
    """
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.begin_stop)
    await daemon.start()
    # Exempts modules and their constants from garbage collection, as they live
    # as long as the daemon: each collection that visits them pauses requests
    # for about 30 ms.
    gc.collect()
    gc.freeze()
    await daemon.wait_stop()
    await daemon.stop()
