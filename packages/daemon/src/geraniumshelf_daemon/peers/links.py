"""Links to all peers, over WebSocket connections."""

import asyncio
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial
from typing import Any, Final

from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed

from geraniumshelf_core.errors import PeerError
from geraniumshelf_core.messages.membership import Heartbeat, Hello
from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.observability.traffic import TrafficCounters
from geraniumshelf_daemon.peers.dialer import (
    CLOSE_TIMEOUT_S,
    ON_DEMAND_PATH,
    OPEN_TIMEOUT_S,
    Dialer,
)
from geraniumshelf_daemon.peers.interface import Handler
from geraniumshelf_daemon.peers.link import (
    MAX_FRAME_BYTES,
    PeerLink,
    exchange_hello,
    refuse,
)
from geraniumshelf_daemon.peers.on_demand import OnDemandLinks
from geraniumshelf_daemon.peers.table import LinkTable

HEARTBEAT_INTERVAL_S: Final = 1.0

# Close code from the range that WebSocket reserves for applications. It is not
# a result code.
_CLOSE_DUPLICATE: Final = 4000


class PeerLinks:
    """Implements ``PeerNetwork`` over WebSocket connections.

    At most one link per peer is in use. Each target is dialed with backoff
    until a link exists, whichever side opened it. Other peers are dialed on
    demand, when a message to them is sent; such a link is kept until it has
    been idle for a while and takes no part in membership.

    Attributes:
        traffic: Messages and bytes of all links.
        find_address: Returns the peer address of an instance, or ``None`` if
            it is unknown.
    """

    def __init__(
        self,
        own: Hello,
        heartbeat: Callable[[], Heartbeat],
        *,
        clock: LogicalClock | None = None,
        source_address: str | None = None,
    ) -> None:
        """Create links without targets.

        Args:
            own: Introduction of this daemon.
            heartbeat: Returns the heartbeat to send; called each second and
                for each new link.
            clock: Logical clock of the daemon.
            source_address: Local IP address of outgoing connections.
        """
        self.traffic = TrafficCounters()
        self._own = own
        self._heartbeat = heartbeat
        self._clock = LogicalClock() if clock is None else clock
        self._table = LinkTable(own.instance)
        self._dialer = Dialer(
            self._table,
            partial(self._run_link, is_dialer=True),
            source_address,
        )
        self._on_demand = OnDemandLinks(
            self._table,
            Dialer(
                self._table,
                partial(self._run_link, is_dialer=True, is_on_demand=True),
                source_address,
                is_on_demand=True,
            ),
        )
        self.find_address: Callable[[str], str | None] = dict[str, str]().get
        self._heartbeat_due = asyncio.Event()
        self._handlers: dict[type, Handler] = {}
        self._listeners: list[Callable[[Hello], None]] = []
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._server: Server | None = None

    async def start(self, listener: socket.socket | None = None) -> None:
        """Listen on the own peer address or on a socket that is bound already.

        Raises:
            OSError: If the address is in use.
        """
        if listener is None:
            host, _, port = self._own.peer_address.rpartition(':')
            listener = socket.create_server((host, int(port)))
        self._server = await serve(
            self._accept,
            sock=listener,
            compression=None,
            server_header=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ping_interval=None,
        )
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        for link in self._table.links():
            link.abort()
        await self._dialer.stop()
        await self._on_demand.stop()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def register(self, message_type: type, handler: Handler) -> None:
        """Pass received messages of a type to a handler."""
        self._handlers[message_type] = handler

    def subscribe(self, listener: Callable[[Hello], None]) -> None:
        """Call a listener with the ``Hello`` of each newly linked peer.

        Links on demand are not reported.
        """
        self._listeners.append(listener)

    def connected_peers(self) -> tuple[str, ...]:
        """Return the instance names of linked peers."""
        return self._table.instances()

    def notify(self, instance: str, message: Any) -> None:
        """Send a message that has no reply; it may be lost."""
        link = self._table.find(instance)
        if link is None:
            address = self.find_address(instance)
            self._on_demand.send_later(instance, address, message)
        else:
            link.send_and_touch(message)

    async def request(
        self, instance: str, message: Any, timeout: Nanoseconds
    ) -> Any:
        """Send a message and return the reply; raises ``PeerError``."""
        link = self._table.find(instance)
        if link is not None:
            return await link.request(message, timeout)
        started_at = current_time()
        address = self.find_address(instance)
        link = await self._on_demand.open_link(instance, address, timeout)
        remaining = max(0, timeout - (current_time() - started_at))
        return await link.request(message, remaining)

    def set_targets(self, addresses: Iterable[str]) -> None:
        """Replace the peer addresses to which links are kept open."""
        self._dialer.set_targets(set(addresses) - {self._own.peer_address})

    def send_heartbeat_now(self) -> None:
        """Send the next heartbeat now instead of after the interval."""
        self._heartbeat_due.set()

    async def _send_heartbeats(self) -> None:
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self._heartbeat_due.wait()
            self._heartbeat_due.clear()
            self._on_demand.close_idle(current_time())
            heartbeat = self._heartbeat()
            for link in self._table.links():
                link.send(heartbeat)

    async def _accept(self, connection: Connection) -> None:
        request = connection.request
        await self._run_link(
            connection,
            is_dialer=False,
            is_on_demand=request is not None and request.path == ON_DEMAND_PATH,
        )

    async def _run_link(
        self,
        connection: Connection,
        *,
        is_dialer: bool,
        is_on_demand: bool = False,
    ) -> bool:
        try:
            hello = await exchange_hello(
                connection, self._own, self._clock.tick()
            )
        except PeerError as error:
            await refuse(connection, error)
            return False
        except (ConnectionClosed, TimeoutError):
            connection.transport.abort()
            return False
        link = PeerLink(
            connection,
            hello,
            is_dialer=is_dialer,
            clock=self._clock,
            handlers=self._handlers,
            traffic=self.traffic,
            is_on_demand=is_on_demand,
        )
        return await self._run_if_accepted(link, connection)

    async def _run_if_accepted(
        self, link: PeerLink, connection: Connection
    ) -> bool:
        if not self._table.add(link):
            await connection.close(_CLOSE_DUPLICATE, 'duplicate link')
            return False
        if not link.is_on_demand:
            for listener in self._listeners:
                listener(link.hello)
        link.send(self._heartbeat())
        try:
            await link.run()
        finally:
            self._table.remove(link)
        # A peer that keeps another link to this daemon closes a new one at
        # once. Without backoff, it would be dialed again and again until the
        # other link times out.
        return connection.close_code != _CLOSE_DUPLICATE
