"""Links to peers that are dialed when they are first needed."""

import asyncio
from typing import Any, Final

from attrs import define

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.units import SECOND_NS, Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.peers.dialer import OPEN_TIMEOUT_S, Dialer
from geraniumshelf_daemon.peers.link import PeerLink
from geraniumshelf_daemon.peers.table import LinkTable

# Heartbeats on one idle link take about 0.1 KB/s both ways.
MAX_LINKS: Final = 32
IDLE_TIMEOUT_NS: Final[Nanoseconds] = 60 * SECOND_NS

_WAITING_LIMIT: Final = 256


@define
class _Wanted:
    """A peer that is dialed on demand."""

    address: str
    wanted_at: Nanoseconds


class OnDemandLinks:
    """Dials peers for requests and drops the links that are idle."""

    def __init__(self, table: LinkTable, dialer: Dialer) -> None:
        self._table = table
        self._dialer = dialer
        self._wanted: dict[str, _Wanted] = {}
        self._waiting: set[asyncio.Task[None]] = set()

    async def link(
        self, instance: str, address: str | None, timeout: Nanoseconds
    ) -> PeerLink:
        """Return a link to an instance, after dialing it.

        Raises:
            PeerError: ``PEER_UNREACHABLE`` if there is none in time.
        """
        if address is None:
            raise PeerError(ResultCode.PEER_UNREACHABLE, 'not known')
        self._want(instance, address)
        wait_s = min(ns_to_seconds(timeout), OPEN_TIMEOUT_S)
        try:
            async with asyncio.timeout(wait_s):
                return await self._linked(instance)
        except TimeoutError:
            raise PeerError(
                ResultCode.PEER_UNREACHABLE, 'not linked in time'
            ) from None

    def send_later(
        self, instance: str, address: str | None, message: Any
    ) -> None:
        """Send a message once the instance is linked; it may be lost."""
        if address is None or len(self._waiting) >= _WAITING_LIMIT:
            return
        task = asyncio.create_task(self._send(instance, address, message))
        self._waiting.add(task)
        task.add_done_callback(self._waiting.discard)

    def sweep(self, now: Nanoseconds) -> None:
        """Drop peers to which nothing was sent or received of late."""
        for instance, wanted in tuple(self._wanted.items()):
            if now - self._used_at(instance, wanted) > IDLE_TIMEOUT_NS:
                self._drop(instance)

    async def stop(self) -> None:
        """Drop all links on demand and messages that wait for one."""
        for task in tuple(self._waiting):
            task.cancel()
        self._wanted.clear()
        await self._dialer.stop()

    def _want(self, instance: str, address: str) -> None:
        now = current_time()
        wanted = self._wanted.get(instance)
        if wanted is not None and wanted.address == address:
            wanted.wanted_at = now
            return
        if wanted is None and len(self._wanted) >= MAX_LINKS:
            self._drop(min(self._wanted, key=self._age_key))
        self._wanted[instance] = _Wanted(address, now)
        self._dial()

    async def _linked(self, instance: str) -> PeerLink:
        while True:
            link = self._table.find(instance)
            if link is not None:
                return link
            await self._table.wait_changed()

    async def _send(self, instance: str, address: str, message: Any) -> None:
        timeout = round(OPEN_TIMEOUT_S * SECOND_NS)
        try:
            link = await self.link(instance, address, timeout)
        except PeerError:
            return
        link.use(message)

    def _drop(self, instance: str) -> None:
        self._wanted.pop(instance)
        self._dial()

    def _dial(self) -> None:
        self._dialer.set_targets(
            wanted.address for wanted in self._wanted.values()
        )

    def _age_key(self, instance: str) -> Nanoseconds:
        return self._used_at(instance, self._wanted[instance])

    def _used_at(self, instance: str, wanted: _Wanted) -> Nanoseconds:
        link = self._table.find(instance)
        used_at = wanted.wanted_at if link is None else link.used_at
        return max(used_at, wanted.wanted_at)
