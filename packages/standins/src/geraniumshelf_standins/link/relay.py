"""A TCP relay that delays, stalls, cuts and silences connections."""

import asyncio
from contextlib import suppress
from typing import Final

from attrs import define, field, frozen

_CHUNK: Final = 65536
_MS_PER_S: Final = 1000
# Chunks that are under way in one direction.
_IN_FLIGHT: Final = 64
_HELD_POLL_S: Final = 0.02


@define
class LinkFaults:
    """What the link does to bytes.

    Attributes:
        delay_ms: Delay one way, milliseconds.
        stall_ms: Time for which a direction stops when ``stall_every`` bytes
            have passed, as after a lost packet, milliseconds.
        stall_every: Bytes between two stalls, 0 for no stalls.
        bytes_per_s: Rate of each direction of a connection, 0 for no limit.
        is_cut_forward: Whether bytes towards the target are dropped.
        is_cut_back: Whether bytes towards the caller are dropped.
        held_forward: IP addresses of callers whose bytes towards the target
            are held back until the fault ends, as TCP does across a
            partition.
        held_back: IP addresses of callers that get no bytes until then.
    """

    delay_ms: int = 0
    stall_ms: int = 0
    stall_every: int = 0
    bytes_per_s: int = 0
    is_cut_forward: bool = False
    is_cut_back: bool = False
    held_forward: frozenset[str] = frozenset()
    held_back: frozenset[str] = frozenset()


@define(eq=False)
class _Connection:
    writers: tuple[asyncio.StreamWriter, ...]
    source: str
    is_silent: bool = False
    tasks: list[asyncio.Task[None]] = field(factory=list)


@frozen
class _Direction:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_forward: bool


class FaultyLink:
    """Relays connections from a listening address to a target address.

    Args:
        listen: ``host:port``; port 0 chooses one.
        target: ``host:port``.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.faults = LinkFaults()
        self.address = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self) -> str:
        """Listen and return the address."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{bound}'
        return self.address

    def silence(self) -> int:
        """Silence the open connections for good; return their number."""
        for connection in self._connections:
            connection.is_silent = True
        return len(self._connections)

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            for task in connection.tasks:
                task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        source = str(writer.get_extra_info('peername')[0])
        connection = _Connection((writer, far_writer), source)
        self._connections.add(connection)
        connection.tasks = [
            asyncio.ensure_future(self._carry(connection, direction))
            for direction in (
                _Direction(reader, far_writer, is_forward=True),
                _Direction(far_reader, writer, is_forward=False),
            )
        ]
        await asyncio.wait(connection.tasks)
        self._connections.discard(connection)
        for end in connection.writers:
            end.close()

    async def _carry(
        self, connection: _Connection, direction: _Direction
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_IN_FLIGHT)
        sender = asyncio.ensure_future(
            self._deliver(connection, direction, queue)
        )
        loop = asyncio.get_running_loop()
        chunk = b'-'
        try:
            while chunk:
                chunk = await _read(direction.reader)
                await queue.put((loop.time(), chunk))
            await sender
        finally:
            sender.cancel()

    async def _deliver(
        self,
        connection: _Connection,
        direction: _Direction,
        queue: asyncio.Queue[tuple[float, bytes]],
    ) -> None:
        passed = 0
        with suppress(OSError):
            while True:
                arrived, chunk = await queue.get()
                await self._hold(arrived, len(chunk), passed)
                while self._is_held(connection, direction):
                    await asyncio.sleep(_HELD_POLL_S)
                passed += len(chunk)
                if self._is_dropped(connection, direction):
                    continue
                if not chunk:
                    direction.writer.write_eof()
                    return
                direction.writer.write(chunk)
                await direction.writer.drain()

    async def _hold(self, arrived: float, size: int, passed: int) -> None:
        faults = self.faults
        loop = asyncio.get_running_loop()
        due = arrived + faults.delay_ms / _MS_PER_S
        if faults.bytes_per_s:
            due = max(due, loop.time() + size / faults.bytes_per_s)
        every = faults.stall_every
        if every and passed // every != (passed + size) // every:
            due = max(due, loop.time()) + faults.stall_ms / _MS_PER_S
        if due > loop.time():
            await asyncio.sleep(due - loop.time())

    def _is_held(self, connection: _Connection, direction: _Direction) -> bool:
        if direction.is_forward:
            return connection.source in self.faults.held_forward
        return connection.source in self.faults.held_back

    def _is_dropped(
        self, connection: _Connection, direction: _Direction
    ) -> bool:
        if connection.is_silent:
            return True
        if direction.is_forward:
            return self.faults.is_cut_forward
        return self.faults.is_cut_back


async def _read(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(_CHUNK)
    except OSError:
        return b''
