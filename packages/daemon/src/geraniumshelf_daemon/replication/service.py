"""Replication of the configuration to and from this daemon."""

import asyncio

from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.peers.interface import PeerNetwork
from geraniumshelf_daemon.platform.interface import Platform
from geraniumshelf_daemon.replication.exchange import ConfigurationExchange
from geraniumshelf_daemon.replication.holder import ConfigurationHolder
from geraniumshelf_daemon.replication.watcher import PlatformWatcher


class Replication:
    """Keeps a holder at the highest revision of the platform and the peers."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        members: Members,
        peers: PeerNetwork,
        platform: Platform,
    ) -> None:
        self._exchange = ConfigurationExchange(holder, members, peers)
        self._watcher = PlatformWatcher(holder, members, platform)
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    def start(self) -> None:
        """Start the tasks that follow the platform and the peers."""
        self._tasks = (
            asyncio.create_task(self._exchange.run()),
            asyncio.create_task(self._watcher.run()),
        )

    async def stop(self) -> None:
        """Stop the tasks; the configuration stays in force."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
