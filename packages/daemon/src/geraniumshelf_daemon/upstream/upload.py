"""Sends a request body, and replays it for further attempts."""

from collections.abc import Callable
from typing import Final

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_daemon.upstream.channel import ByteChannel
from geraniumshelf_daemon.upstream.exchange import Exchange
from geraniumshelf_daemon.upstream.links import LinkFlow, LinkPacer
from geraniumshelf_daemon.upstream.progress import (
    Progress,
    SilentError,
    with_timeout,
)

# Larger bodies aren't kept in memory, so they can't be replayed. The limit
# covers photographs of ledgers, which have up to 360 kB.
_MAX_REPLAY_BYTES: Final = 524288
# Memory that a chunk takes beyond its length.
_CHUNK_OVERHEAD_BYTES: Final = 64


class Upload:
    """The body of one request, for all its attempts.

    Args:
        body: Chunks received from the caller.
        pacer: Limits the rate on links to other regions.
        has_body: Whether the request has a body.
        hold: Called with the memory of each kept chunk, and with the negative
            sum when the chunks are dropped.
    """

    def __init__(
        self,
        body: ByteChannel,
        pacer: LinkPacer,
        *,
        has_body: bool,
        hold: Callable[[int], None] | None = None,
    ) -> None:
        self._hold = hold
        self._held_bytes = 0
        self._body = body
        self._pacer = pacer
        self._kept_chunks: list[bytes] = []
        self._kept_bytes = 0
        self._is_complete = not has_body
        self._can_replay = True
        self._is_waiting = False

    @property
    def is_waiting(self) -> bool:
        """Return whether it waits for the caller or for link capacity."""
        return self._is_waiting

    @property
    def can_replay(self) -> bool:
        """Return whether the body can be sent again from its beginning."""
        return self._can_replay

    async def collect(self, timeout_s: float) -> bool:
        """Receive the whole body before it is sent.

        Args:
            timeout_s: Maximum time between two chunks, seconds.

        Returns:
            Whether the body is complete; a longer one cannot be kept.

        Raises:
            RequestRefused: ``CALLER_SILENT`` if the caller stopped sending.
            OSError: If the connection to the caller was closed.
        """
        while self._can_replay and not self._is_complete:
            await self._receive_chunk(timeout_s)
        return self._is_complete and self._can_replay

    async def send(
        self, exchange: Exchange, link_flow: LinkFlow, progress: Progress
    ) -> None:
        """Send the whole body and finish the request.

        Raises:
            RequestRefused: ``CALLER_SILENT`` if the caller stopped sending.
            OSError: If the connection to the caller or to the backend server
                was closed.
        """
        for kept_chunk in tuple(self._kept_chunks):
            await self._send_chunk(kept_chunk, exchange, link_flow)
            progress.chunks_sent += 1
        while not self._is_complete:
            chunk = await self._receive_chunk(progress.timeout_s)
            if chunk:
                await self._send_chunk(chunk, exchange, link_flow)
                progress.chunks_sent += 1
        exchange.finish()

    async def _send_chunk(
        self, chunk: bytes, exchange: Exchange, link_flow: LinkFlow
    ) -> None:
        # Time spent waiting for link capacity isn't silence of the server.
        self._is_waiting = True
        await self._pacer.send(link_flow, len(chunk))
        self._is_waiting = False
        await exchange.send(chunk)

    async def _receive_chunk(self, timeout_s: float) -> bytes:
        self._is_waiting = True
        try:
            chunk = await with_timeout(timeout_s, self._body.take())
        except SilentError as error:
            raise RequestRefused(
                ResultCode.CALLER_SILENT,
                'the caller sent no further part of the request body within '
                f'{timeout_s:g} s',
            ) from error
        else:
            self._is_complete = not chunk
            self._keep_for_replay(chunk)
            return chunk
        finally:
            self._is_waiting = False

    def _keep_for_replay(self, chunk: bytes) -> None:
        self._kept_bytes += len(chunk)
        if self._kept_bytes > _MAX_REPLAY_BYTES:
            self._can_replay = False
            self._kept_chunks.clear()
            self._charge(-self._held_bytes)
        elif chunk and self._can_replay:
            self._kept_chunks.append(chunk)
            self._charge(len(chunk) + _CHUNK_OVERHEAD_BYTES)

    def _charge(self, size: int) -> None:
        self._held_bytes += size
        if self._hold is not None:
            self._hold(size)
