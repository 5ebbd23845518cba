"""Fleets of daemon processes for measurements."""

import asyncio
import re
import tempfile
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from datetime import datetime
from pathlib import Path
from typing import Any, Final

from attrs import define, field

from geraniumshelf_cli.publishing import Publisher
from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_daemon.platform.http import HttpPlatform
from geraniumshelf_standins.backend.server import (
    BackendServer as BackendListener,
)
from geraniumshelf_standins.backend.state import BackendState
from geraniumshelf_standins.fleet.deployment import Deployment
from geraniumshelf_standins.fleet.fleet import (
    Fleet,
    fetch_json,
    put_json,
)

_START_BATCH_SIZE: Final = 10
_START_BATCH_PAUSE_S: Final = 0.7
_START_TIMEOUT_S: Final = 60
_POLL_INTERVAL_S: Final = 0.3
_IN_FORCE_LINE: Final = re.compile(
    r'^(\S+) INFO \d+ REVISION_IN_FORCE.*\'revision\': \'(\d+)\'', re.M
)


@define
class IdleFleet(Fleet):
    """A fleet without callers, with its backend servers in this process."""

    listeners: list[BackendListener] = field(factory=list)

    async def start_backend(self, server: BackendServer) -> None:
        """Listen on the address of a backend server."""
        listener = BackendListener(
            BackendState(server.name, server.service, server.slots)
        )
        host, _, port = server.address.rpartition(':')
        listener.listen(host, int(port))
        self.listeners.append(listener)

    async def start(self) -> None:
        """Start all processes, the daemons in batches, until all are ready."""
        await self.start_platform()
        await self.start_backends()
        await self.apply('0')
        for number, name in enumerate(self.instances):
            if number and number % _START_BATCH_SIZE == 0:
                await asyncio.sleep(_START_BATCH_PAUSE_S)
            await self.start_daemon(name)
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self._are_ready():
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def kill_all(self) -> None:
        """Kill all processes and close the backend servers."""
        await super().kill_all()
        for listener in self.listeners:
            await listener.close()

    async def fetch_statuses(self) -> dict[str, Any]:
        """Return the status of each daemon by name, empty without an answer."""
        names = tuple(self.instances)
        statuses = await asyncio.gather(*map(self._fetch_status, names))
        return dict(zip(names, statuses, strict=True))

    async def fetch_call_counts(self) -> Mapping[str, int]:
        """Return the number of calls to the platform, by kind."""
        counts: dict[str, int] = await fetch_json(
            f'{self.platform_url}/v1/counters'
        )
        return counts

    def revision_times(self, revision: int) -> dict[str, float]:
        """Return the time at which each daemon put a revision into force.

        The times are Unix times in seconds, by name of the daemon. For a
        daemon that skipped the revision, it is the time of the first higher
        revision. Daemons that did neither are left out.
        """
        times = {}
        for name, daemon in self.daemons.items():
            for stamp, found_revision in _IN_FORCE_LINE.findall(
                daemon.read_log()
            ):
                if int(found_revision) >= revision:
                    times[name] = datetime.fromisoformat(stamp).timestamp()
                    break
        return times

    def make_publisher(self) -> Publisher:
        """Return what edits the configuration."""
        return Publisher(HttpPlatform(self.platform_url))

    async def _fetch_status(self, name: str) -> Any:
        address = self.instances[name].operator_address
        return await fetch_json(f'http://{address}/v1/status') or {}

    async def _are_ready(self) -> bool:
        statuses = (await self.fetch_statuses()).values()
        return all(
            status.get('slot') and status.get('revision') for status in statuses
        )


@asynccontextmanager
async def run_fleet(
    deployment: Deployment, kind: type[Fleet] = Fleet
) -> AsyncIterator[Any]:
    """Start a fleet, and kill its processes at the end of the context."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = kind(deployment, Path(folder) / 'logs')
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.kill_all()


@define
class StockDeskFleet(Fleet):
    """A fleet with only the backend servers of stock-desk."""

    async def start_backend(self, server: BackendServer) -> None:
        """Start a backend server if it belongs to stock-desk."""
        if server.service == 'stock-desk':
            await super().start_backend(server)

    def make_publisher(self) -> Publisher:
        """Return what edits the configuration."""
        return Publisher(HttpPlatform(self.platform_url))


async def set_faults(server: BackendServer, **faults: Any) -> None:
    """Set faults of a stand-in backend server."""
    await put_json(f'http://{server.address}/-/faults', faults)
