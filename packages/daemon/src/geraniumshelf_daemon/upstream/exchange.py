"""One request to a backend server and its answer."""

import asyncio
from collections.abc import Awaitable
from sys import maxsize
from typing import Final

from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from geraniumshelf_daemon.upstream.channel import ByteChannel

_LARGEST_BODY: Final = maxsize
_CHUNK: Final = 65536
_LARGEST_HEADER: Final = 65536
_FIRST_FINAL_CODE: Final = 200
_BODILESS: Final = frozenset((204, 304))

Head = tuple[int, str, HTTPHeaders]


class Exchange:
    """Sends one request over a connection and reads the answer.

    The task that owns the exchange never runs inside tornado's delegate, so
    that it can be cancelled at any await; ``abort`` then closes the
    connection, which is how the backend server learns of it.
    """

    def __init__(self, stream: IOStream, method: str, target: str) -> None:
        self._stream = stream
        self._connection = HTTP1Connection(
            stream,
            is_client=True,
            params=HTTP1ConnectionParameters(
                chunk_size=_CHUNK,
                max_body_size=_LARGEST_BODY,
                max_header_size=_LARGEST_HEADER,
            ),
        )
        self._start_line = RequestStartLine(method, target, 'HTTP/1.1')
        self._delegate = _AnswerDelegate(method)
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
        """Return the chunks of the answer body."""
        return self._delegate.body

    async def start(self, headers: HTTPHeaders) -> None:
        """Send the request line and headers and begin to read.

        Raises:
            OSError: If the connection was closed.
        """
        writing = self._connection.write_headers(self._start_line, headers)
        if not _announces_body(headers):
            # Tornado closes the connection when a request ends after its
            # answer has begun, and a fast server answers before the next step.
            self.finish()
        self._reader = asyncio.ensure_future(
            _read(self._connection, self._delegate)
        )
        await _until_done_or_closed(writing, self._reader)

    async def send(self, chunk: bytes) -> None:
        """Send a chunk of the request body; wait until it is written."""
        assert self._reader is not None
        writing = self._connection.write(chunk)
        await _until_done_or_closed(writing, self._reader)

    def finish(self) -> None:
        """End the request body; a request without one has ended."""
        if not self._is_sent:
            self._connection.finish()
            self._is_sent = True

    async def wait_head(self) -> Head:
        """Return status, reason and headers of the answer.

        Raises:
            ConnectionError: If the connection was closed before, or the end
                of the body could not be told from a cut.
        """
        return await asyncio.shield(self._delegate.head)

    @property
    def has_head(self) -> bool:
        """Return whether the head of the answer has arrived."""
        return self._delegate.head.done()

    async def settle(self) -> bool:
        """Return whether the connection can be used again."""
        if self._reader is None or not self._is_sent:
            return False
        is_open = await asyncio.shield(self._reader)
        return is_open and self._delegate.keeps_alive

    def abort(self) -> None:
        """Close the connection, which cancels the work."""
        self._delegate.body.discard()
        self._stream.close()


class _AnswerDelegate(HTTPMessageDelegate):
    def __init__(self, method: str) -> None:
        self._method = method
        self.body = ByteChannel()
        self.keeps_alive = False
        self.head: asyncio.Future[Head] = (
            asyncio.get_running_loop().create_future()
        )
        self.head.add_done_callback(_mark_retrieved)

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code >= _FIRST_FINAL_CODE and not self.head.done():
            self._take_head(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self.body.put(chunk)

    def finish(self) -> None:
        self.body.finish()

    def on_connection_close(self) -> None:
        self.keeps_alive = False
        self.body.fail()
        if not self.head.done():
            self.head.set_exception(ConnectionError('no complete answer'))

    def _take_head(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if not self._is_framed(start_line.code, headers):
            self.on_connection_close()
            return
        self.keeps_alive = (
            start_line.version == 'HTTP/1.1'
            and 'close' not in headers.get('Connection', '').lower()
        )
        self.head.set_result((start_line.code, start_line.reason, headers))

    def _is_framed(self, code: int, headers: HTTPHeaders) -> bool:
        # Without a length, an answer that was cut short looks complete.
        if self._method == 'HEAD' or code in _BODILESS:
            return True
        return 'Content-Length' in headers or 'Transfer-Encoding' in headers


def _announces_body(headers: HTTPHeaders) -> bool:
    if 'Transfer-Encoding' in headers:
        return True
    return headers.get('Content-Length', '0') != '0'


async def _read(connection: HTTP1Connection, delegate: _AnswerDelegate) -> bool:
    try:
        return await connection.read_response(delegate)
    except Exception:
        return False
    finally:
        if not delegate.body.is_finished:
            delegate.on_connection_close()


async def _until_done_or_closed(
    writing: Awaitable[None], reader: asyncio.Future[bool]
) -> None:
    # Tornado forgets the future of a write when the connection closes.
    done = asyncio.ensure_future(writing)
    await asyncio.wait((done, reader), return_when=asyncio.FIRST_COMPLETED)
    if done.done():
        done.result()
    else:
        done.cancel()
        raise ConnectionError('connection closed while writing')


def _mark_retrieved(future: asyncio.Future[Head]) -> None:
    if not future.cancelled():
        future.exception()
