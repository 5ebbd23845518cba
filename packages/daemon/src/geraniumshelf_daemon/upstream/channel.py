"""A stream of body chunks with back pressure."""

import asyncio
from collections import deque


class ByteChannel:
    """Passes chunks from one producer to one consumer.

    Tornado logs a cancellation inside a delegate as an error. Delegates
    therefore never await the other side themselves, but put chunks here.
    """

    def __init__(self) -> None:
        self._chunks: deque[bytes] = deque()
        self._changed = asyncio.Event()
        self._taken: asyncio.Future[None] | None = None
        self._is_finished = False
        self._is_broken = False
        self._is_discarding = False
        self._is_cut = False

    @property
    def is_finished(self) -> bool:
        """Return whether the producer has put the last chunk."""
        return self._is_finished

    @property
    def is_broken(self) -> bool:
        """Return whether the producer stopped before the end."""
        return self._is_broken

    @property
    def _is_consumed(self) -> bool:
        return self._is_finished and not self._chunks

    def put(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Add a chunk for the consumer.

        Returns:
            A future that is done when the chunk has been taken, ``None`` if
            chunks are discarded.
        """
        if self._is_discarding:
            return None
        self._chunks.append(chunk)
        self._changed.set()
        self._taken = asyncio.get_running_loop().create_future()
        return self._taken

    def finish(self) -> None:
        """Mark the end of the stream."""
        self._is_finished = True
        self._changed.set()

    def fail(self) -> None:
        """Mark the stream as truncated unless it is finished."""
        self._is_broken = not self._is_finished
        self._changed.set()

    def discard(self) -> None:
        """Drop the chunks that are queued and all further ones.

        The consumer gets no end of the stream then, unless it came before.
        """
        self._is_discarding = True
        self._is_cut = self._is_cut or not self._is_consumed
        self._chunks.clear()
        self._signal_taken()
        self._changed.set()

    async def take(self) -> bytes:
        """Return the next chunk, empty at the end.

        Raises:
            ConnectionError: If the producer stopped before the end, or if
                chunks were discarded.
        """
        while not self._chunks:
            if self._is_consumed and not self._is_cut:
                return b''
            if self._is_broken or self._is_cut:
                raise ConnectionError('body truncated')
            self._changed.clear()
            await self._changed.wait()
        chunk = self._chunks.popleft()
        self._signal_taken()
        return chunk

    async def wait_end(self) -> None:
        """Wait until the producer has finished or failed."""
        while not (self._is_finished or self._is_broken):
            self._changed.clear()
            await self._changed.wait()

    def _signal_taken(self) -> None:
        if self._taken is not None and not self._taken.done():
            self._taken.set_result(None)
        self._taken = None
