"""Outgoing connections to peers, retried with backoff."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from random import uniform
from typing import Any, Final

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.exceptions import WebSocketException

from geraniumshelf_daemon.peers.link import MAX_FRAME_BYTES
from geraniumshelf_daemon.peers.table import LinkTable

OPEN_TIMEOUT_S: Final = 2.0
CLOSE_TIMEOUT_S: Final = 1.0
ON_DEMAND_PATH: Final = '/on-demand'

_MIN_RETRY_DELAY_S: Final = 0.1
_MAX_RETRY_DELAY_S: Final = 2.0


class Dialer:
    """Keeps each target address linked, with one task per address."""

    def __init__(
        self,
        table: LinkTable,
        run_link: Callable[[Connection], Awaitable[bool]],
        source_address: str | None,
        *,
        is_on_demand: bool = False,
    ) -> None:
        """Create a dialer without targets.

        Args:
            table: Links in use; their peers are not dialed.
            run_link: Runs a connection until it is lost and returns whether
                it became a link in use.
            source_address: Local IP address of outgoing connections.
            is_on_demand: Whether the links are opened on demand for single
                requests; the URL path of the handshake tells the peer.
        """
        self._table = table
        self._is_on_demand = is_on_demand
        self._path = ON_DEMAND_PATH if is_on_demand else ''
        self._run_link = run_link
        self._options: dict[str, Any] = {}
        if source_address is not None:
            self._options['local_addr'] = (source_address, 0)
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def set_targets(self, addresses: Iterable[str]) -> None:
        """Replace the addresses to dial; links to removed ones are closed."""
        wanted = set(addresses)
        for address in set(self._tasks) - wanted:
            self._tasks.pop(address).cancel()
        for address in wanted - set(self._tasks):
            self._tasks[address] = asyncio.create_task(self._dial(address))

    async def stop(self) -> None:
        """Remove all targets and close the links dialed to them."""
        tasks = list(self._tasks.values())
        self.set_targets(())
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _dial(self, address: str) -> None:
        delay_s = _MIN_RETRY_DELAY_S
        while True:
            while self._is_linked(address):
                delay_s = _MIN_RETRY_DELAY_S
                await self._table.wait_for_change()
            if await self._try_connect(address):
                delay_s = _MIN_RETRY_DELAY_S
            # Jitter prevents all daemons of a zone from dialing a restarted
            # peer at the same time.
            await asyncio.sleep(uniform(delay_s / 2, delay_s))
            delay_s = min(2 * delay_s, _MAX_RETRY_DELAY_S)

    def _is_linked(self, address: str) -> bool:
        return self._table.has_address(address, is_on_demand=self._is_on_demand)

    async def _try_connect(self, address: str) -> bool:
        try:
            return await self._connect(address)
        except (OSError, WebSocketException):
            return False

    async def _connect(self, address: str) -> bool:
        async with connect(
            f'ws://{address}{self._path}',
            compression=None,
            user_agent_header=None,
            proxy=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
            **self._options,
        ) as connection:
            return await self._run_link(connection)
