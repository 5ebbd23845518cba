"""Receives the response to one request from tornado's reader."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from geraniumshelf_daemon.upstream.channel import ByteChannel
from geraniumshelf_daemon.upstream.response_owner import ResponseOwner

_MIN_STATUS: Final = 100
_MIN_FINAL_STATUS: Final = 200
_MAX_STATUS: Final = 599
# A request never offers to change the protocol, so this is no valid response.
_SWITCHING_PROTOCOLS: Final = 101
_BODILESS_STATUSES: Final = frozenset((204, 304))
# Limit of the interim responses and responses to other requests that are read
# before the response to this request. A healthy server sends a few at most; a
# faulty one may send them without end.
_MAX_SKIPPED_RESPONSES: Final = 16
# Limit of the total body size of responses to other requests.
_MAX_SKIPPED_BYTES: Final = 1048576

# Status code, reason phrase and headers.
ResponseHead = tuple[int, str, HTTPHeaders]


class ResponseDelegate(HTTPMessageDelegate):
    """Accepts one response and skips those to other requests.

    Attributes:
        body: Chunks of the response body.
        is_keep_alive: Whether the server keeps the connection open.
        head: Status, reason and headers of the response.
    """

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
        """Accept the head of a response, or skip the response."""
        assert isinstance(start_line, ResponseStartLine)
        if self.head.done():
            return
        if not _is_valid_status(start_line.code):
            self._fail(f'the response has the invalid status {start_line.code}')
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
        """Pass on a chunk; the next one is read once it is consumed."""
        if not self._is_skipping:
            return self.body.put(chunk)
        self._skipped_bytes += len(chunk)
        if self._skipped_bytes > _MAX_SKIPPED_BYTES:
            self._fail(f'skipped responses exceed {_MAX_SKIPPED_BYTES} bytes')
        return None

    def finish(self) -> None:
        """End the response."""
        if self._is_skipping:
            return
        # A reset truncates a body that is delimited by the connection's close.
        if self._is_close_delimited and self._stream.error is not None:
            self.on_connection_close()
        else:
            self.body.finish()

    def on_connection_close(self) -> None:
        """Fail the response, which is not complete."""
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


def _is_valid_status(code: int) -> bool:
    return _MIN_STATUS <= code <= _MAX_STATUS and code != _SWITCHING_PROTOCOLS


def _retrieve_exception(future: asyncio.Future[ResponseHead]) -> None:
    if not future.cancelled():
        future.exception()
