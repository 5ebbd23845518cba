"""Fleets of processes for measurements."""

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

_BATCH: Final = 10
_BATCH_PAUSE_S: Final = 0.7
_START_TIMEOUT_S: Final = 60
_POLL_S: Final = 0.3
_IN_FORCE: Final = re.compile(
    r'^(\S+) INFO \d+ REVISION_IN_FORCE.*\'revision\': \'(\d+)\'', re.M
)


@define
class IdleFleet(Fleet):
    """A fleet without callers; its backend servers share this process."""

    listeners: list[BackendListener] = field(factory=list)

    async def start_backend(self, server: BackendServer) -> None:
        """Listen for one backend server."""
        listener = BackendListener(
            BackendState(server.name, server.service, server.slots)
        )
        host, _, port = server.address.rpartition(':')
        listener.listen(host, int(port))
        self.listeners.append(listener)

    async def start(self) -> None:
        """Start all processes, a few daemons at a time."""
        await self.start_platform()
        await self.start_backends()
        await self.apply('0')
        for number, name in enumerate(self.instances):
            if number and number % _BATCH == 0:
                await asyncio.sleep(_BATCH_PAUSE_S)
            await self.start_daemon(name)
        async with asyncio.timeout(_START_TIMEOUT_S):
            while not await self._are_ready():
                await asyncio.sleep(_POLL_S)

    async def kill_all(self) -> None:
        """End all processes and close the backend servers."""
        await super().kill_all()
        for listener in self.listeners:
            await listener.close()

    async def statuses(self) -> dict[str, Any]:
        """Return the status of each daemon that answers, by name."""
        names = tuple(self.instances)
        found = await asyncio.gather(*map(self._status, names))
        return dict(zip(names, found, strict=True))

    async def counters(self) -> Mapping[str, int]:
        """Return the platform's calls by kind."""
        found: dict[str, int] = await fetch_json(
            f'{self.platform_url}/v1/counters'
        )
        return found

    def times_in_force(self, revision: int) -> dict[str, float]:
        """Return when a revision came into force, Unix time by daemon.

        Daemons that skipped it for a higher one have the time of that one.
        """
        times = {}
        for name, daemon in self.daemons.items():
            for stamp, found in _IN_FORCE.findall(daemon.read_log()):
                if int(found) >= revision:
                    times[name] = datetime.fromisoformat(stamp).timestamp()
                    break
        return times

    def publisher(self) -> Publisher:
        """Return what edits the configuration."""
        return Publisher(HttpPlatform(self.platform_url))

    async def _status(self, name: str) -> Any:
        address = self.instances[name].operator_address
        return await fetch_json(f'http://{address}/v1/status') or {}

    async def _are_ready(self) -> bool:
        found = (await self.statuses()).values()
        return all(one.get('slot') and one.get('revision') for one in found)


@asynccontextmanager
async def running(
    deployment: Deployment, kind: type[Fleet] = Fleet
) -> AsyncIterator[Any]:
    """Start a fleet and end it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = kind(deployment, Path(folder) / 'logs')
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.kill_all()


@define
class StockFleet(Fleet):
    """A fleet with the backend servers of one service only."""

    async def start_backend(self, server: BackendServer) -> None:
        """Start the server if it belongs to the service."""
        if server.service == 'stock-desk':
            await super().start_backend(server)

    def publisher(self) -> Publisher:
        """Return what edits the configuration."""
        return Publisher(HttpPlatform(self.platform_url))


async def set_faults(server: BackendServer, **faults: Any) -> None:
    """Change the behaviour of a backend server stand-in."""
    await put_json(f'http://{server.address}/-/faults', faults)
