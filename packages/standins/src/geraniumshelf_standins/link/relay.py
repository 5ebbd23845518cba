"""TCP relay that delays, stalls, holds or drops the bytes of connections."""

import asyncio
from contextlib import suppress
from typing import Final

from attrs import define, field, frozen

_CHUNK_BYTES: Final = 65536
_MS_PER_S: Final = 1000
# Chunks queued in one direction of a connection.
_MAX_QUEUED_CHUNKS: Final = 64
_HOLD_POLL_INTERVAL_S: Final = 0.02


@define
class LinkFaults:
    """Faults of a relay.

    Attributes:
        delay_ms: One-way delay, milliseconds.
        stall_ms: Time for which a direction stops after each
            ``stall_interval_bytes``, as after a lost packet, milliseconds.
        stall_interval_bytes: Bytes between two stalls, 0 for no stalls.
        bytes_per_s: Rate of each direction of a connection, 0 for no limit.
        is_dropping_forward: Whether bytes to the target are dropped.
        is_dropping_backward: Whether bytes from the target are dropped.
        held_forward: Source IP addresses of connections whose bytes to the
            target are held until the fault ends, as TCP does across a network
            partition.
        held_backward: Source IP addresses of connections whose bytes from the
            target are held until the fault ends.
    """

    delay_ms: int = 0
    stall_ms: int = 0
    stall_interval_bytes: int = 0
    bytes_per_s: int = 0
    is_dropping_forward: bool = False
    is_dropping_backward: bool = False
    held_forward: frozenset[str] = frozenset()
    held_backward: frozenset[str] = frozenset()


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
        listen: ``host:port`` to listen at; port 0 selects a free port.
        target: ``host:port`` to connect to.
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
        """Start to listen and return the address with the real port."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._accept, host, int(port))
        bound = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{bound}'
        return self.address

    def silence(self) -> int:
        """Drop all further bytes of the open connections; return their number.

        Later connections are not affected.
        """
        for connection in self._connections:
            connection.is_silent = True
        return len(self._connections)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
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
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        source = str(writer.get_extra_info('peername')[0])
        connection = _Connection((writer, target_writer), source)
        self._connections.add(connection)
        connection.tasks = [
            asyncio.ensure_future(self._relay(connection, direction))
            for direction in (
                _Direction(reader, target_writer, is_forward=True),
                _Direction(target_reader, writer, is_forward=False),
            )
        ]
        await asyncio.wait(connection.tasks)
        self._connections.discard(connection)
        for stream_writer in connection.writers:
            stream_writer.close()

    async def _relay(
        self, connection: _Connection, direction: _Direction
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            _MAX_QUEUED_CHUNKS
        )
        sender = asyncio.ensure_future(
            self._deliver(connection, direction, queue)
        )
        loop = asyncio.get_running_loop()
        # Placeholder that starts the loop; an empty chunk is the end of stream.
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
        relayed_bytes = 0
        with suppress(OSError):
            while True:
                received_at, chunk = await queue.get()
                await self._delay(received_at, len(chunk), relayed_bytes)
                while self._is_held(connection, direction):
                    await asyncio.sleep(_HOLD_POLL_INTERVAL_S)
                relayed_bytes += len(chunk)
                if self._is_dropped(connection, direction):
                    continue
                if not chunk:
                    direction.writer.write_eof()
                    return
                direction.writer.write(chunk)
                await direction.writer.drain()

    async def _delay(
        self, received_at: float, size: int, relayed_bytes: int
    ) -> None:
        faults = self.faults
        loop = asyncio.get_running_loop()
        send_at = received_at + faults.delay_ms / _MS_PER_S
        if faults.bytes_per_s:
            send_at = max(send_at, loop.time() + size / faults.bytes_per_s)
        interval = faults.stall_interval_bytes
        if (
            interval
            and relayed_bytes // interval != (relayed_bytes + size) // interval
        ):
            send_at = max(send_at, loop.time()) + faults.stall_ms / _MS_PER_S
        if send_at > loop.time():
            await asyncio.sleep(send_at - loop.time())

    def _is_held(self, connection: _Connection, direction: _Direction) -> bool:
        if direction.is_forward:
            return connection.source in self.faults.held_forward
        return connection.source in self.faults.held_backward

    def _is_dropped(
        self, connection: _Connection, direction: _Direction
    ) -> bool:
        if connection.is_silent:
            return True
        if direction.is_forward:
            return self.faults.is_dropping_forward
        return self.faults.is_dropping_backward


async def _read(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(_CHUNK_BYTES)
    except OSError:
        return b''
