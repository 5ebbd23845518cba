"""One HTTP exchange with a backend server: a request and its response."""

import asyncio
from collections.abc import Awaitable, Callable
from sys import maxsize
from typing import Final

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.httputil import (
    HTTPHeaders,
    RequestStartLine,
)
from tornado.iostream import IOStream

from geraniumshelf_daemon.upstream.channel import ByteChannel
from geraniumshelf_daemon.upstream.response_delegate import (
    ResponseDelegate,
    ResponseHead,
)
from geraniumshelf_daemon.upstream.response_owner import ResponseOwner

_MAX_BODY_BYTES: Final = maxsize
_CHUNK_BYTES: Final = 65536
_MAX_HEADER_BYTES: Final = 65536


class Exchange:
    """Sends one request over a connection and reads the response.

    The task that owns the exchange never runs inside tornado's delegate, so
    that it can be cancelled at any await. ``abort`` then closes the
    connection, which tells the backend server about the cancellation.
    """

    def __init__(
        self,
        stream: IOStream,
        method: str,
        target: str,
        classify_response: Callable[[HTTPHeaders], ResponseOwner] | None = None,
    ) -> None:
        """Prepare an exchange.

        Args:
            stream: An idle connection.
            method: HTTP method.
            target: Request target.
            classify_response: Returns whose response it is, by its headers.
                A response to another request is skipped; one of an unknown
                owner ends the exchange.
        """
        self._stream = stream
        self._connection = HTTP1Connection(
            stream,
            is_client=True,
            params=HTTP1ConnectionParameters(
                chunk_size=_CHUNK_BYTES,
                max_body_size=_MAX_BODY_BYTES,
                max_header_size=_MAX_HEADER_BYTES,
            ),
        )
        self._start_line = RequestStartLine(method, target, 'HTTP/1.1')
        self._delegate = ResponseDelegate(stream, method, classify_response)
        self._reader: asyncio.Future[bool] | None = None
        self._is_sent = False

    @property
    def stream(self) -> IOStream:
        """Return the connection."""
        return self._stream

    @property
    def is_request_sent(self) -> bool:
        """Return whether the whole request has been written."""
        return self._is_sent

    @property
    def body(self) -> ByteChannel:
        """Return the chunks of the response body."""
        return self._delegate.body

    async def start(self, headers: HTTPHeaders) -> None:
        """Send the request line and headers and start reading.

        Raises:
            OSError: If the connection was closed.
        """
        writing = self.start_nowait(headers)
        assert self._reader is not None
        await _wait_until_written(writing, self._reader)

    def start_nowait(self, headers: HTTPHeaders) -> Awaitable[None]:
        """Start sending the request line and headers, and start reading.

        Returns:
            An awaitable that is done when they are written. It may never be
            done if the connection closes first; ``wait_head`` then raises.
        """
        writing = self._connection.write_headers(self._start_line, headers)
        if not _declares_body(headers):
            # Tornado closes the connection if a request is finished after its
            # response has begun, and a fast server responds before the next
            # step of the calling task. Hence it is finished at once.
            self.finish()
        self._reader = asyncio.ensure_future(
            _read_responses(self._connection, self._delegate)
        )
        return writing

    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the request body and wait until it is written."""
        assert self._reader is not None
        writing = self._connection.write(chunk)
        await _wait_until_written(writing, self._reader)

    def finish(self) -> None:
        """Finish the request, unless it has been finished already."""
        if not self._is_sent:
            self._connection.finish()
            self._is_sent = True

    async def flush(self) -> None:
        """Wait until all that was sent has been passed to the kernel.

        Raises:
            OSError: If the connection was closed before.
        """
        await self._stream.write(b'')

    async def wait_head(self) -> ResponseHead:
        """Return the status, reason and headers of the response.

        Raises:
            ConnectionError: If the connection was closed before, or if a
                truncated body would look like a complete one.
        """
        return await asyncio.shield(self._delegate.head)

    @property
    def has_head(self) -> bool:
        """Return whether the head of the response has arrived or failed."""
        return self._delegate.head.done()

    async def check_reusable(self) -> bool:
        """Read to the end; return whether the connection can be reused."""
        if self._reader is None or not self._is_sent:
            return False
        is_open = await asyncio.shield(self._reader)
        return is_open and self._delegate.is_keep_alive

    def abort(self) -> None:
        """Close the connection, which cancels the request at the server."""
        self._delegate.body.discard()
        self._stream.close()


def _declares_body(headers: HTTPHeaders) -> bool:
    if 'Transfer-Encoding' in headers:
        return True
    return headers.get('Content-Length', '0') != '0'


async def _read_responses(
    connection: HTTP1Connection, delegate: ResponseDelegate
) -> bool:
    try:
        is_open = await connection.read_response(delegate)
        while is_open and delegate.is_skipping:
            is_open = await connection.read_response(delegate)
        return is_open
    except Exception:
        return False
    finally:
        if not delegate.body.is_finished:
            delegate.on_connection_close()


async def _wait_until_written(
    write: Awaitable[None], reader: asyncio.Future[bool]
) -> None:
    # Tornado never completes the future of a write if the connection closes.
    pending = asyncio.ensure_future(write)
    await asyncio.wait((pending, reader), return_when=asyncio.FIRST_COMPLETED)
    if pending.done():
        pending.result()
    else:
        pending.cancel()
        raise ConnectionError('connection closed while writing')
