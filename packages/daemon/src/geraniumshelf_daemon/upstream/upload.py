"""Sends a request body, and again for another attempt."""

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

# Larger bodies are not held in memory, so they can't be sent again. Photographs
# of ledgers have up to 360 kB.
_LARGEST_REPLAY: Final = 524288


class Upload:
    """The body of one request over all attempts.

    Args:
        body: Chunks that arrive from the caller.
        pacer: Holds chunks back on links to other regions.
        has_body: Whether the request announces a body.
    """

    def __init__(
        self, body: ByteChannel, pacer: LinkPacer, *, has_body: bool
    ) -> None:
        self._body = body
        self._pacer = pacer
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._is_whole = not has_body
        self._can_replay = True
        self._is_waiting = False

    @property
    def is_waiting(self) -> bool:
        """Return whether it waits for the caller or a share of a link."""
        return self._is_waiting

    @property
    def can_replay(self) -> bool:
        """Return whether the body can be sent from its beginning."""
        return self._can_replay

    async def send(
        self, exchange: Exchange, link_flow: LinkFlow, progress: Progress
    ) -> None:
        """Send the whole body.

        Raises:
            RequestRefused: ``CALLER_SILENT`` if the caller stopped sending.
            OSError: If either connection was closed.
        """
        for kept in tuple(self._kept):
            await self._pass_on(kept, exchange, link_flow)
            progress.steps += 1
        while not self._is_whole:
            chunk = await self._take(progress.timeout_s)
            if chunk:
                await self._pass_on(chunk, exchange, link_flow)
                progress.steps += 1
        exchange.finish()

    async def _pass_on(
        self, chunk: bytes, exchange: Exchange, link_flow: LinkFlow
    ) -> None:
        # Waiting for a share of the link says nothing about the server.
        self._is_waiting = True
        await self._pacer.send(link_flow, len(chunk))
        self._is_waiting = False
        await exchange.send(chunk)

    async def _take(self, timeout_s: float) -> bytes:
        self._is_waiting = True
        try:
            chunk = await with_timeout(timeout_s, self._body.take())
        except SilentError as error:
            raise RequestRefused(
                ResultCode.CALLER_SILENT, 'the request body stopped arriving'
            ) from error
        else:
            self._is_whole = not chunk
            self._keep(chunk)
            return chunk
        finally:
            self._is_waiting = False

    def _keep(self, chunk: bytes) -> None:
        self._kept_bytes += len(chunk)
        if self._kept_bytes > _LARGEST_REPLAY:
            self._can_replay = False
            self._kept.clear()
        elif chunk and self._can_replay:
            self._kept.append(chunk)
