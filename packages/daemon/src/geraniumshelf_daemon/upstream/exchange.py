"""One request to a backend server and its answer."""

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
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from geraniumshelf_daemon.upstream.channel import ByteChannel
from geraniumshelf_daemon.upstream.response_owner import ResponseOwner

_LARGEST_BODY: Final = maxsize
_CHUNK: Final = 65536
_LARGEST_HEADER: Final = 65536
_FIRST_FINAL_CODE: Final = 200
_BODILESS: Final = frozenset((204, 304))
# Interim answers and answers to other requests that are read before the own
# answer. A sound server sends a few at most; a faulty one sends them without
# end.
_MOST_SKIPPED: Final = 16
# Bytes of the bodies of answers to other requests that are read at most.
_LARGEST_SKIPPED: Final = 1048576

ResponseHead = tuple[int, str, HTTPHeaders]


class Exchange:
    """Sends one request over a connection and reads the answer.

    The task that owns the exchange never runs inside tornado's delegate, so
    that it can be cancelled at any await; ``abort`` then closes the
    connection, which is how the backend server learns of it.
    """

    def __init__(
        self,
        stream: IOStream,
        method: str,
        target: str,
        find_owner: Callable[[HTTPHeaders], ResponseOwner] | None = None,
    ) -> None:
        """Prepare an exchange.

        Args:
            stream: An idle connection.
            method: HTTP method.
            target: Request target.
            find_owner: Tells from its headers whose request an answer
                belongs to. The answer to another request is skipped; one of
                an unknown owner ends the exchange.
        """
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
        self._delegate = _AnswerDelegate(stream, method, find_owner)
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
        writing = self.start_nowait(headers)
        assert self._reader is not None
        await _until_done_or_closed(writing, self._reader)

    def start_nowait(self, headers: HTTPHeaders) -> Awaitable[None]:
        """Send the request line and headers and begin to read.

        Returns:
            What is done when they are written; if the connection closes
            before, only ``wait_head`` tells.
        """
        writing = self._connection.write_headers(self._start_line, headers)
        if not _announces_body(headers):
            # Tornado closes the connection when a request ends after its
            # answer has begun, and a fast server answers before the next step.
            self.finish()
        self._reader = asyncio.ensure_future(
            _read(self._connection, self._delegate)
        )
        return writing

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

    async def wait_head(self) -> ResponseHead:
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

    async def check_reusable(self) -> bool:
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
    def __init__(
        self,
        stream: IOStream,
        method: str,
        find_owner: Callable[[HTTPHeaders], ResponseOwner] | None,
    ) -> None:
        self._stream = stream
        self._method = method
        self._find_owner = find_owner
        self._skips = False
        self._skipped = 0
        self._skipped_bytes = 0
        self._ends_with_connection = False
        self.body = ByteChannel()
        self.keeps_alive = False
        self.head: asyncio.Future[ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        self.head.add_done_callback(_mark_retrieved)

    @property
    def skips(self) -> bool:
        """Return whether the last answer belongs to another request."""
        return self._skips

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if self.head.done():
            return
        if start_line.code < _FIRST_FINAL_CODE:
            self._count_skipped()
            return
        owner = ResponseOwner.OWN
        if self._find_owner is not None:
            owner = self._find_owner(headers)
        self._skips = owner is not ResponseOwner.OWN
        match owner:
            case ResponseOwner.OWN:
                self._take_head(start_line, headers)
            case ResponseOwner.OTHER:
                self._count_skipped()
            case ResponseOwner.UNKNOWN:
                self._give_up('the answer does not name its request')

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if not self._skips:
            return self.body.put(chunk)
        self._skipped_bytes += len(chunk)
        if self._skipped_bytes > _LARGEST_SKIPPED:
            self._give_up('the answer to another request is too long')
        return None

    def finish(self) -> None:
        if self._skips:
            return
        # A reset ends a body without a length before its end.
        if self._ends_with_connection and self._stream.error is not None:
            self.on_connection_close()
        else:
            self.body.finish()

    def on_connection_close(self) -> None:
        self._give_up('no complete answer')

    def _count_skipped(self) -> None:
        self._skipped += 1
        if self._skipped > _MOST_SKIPPED:
            self._give_up('too many interim answers or answers to others')

    def _give_up(self, reason: str) -> None:
        self.keeps_alive = False
        self.body.fail()
        if not self.head.done():
            self.head.set_exception(ConnectionError(reason))
        self._stream.close()

    def _take_head(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        self._ends_with_connection = not self._is_framed(
            start_line.code, headers
        )
        # Without a length, an answer that was cut short looks complete; only
        # a caller that checks answers takes it.
        if self._ends_with_connection and self._find_owner is None:
            self.on_connection_close()
            return
        self.keeps_alive = (
            start_line.version == 'HTTP/1.1'
            and not self._ends_with_connection
            and 'close' not in headers.get('Connection', '').lower()
        )
        self.head.set_result((start_line.code, start_line.reason, headers))

    def _is_framed(self, code: int, headers: HTTPHeaders) -> bool:
        if self._method == 'HEAD' or code in _BODILESS:
            return True
        return 'Content-Length' in headers or 'Transfer-Encoding' in headers


def _announces_body(headers: HTTPHeaders) -> bool:
    if 'Transfer-Encoding' in headers:
        return True
    return headers.get('Content-Length', '0') != '0'


async def _read(connection: HTTP1Connection, delegate: _AnswerDelegate) -> bool:
    try:
        is_open = await connection.read_response(delegate)
        while is_open and delegate.skips:
            is_open = await connection.read_response(delegate)
        return is_open
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


def _mark_retrieved(future: asyncio.Future[ResponseHead]) -> None:
    if not future.cancelled():
        future.exception()
