"""A stream of body chunks with back pressure."""

import asyncio
from collections import deque


class ByteChannel:
    """Hands chunks from one producer to one consumer.

    Tornado turns a cancellation inside a delegate into a logged error, so
    delegates never wait for the other side themselves: they put chunks here.
    """

    def __init__(self) -> None:
        self._chunks: deque[bytes] = deque()
        self._change = asyncio.Event()
        self._taken: asyncio.Future[None] | None = None
        self._is_finished = False
        self._is_broken = False
        self._is_discarding = False

    @property
    def is_finished(self) -> bool:
        """Return whether the producer has put everything."""
        return self._is_finished

    @property
    def is_broken(self) -> bool:
        """Return whether the producer has stopped before the end."""
        return self._is_broken

    def put(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Add a chunk; the future is done when it has been taken."""
        if self._is_discarding:
            return None
        self._chunks.append(chunk)
        self._change.set()
        self._taken = asyncio.get_running_loop().create_future()
        return self._taken

    def finish(self) -> None:
        """Mark the end of the stream."""
        self._is_finished = True
        self._change.set()

    def fail(self) -> None:
        """Mark the stream as cut short."""
        self._is_broken = not self._is_finished
        self._change.set()

    def discard(self) -> None:
        """Drop all further chunks."""
        self._is_discarding = True
        self._chunks.clear()
        self._release()

    async def take(self) -> bytes:
        """Return the next chunk, empty at the end.

        Raises:
            ConnectionError: If the producer stopped before the end.
        """
        while not self._chunks:
            if self._is_finished:
                return b''
            if self._is_broken:
                raise ConnectionError('body cut short')
            self._change.clear()
            await self._change.wait()
        chunk = self._chunks.popleft()
        self._release()
        return chunk

    async def wait_end(self) -> None:
        """Wait until the producer has finished or failed."""
        while not (self._is_finished or self._is_broken):
            self._change.clear()
            await self._change.wait()

    def _release(self) -> None:
        if self._taken is not None and not self._taken.done():
            self._taken.set_result(None)
        self._taken = None
