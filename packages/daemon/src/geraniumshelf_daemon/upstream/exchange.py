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
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from geraniumshelf_daemon.upstream.channel import ByteChannel
from geraniumshelf_daemon.upstream.response_owner import ResponseOwner

_MAX_BODY_BYTES: Final = maxsize
_CHUNK_BYTES: Final = 65536
_MAX_HEADER_BYTES: Final = 65536
_MIN_FINAL_STATUS: Final = 200
_BODILESS_STATUSES: Final = frozenset((204, 304))
# Limit of the interim responses and responses to other requests that are read
# before the response to this request. A healthy server sends a few at most; a
# faulty one may send them without end.
_MAX_SKIPPED_RESPONSES: Final = 16
# Limit of the total body size of responses to other requests.
_MAX_SKIPPED_BYTES: Final = 1048576

# Status code, reason phrase and headers.
ResponseHead = tuple[int, str, HTTPHeaders]


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
        self._delegate = _ResponseDelegate(stream, method, classify_response)
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


class _ResponseDelegate(HTTPMessageDelegate):
    def __init__(
        self,
        stream: IOStream,
        method: str,
        classify_response: Callable[[HTTPHeaders], ResponseOwner] | None,
    ) -> None:
        self._stream = stream
        self._method = method
        self._classify_response = classify_response
        self._is_skipping = False
        self._skipped_responses = 0
        self._skipped_bytes = 0
        self._is_close_delimited = False
        self.body = ByteChannel()
        self.is_keep_alive = False
        self.head: asyncio.Future[ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        self.head.add_done_callback(_retrieve_exception)

    @property
    def is_skipping(self) -> bool:
        """Return whether the last response isn't the one to this request."""
        return self._is_skipping

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if self.head.done():
            return
        if start_line.code < _MIN_FINAL_STATUS:
            self._count_skipped_response()
            return
        owner = ResponseOwner.OWN
        if self._classify_response is not None:
            owner = self._classify_response(headers)
        self._is_skipping = owner is not ResponseOwner.OWN
        match owner:
            case ResponseOwner.OWN:
                self._accept_head(start_line, headers)
            case ResponseOwner.OTHER:
                self._count_skipped_response()
            case ResponseOwner.UNKNOWN:
                self._fail('cannot tell which request the response belongs to')

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if not self._is_skipping:
            return self.body.put(chunk)
        self._skipped_bytes += len(chunk)
        if self._skipped_bytes > _MAX_SKIPPED_BYTES:
            self._fail(f'skipped responses exceed {_MAX_SKIPPED_BYTES} bytes')
        return None

    def finish(self) -> None:
        if self._is_skipping:
            return
        # A reset truncates a body that is delimited by the connection's close.
        if self._is_close_delimited and self._stream.error is not None:
            self.on_connection_close()
        else:
            self.body.finish()

    def on_connection_close(self) -> None:
        self._fail('the connection ended without a complete response')

    def _count_skipped_response(self) -> None:
        self._skipped_responses += 1
        if self._skipped_responses > _MAX_SKIPPED_RESPONSES:
            self._fail(f'skipped more than {_MAX_SKIPPED_RESPONSES} responses')

    def _fail(self, reason: str) -> None:
        self.is_keep_alive = False
        self.body.fail()
        if not self.head.done():
            self.head.set_exception(ConnectionError(reason))
        self._stream.close()

    def _accept_head(
        self, start_line: ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        self._is_close_delimited = not self._is_framed(start_line.code, headers)
        # Without a length, a truncated response looks complete. It is only
        # accepted if the owner of the exchange verifies responses.
        if self._is_close_delimited and self._classify_response is None:
            self.on_connection_close()
            return
        self.is_keep_alive = (
            start_line.version == 'HTTP/1.1'
            and not self._is_close_delimited
            and 'close' not in headers.get('Connection', '').lower()
        )
        self.head.set_result((start_line.code, start_line.reason, headers))

    def _is_framed(self, code: int, headers: HTTPHeaders) -> bool:
        if self._method == 'HEAD' or code in _BODILESS_STATUSES:
            return True
        return 'Content-Length' in headers or 'Transfer-Encoding' in headers


def _declares_body(headers: HTTPHeaders) -> bool:
    if 'Transfer-Encoding' in headers:
        return True
    return headers.get('Content-Length', '0') != '0'


async def _read_responses(
    connection: HTTP1Connection, delegate: _ResponseDelegate
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


def _retrieve_exception(future: asyncio.Future[ResponseHead]) -> None:
    if not future.cancelled():
        future.exception()
