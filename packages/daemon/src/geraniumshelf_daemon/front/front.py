"""Ties the HTTP server for callers to the configuration in force."""

import asyncio
from typing import Final

from geraniumshelf_core.configuration.model import (
    Configuration,
    CutOffPolicy,
)
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.front.admission import RequestGate
from geraniumshelf_daemon.front.pipeline import Pipeline
from geraniumshelf_daemon.front.server import FrontServer
from geraniumshelf_daemon.replication.interface import ConfigurationSource
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher
from geraniumshelf_daemon.upstream.links import LinkPacer

# Time for requests that are already in the sockets' buffers to be read.
_LAST_READ_S: Final = 0.05


class Front:
    """Serves callers."""

    def __init__(
        self,
        pipeline: Pipeline,
        gate: RequestGate,
        dispatcher: Dispatcher,
        pacer: LinkPacer,
    ) -> None:
        self._pipeline = pipeline
        self._gate = gate
        self._dispatcher = dispatcher
        self._pacer = pacer
        self._server = FrontServer(pipeline.serve)

    @property
    def running_count(self) -> int:
        """Return the number of requests that run now."""
        return len(self._pipeline.running)

    def follow(self, source: ConfigurationSource) -> None:
        """Apply the revision in force and each one that follows."""
        source.subscribe(self.apply)
        if source.configuration is not None:
            self.apply(source.configuration)

    def apply(self, configuration: Configuration) -> None:
        """Apply a revision and end requests whose key it withdraws."""
        self._gate.apply(configuration)
        self._dispatcher.apply(configuration)
        self._pacer.apply(configuration)
        table = self._gate.table
        if table is not None:
            self._pipeline.running.end_withdrawn(table.keys)

    def cancel_cut_off_requests(self) -> int:
        """End requests of accounts that are not served while cut off.

        A withdrawn key must stop within seconds also for a request that runs.
        """
        table = self._gate.table
        accounts = table.accounts.values() if table else ()
        return self._pipeline.running.end_accounts(
            [
                account.name
                for account in accounts
                if account.cut_off is CutOffPolicy.REFUSE
            ]
        )

    def listen(self, host: str, port: int) -> int:
        """Listen at an address and return the port.

        Raises:
            OSError: If the address is in use.
        """
        return self._server.listen(host, port)

    def leave(self) -> None:
        """Ask callers to close their connections after the next answer."""
        self._server.stop_keep_alive()

    async def drain(self, now: Nanoseconds) -> None:
        """Stop keep-alive, close the port, and finish all requests.

        The port is closed first: a steady flow of new connections would
        otherwise put off the end for ever.

        Args:
            now: Current time; nothing is decided by it yet.
        """
        self.leave()
        await asyncio.sleep(_LAST_READ_S)
        self._server.stop_accepting()
        await self._pipeline.running.wait_empty()
        await asyncio.sleep(_LAST_READ_S)
        await self._pipeline.running.wait_empty()
        await self._server.close()
