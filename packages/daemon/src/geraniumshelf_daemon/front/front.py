"""Connects the HTTP server for callers to the configuration in force."""

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

# Time for reading requests that are already in the socket buffers.
_BUFFERED_READ_S: Final = 0.05


class Front:
    """Runs the HTTP server for callers and applies the configuration."""

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
        """Return the number of running requests."""
        return len(self._pipeline.running)

    def follow(self, source: ConfigurationSource) -> None:
        """Apply the revision in force and all later revisions."""
        source.subscribe(self.apply)
        if source.configuration is not None:
            self.apply(source.configuration)

    def apply(self, configuration: Configuration) -> None:
        """Apply a revision and cancel requests whose key it withdraws."""
        self._gate.apply(configuration)
        self._dispatcher.apply(configuration)
        self._pacer.apply(configuration)
        table = self._gate.table
        if table is not None:
            self._pipeline.running.cancel_withdrawn(table.keys)

    def cancel_cut_off_requests(self) -> int:
        """Cancel running requests of accounts not served while cut off.

        A withdrawn key must stop working within seconds, even for requests
        that are already running.

        Returns:
            The number of requests that were cancelled.
        """
        table = self._gate.table
        accounts = table.accounts.values() if table else ()
        return self._pipeline.running.cancel_accounts(
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

    def stop_keep_alive(self) -> None:
        """Close each connection after the response to its newest request."""
        self._server.stop_keep_alive()

    async def drain(self, now: Nanoseconds) -> None:
        """Stop keep-alive, close the port, and finish all requests.

        The port is closed before the wait for running requests, as a steady
        flow of new connections would otherwise prolong the drain indefinitely.

        Args:
            now: Current time; unused.
        """
        self.stop_keep_alive()
        await asyncio.sleep(_BUFFERED_READ_S)
        self._server.stop_accepting()
        await self._pipeline.running.wait_empty()
        await asyncio.sleep(_BUFFERED_READ_S)
        await self._pipeline.running.wait_empty()
        await self._server.close()
