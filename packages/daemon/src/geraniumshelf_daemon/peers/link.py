"""One established link to a peer."""

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

SILENCE_LIMIT_S: Final = 3.0
FRAME_LIMIT_BYTES: Final = 4_000_000

_QUEUE_FRAMES: Final = 512
_QUEUE_BYTES: Final = 8_000_000
_RUNNING_LIMIT: Final = 256


class PeerLink:
    """Sends and receives frames on one connection, after the Hello exchange.

    The side that dialed numbers its requests with odd correlation ids and the
    other side with even ones, so an answer cannot be taken for a request.
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
        self.used_at = current_time()
        self._connection = connection
        self._clock = clock
        self._handlers = handlers
        self._traffic = traffic
        self._last_request = 1 if is_dialer else 2
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(_QUEUE_FRAMES)
        self._queued_bytes = 0
        self._running: set[asyncio.Task[None]] = set()

    def send(self, message: Any, correlation: int = 0) -> bool:
        """Queue a message; return whether there was room."""
        encoded = encode_frame(Frame(self._clock.tick(), correlation, message))
        size = self._queued_bytes + len(encoded)
        if self._queue.full() or (self._queued_bytes and size > _QUEUE_BYTES):
            return False
        self._queued_bytes = size
        self._queue.put_nowait(encoded)
        return True

    def use(self, message: Any, correlation: int = 0) -> bool:
        """Queue a message that shows that the link is in use."""
        self.used_at = current_time()
        return self.send(message, correlation)

    async def request(self, message: Any, timeout: Nanoseconds) -> Any:
        """Send a message and return the answer; raises ``PeerError``."""
        self._last_request += 2
        number = self._last_request
        if not self.use(message, number):
            raise PeerError(ResultCode.PEER_UNREACHABLE, 'queue is full')
        answer = asyncio.get_running_loop().create_future()
        self._pending[number] = answer
        try:
            async with asyncio.timeout(ns_to_seconds(timeout)):
                return _checked(await answer)
        except TimeoutError:
            raise PeerError(ResultCode.PEER_TIMEOUT, 'no answer') from None
        finally:
            self._pending.pop(number, None)

    async def run(self) -> None:
        """Exchange frames until the link is lost, silent or refused."""
        writer = asyncio.create_task(self._write())
        try:
            await self._read()
        except ConnectionClosed:
            self.abort()
        except TimeoutError:
            log_event(Event.PEER_LOST, 'silent', peer=self.hello.instance)
            self.abort()
        except PeerError as error:
            await refuse(self._connection, error)
        finally:
            self._finish(writer)

    def abort(self) -> None:
        """Drop the connection without a closing handshake."""
        self._connection.transport.abort()

    def _finish(self, writer: asyncio.Task[None]) -> None:
        for task in (writer, *self._running):
            task.cancel()
        for answer in self._pending.values():
            if not answer.done():
                answer.set_exception(
                    PeerError(ResultCode.PEER_TIMEOUT, 'link lost')
                )

    async def _read(self) -> None:
        while True:
            async with asyncio.timeout(SILENCE_LIMIT_S):
                encoded = await self._connection.recv()
            self._traffic.count_received(len(encoded))
            frame = decode_frame(encoded)  # type: ignore[arg-type]
            if isinstance(frame.message, Hello):
                raise PeerError(ResultCode.PEER_FRAME_MALFORMED, 'second Hello')
            self._clock.observe(frame.clock)
            await self._accept(frame)

    async def _write(self) -> None:
        while True:
            encoded = await self._queue.get()
            try:
                await self._connection.send(encoded)
            except ConnectionClosed:
                return
            self._queued_bytes -= len(encoded)
            self._traffic.count_sent(len(encoded))

    async def _accept(self, frame: Frame) -> None:
        number = frame.correlation_id
        if not isinstance(frame.message, Heartbeat):
            self.used_at = current_time()
        if number and number % 2 == self._last_request % 2:
            # A late or doubled answer finds no pending request.
            answer = self._pending.pop(number, None)
            if answer is not None and not answer.done():
                answer.set_result(frame.message)
        elif not number:
            # A task for each heartbeat took a tenth of an idle daemon's time.
            await self._handle(frame)
        elif len(self._running) < _RUNNING_LIMIT:
            task = asyncio.create_task(self._handle(frame))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        else:
            self.send(Failure(ResultCode.OVERLOADED, 'busy'), number)

    async def _handle(self, frame: Frame) -> None:
        handler = self._handlers.get(type(frame.message))
        answer: Any = Failure(ResultCode.PEER_REFUSED, 'message not handled')
        if handler is not None:
            answer = await self._answer(handler, frame.message)
        if frame.correlation_id and answer is not None:
            self.send(answer, frame.correlation_id)

    async def _answer(self, handler: Handler, message: Any) -> Any:
        try:
            return await handler(self.hello.instance, message)
        except GeraniumshelfError as error:
            return Failure(error.code, error.detail)
        except Exception as error:
            log_event(Event.TASK_FAILED, repr(error), message=type(message))
            return Failure(ResultCode.INTERNAL_FAULT, 'handler failed')


async def introduce(connection: Connection, own: Hello, clock: int) -> Hello:
    """Exchange introductions and return the peer's.

    Raises:
        PeerError: ``PEER_VERSION`` or ``PEER_FRAME_MALFORMED`` for a first
            frame that is not an introduction of another instance.
        TimeoutError: If the peer sends none.
        ConnectionClosed: If the connection is lost.
    """
    await connection.send(encode_frame(Frame(clock, 0, own)))
    async with asyncio.timeout(SILENCE_LIMIT_S):
        encoded = await connection.recv()
    hello = decode_frame(encoded).message  # type: ignore[arg-type]
    if not isinstance(hello, Hello):
        raise PeerError(ResultCode.PEER_FRAME_MALFORMED, 'no Hello')
    if hello.instance in {'', own.instance}:
        raise PeerError(ResultCode.PEER_FRAME_MALFORMED, 'not another instance')
    return hello


async def refuse(connection: Connection, error: PeerError) -> None:
    """Close a connection with the code of an error."""
    log_event(Event.PEER_FRAME_REFUSED, error.detail, code=error.code.value)
    await connection.close(error.code.value, error.detail)


def _checked(answer: Any) -> Any:
    if isinstance(answer, Failure):
        raise PeerError(
            ResultCode.PEER_REFUSED, f'{answer.code}: {answer.detail}'
        )
    return answer
