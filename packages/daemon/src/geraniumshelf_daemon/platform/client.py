"""HTTP client of a platform and the result codes of failed calls."""

import asyncio
from collections.abc import Callable, Mapping
from contextvars import ContextVar
from io import BytesIO
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    socket,
)
from sys import maxsize
from typing import Any, Final

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.iostream import IOStream
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    SimpleAsyncHTTPClient,
)
from tornado.tcpclient import TCPClient

from geraniumshelf_core.errors import (
    PlatformError,
    ResultCode,
)
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
from geraniumshelf_daemon.observability.traffic import TrafficCounters
from geraniumshelf_daemon.platform.call import PlatformCall

REQUEST_TIMEOUT_S: Final = 2.0
# Time for the body after the head of a response: a page of 1 MB takes 1.7 s
# over the slowest link of an instance, 5 Mbit/s.
_BODY_TIMEOUT_S: Final = 4.0

# A watch may wait for 25 s on a connection that no longer delivers anything.
# TCP keep-alive closes such a connection after 3 s, before an instance of a
# large fleet counts as being in contact again.
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2

_OK: Final = 200
_SERVER_ERROR: Final = 500
# Concurrent calls; a daemon has about five in flight.
_MAX_CALLS: Final = 100


def do_nothing() -> None:
    """Ignore the start of a response."""


# The call for which a connection is being opened.
_current_call: ContextVar[PlatformCall] = ContextVar('_current_call')


class PlatformClient:
    """Makes HTTP calls and raises ``PlatformError`` if they fail.

    The code is ``PLATFORM_UNREACHABLE`` if the call was refused, lost or timed
    out and for a 5xx status, and ``PLATFORM_PROTOCOL`` for any other status
    that has no result code. The error is a ``PlatformConnectionLost`` if the
    connection was refused or closed, and a ``PlatformResponseTooLong`` if the
    response was.
    """

    def __init__(
        self,
        base_url: str,
        codes: Mapping[int, ResultCode],
        max_body_bytes: int,
        *,
        source_address: str | None = None,
        check_headers: Callable[[HTTPHeaders], None] | None = None,
    ) -> None:
        """Create a client without connections.

        Args:
            base_url: URL without a trailing slash, such as
                ``http://10.0.0.9:80``.
            codes: Result codes by HTTP status.
            max_body_bytes: Longest body of a response that is kept.
            source_address: Local IP address of outgoing connections.
            check_headers: Called with the headers of each response, including
                those of failures; may raise ``PlatformError``.
        """
        self._check_headers = check_headers
        self.traffic = TrafficCounters()
        self._base_url = base_url
        self._codes = codes
        self._max_body_bytes = max_body_bytes
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CALLS,
            # The length that a call counts is the bound.
            max_body_size=maxsize,
        )
        self._client.tcp_client = _TrackedTCPClient(source_address)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float = REQUEST_TIMEOUT_S,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        on_response_start: Callable[[], None] = do_nothing,
    ) -> HTTPResponse:
        """Make a call and return its response.

        Args:
            method: HTTP method.
            path: Path and query.
            timeout_s: Timeout until the head of the response, seconds.
            body: Body of the request.
            headers: Headers of the request.
            on_response_start: Called when the head of the response arrives.

        Raises:
            PlatformError: If the call failed. After ``PLATFORM_UNREACHABLE``
                it is unknown whether a write took effect.
        """
        request = HTTPRequest(
            f'{self._base_url}{path}',
            method,
            headers=headers,
            body=body,
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=timeout_s + _BODY_TIMEOUT_S,
            follow_redirects=False,
        )
        count_metric(Metric.PLATFORM_CALLS)
        self.traffic.count_sent(len(path) + len(body or b''))
        pending = PlatformCall(on_response_start, self._max_body_bytes)
        try:
            response = await self._fetch(request, pending, timeout_s)
        except (HTTPStreamClosedError, ConnectionError) as error:
            count_metric(Metric.PLATFORM_FAILURES)
            raise pending.explain_loss(f'{method} {path}: {error}') from error
        except (HTTPClientError, HTTPInputError, OSError) as error:
            count_metric(Metric.PLATFORM_FAILURES)
            raise PlatformError(
                ResultCode.PLATFORM_UNREACHABLE, f'{method} {path}: {error}'
            ) from error
        if pending.is_too_long:
            raise pending.explain_loss(path)
        response.buffer = BytesIO(pending.body)
        self.traffic.count_received(len(response.body))
        if self._check_headers is not None:
            self._check_headers(response.headers)
        self._check_status(response, f'{method} {path}')
        return response

    async def _fetch(
        self, request: HTTPRequest, call: PlatformCall, timeout_s: float
    ) -> HTTPResponse:
        """Return the response, whose head must arrive within the timeout."""
        request.header_callback = call.record_head
        request.streaming_callback = call.receive
        token = _current_call.set(call)
        try:
            fetched = self._client.fetch(request, raise_error=False)
        finally:
            _current_call.reset(token)
        # Tornado logs a cancelled fetch as an error of the program. The call of
        # a cancelled caller is therefore ended by closing its connection.
        fetched.add_done_callback(_discard_error)
        try:
            await asyncio.wait(
                (fetched, call.response_started),
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not (fetched.done() or call.response_started.done()):
                raise TimeoutError(f'no response head within {timeout_s:.1f} s')
            return await asyncio.shield(fetched)
        finally:
            if not fetched.done():
                call.abandon()

    def _check_status(self, response: HTTPResponse, call: str) -> None:
        status = response.code
        if status == _OK:
            return
        code = self._codes.get(status, ResultCode.PLATFORM_PROTOCOL)
        if status >= _SERVER_ERROR:
            code = ResultCode.PLATFORM_UNREACHABLE
        raise PlatformError(code, f'{call}: HTTP status {status}')


class _TrackedTCPClient(TCPClient):
    """Binds connections to a local address and attaches them to calls."""

    def __init__(self, source_address: str | None) -> None:
        super().__init__()
        self._source_address = source_address

    async def connect(self, *args: Any, **options: Any) -> IOStream:
        if self._source_address is not None:
            options['source_ip'] = self._source_address
        stream = await super().connect(*args, **options)
        _enable_keep_alive(stream.socket)
        call = _current_call.get(None)
        if call is not None:
            call.attach(stream)
        return stream


def _enable_keep_alive(connection: socket) -> None:
    """Let TCP keep-alive close a connection whose peer does not respond."""
    connection.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    connection.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    connection.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connection.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, _KEEPALIVE_PROBES)


def _discard_error(fetched: asyncio.Future[HTTPResponse]) -> None:
    if not fetched.cancelled():
        fetched.exception()
