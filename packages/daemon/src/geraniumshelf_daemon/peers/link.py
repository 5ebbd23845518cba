"""A link to one peer over an open WebSocket connection."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from geraniumshelf_core.codec import Frame, decode_frame, encode_frame
from geraniumshelf_core.errors import GeraniumshelfError, PeerError, ResultCode
from geraniumshelf_core.messages.membership import Failure, Heartbeat, Hello
from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.traffic import TrafficCounters
from geraniumshelf_daemon.peers.interface import Handler

SILENCE_TIMEOUT_S: Final = 3.0
MAX_FRAME_BYTES: Final = 4_000_000

_MAX_QUEUED_FRAMES: Final = 512
_MAX_QUEUED_BYTES: Final = 8_000_000
_MAX_RUNNING_HANDLERS: Final = 256


class PeerLink:
    """Sends and receives frames on a connection after the Hello exchange.

    The side that dialed uses odd correlation ids for its requests and the
    other side even ones, so that a reply cannot be mistaken for a request.

    Attributes:
        hello: Introduction of the peer.
        is_dialer: Whether this daemon opened the connection.
        is_on_demand: Whether the link was opened on demand for single
            requests.
        last_used_at: Time of the last message other than a heartbeat.
    """

    def __init__(
        self,
        connection: Connection,
        hello: Hello,
        *,
        is_dialer: bool,
        clock: LogicalClock,
        handlers: Mapping[type, Handler],
        traffic: TrafficCounters,
        is_on_demand: bool = False,
    ) -> None:
        self.hello = hello
        self.is_dialer = is_dialer
        self.is_on_demand = is_on_demand
        self.last_used_at = current_time()
        self._connection = connection
        self._clock = clock
        self._handlers = handlers
        self._traffic = traffic
        self._last_correlation_id = 1 if is_dialer else 2
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(_MAX_QUEUED_FRAMES)
        self._queued_bytes = 0
        self._handler_tasks: set[asyncio.Task[None]] = set()

    def send(self, message: Any, correlation_id: int = 0) -> bool:
        """Queue a message and return whether the queue had room for it."""
        encoded = encode_frame(
            Frame(self._clock.tick(), correlation_id, message)
        )
        size = self._queued_bytes + len(encoded)
        if self._queue.full() or (
            self._queued_bytes and size > _MAX_QUEUED_BYTES
        ):
            return False
        self._queued_bytes = size
        self._queue.put_nowait(encoded)
        return True

    def send_and_touch(self, message: Any, correlation_id: int = 0) -> bool:
        """Queue a message and record that the link is not idle."""
        self.last_used_at = current_time()
        return self.send(message, correlation_id)

    async def request(self, message: Any, timeout: Nanoseconds) -> Any:
        """Send a message and return the reply; raises ``PeerError``."""
        self._last_correlation_id += 2
        correlation_id = self._last_correlation_id
        if not self.send_and_touch(message, correlation_id):
            raise PeerError(
                ResultCode.PEER_UNREACHABLE,
                f'send queue to peer {self.hello.instance} is full',
            )
        reply = asyncio.get_running_loop().create_future()
        self._pending[correlation_id] = reply
        try:
            async with asyncio.timeout(ns_to_seconds(timeout)):
                return _check_reply(await reply)
        except TimeoutError:
            raise PeerError(
                ResultCode.PEER_TIMEOUT,
                f'peer {self.hello.instance} did not reply within '
                f'{ns_to_seconds(timeout):.3f} s',
            ) from None
        finally:
            self._pending.pop(correlation_id, None)

    async def run(self) -> None:
        """Exchange frames until the connection fails, times out or is refused.

        A connection that delivers no frame for ``SILENCE_TIMEOUT_S`` is
        aborted.
        """
        writer = asyncio.create_task(self._write())
        try:
            await self._read()
        except ConnectionClosed:
            self.abort()
        except TimeoutError:
            log_event(
                Event.PEER_LOST,
                f'no frame received within {SILENCE_TIMEOUT_S} s',
                peer=self.hello.instance,
            )
            self.abort()
        except PeerError as error:
            await refuse(self._connection, error)
        finally:
            self._cancel_tasks(writer)

    def abort(self) -> None:
        """Abort the connection without a closing handshake."""
        self._connection.transport.abort()

    def _cancel_tasks(self, writer: asyncio.Task[None]) -> None:
        for task in (writer, *self._handler_tasks):
            task.cancel()
        for reply in self._pending.values():
            if not reply.done():
                reply.set_exception(
                    PeerError(
                        ResultCode.PEER_TIMEOUT,
                        f'link to peer {self.hello.instance} was lost',
                    )
                )

    async def _read(self) -> None:
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                encoded = await self._connection.recv()
            self._traffic.count_received(len(encoded))
            frame = decode_frame(encoded)  # type: ignore[arg-type]
            if isinstance(frame.message, Hello):
                raise PeerError(
                    ResultCode.PEER_FRAME_MALFORMED, 'received a second Hello'
                )
            self._clock.observe(frame.clock)
            await self._dispatch(frame)

    async def _write(self) -> None:
        while True:
            encoded = await self._queue.get()
            try:
                await self._connection.send(encoded)
            except ConnectionClosed:
                return
            self._queued_bytes -= len(encoded)
            self._traffic.count_sent(len(encoded))

    async def _dispatch(self, frame: Frame) -> None:
        correlation_id = frame.correlation_id
        if not isinstance(frame.message, Heartbeat):
            self.last_used_at = current_time()
        if (
            correlation_id
            and correlation_id % 2 == self._last_correlation_id % 2
        ):
            # No request is pending for a late or duplicate reply.
            reply = self._pending.pop(correlation_id, None)
            if reply is not None and not reply.done():
                reply.set_result(frame.message)
        elif not correlation_id:
            # Runs without a task of its own: one task per heartbeat took a
            # tenth of the CPU time of an idle daemon.
            await self._handle(frame)
        elif len(self._handler_tasks) < _MAX_RUNNING_HANDLERS:
            task = asyncio.create_task(self._handle(frame))
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)
        else:
            self.send(
                Failure(
                    ResultCode.OVERLOADED,
                    f'{_MAX_RUNNING_HANDLERS} requests of this link are '
                    'already running',
                ),
                correlation_id,
            )

    async def _handle(self, frame: Frame) -> None:
        handler = self._handlers.get(type(frame.message))
        reply: Any = Failure(
            ResultCode.PEER_REFUSED,
            f'no handler for {type(frame.message).__name__} messages',
        )
        if handler is not None:
            reply = await self._run_handler(handler, frame.message)
        if frame.correlation_id and reply is not None:
            self.send(reply, frame.correlation_id)

    async def _run_handler(self, handler: Handler, message: Any) -> Any:
        try:
            return await handler(self.hello.instance, message)
        except GeraniumshelfError as error:
            return Failure(error.code, error.detail)
        except Exception as error:
            log_event(Event.TASK_FAILED, repr(error), message=type(message))
            return Failure(ResultCode.INTERNAL_FAULT, 'message handler failed')


async def exchange_hello(
    connection: Connection, own: Hello, clock: int
) -> Hello:
    """Send the own ``Hello`` and return that of the peer.

    Raises:
        PeerError: ``PEER_VERSION`` or ``PEER_FRAME_MALFORMED`` if the first
            frame is not the ``Hello`` of another instance.
        TimeoutError: If no frame arrives within ``SILENCE_TIMEOUT_S``.
        ConnectionClosed: If the connection is lost.
    """
    await connection.send(encode_frame(Frame(clock, 0, own)))
    async with asyncio.timeout(SILENCE_TIMEOUT_S):
        encoded = await connection.recv()
    hello = decode_frame(encoded).message  # type: ignore[arg-type]
    if not isinstance(hello, Hello):
        raise PeerError(
            ResultCode.PEER_FRAME_MALFORMED,
            f'first frame is {type(hello).__name__}, expected Hello',
        )
    if hello.instance in {'', own.instance}:
        raise PeerError(
            ResultCode.PEER_FRAME_MALFORMED,
            'Hello does not name another instance',
        )
    return hello


async def refuse(connection: Connection, error: PeerError) -> None:
    """Log an error and close the connection with its code."""
    log_event(Event.PEER_FRAME_REFUSED, error.detail, code=error.code.value)
    await connection.close(error.code.value, error.detail)


def _check_reply(reply: Any) -> Any:
    if isinstance(reply, Failure):
        raise PeerError(
            ResultCode.PEER_REFUSED, f'{reply.code}: {reply.detail}'
        )
    return reply
