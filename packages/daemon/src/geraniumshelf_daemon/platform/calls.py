"""HTTP calls of a platform, and what their failures mean."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.httputil import HTTPInputError
from tornado.iostream import IOStream
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
from geraniumshelf_daemon.observability.traffic import Traffic

REQUEST_TIMEOUT_S: Final = 2.0

_OK: Final = 200
_SERVER_ERROR: Final = 500


# A call whose caller goes away ends on its own, a watch after its wait; it must
# not keep others waiting meanwhile.
_MOST_CALLS: Final = 100


class PlatformCalls:
    """Makes calls and turns failures into ``PlatformError``.

    ``PLATFORM_UNREACHABLE`` stands for a refused, lost or timed out call and
    for 5xx, ``PLATFORM_PROTOCOL`` for a status that has no code.
    """

    def __init__(
        self,
        base_url: str,
        codes: Mapping[int, ResultCode],
        *,
        source_address: str | None = None,
    ) -> None:
        """Prepare calls.

        Args:
            base_url: URL without a trailing slash, ``http://10.0.0.9:80``.
            codes: Result code by status.
            source_address: Local IP address to call from.
        """
        self.traffic = Traffic()
        self._base_url = base_url
        self._codes = codes
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=_MOST_CALLS
        )
        if source_address is not None:
            self._client.tcp_client = _BoundTCPClient(source_address)

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
    ) -> HTTPResponse:
        """Make a call and return its response.

        Raises:
            PlatformError: If it failed; ``PLATFORM_UNREACHABLE`` leaves open
                whether a write took effect.
        """
        request = HTTPRequest(
            f'{self._base_url}{path}',
            method,
            headers=headers,
            body=body,
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        count_metric(Metric.PLATFORM_CALLS)
        self.traffic.count_sent(len(path) + len(body or b''))
        fetched = self._client.fetch(request, raise_error=False)
        # Tornado logs the error of a cancelled call as a fault of the program,
        # so a call whose caller goes away ends on its own.
        fetched.add_done_callback(_discard_error)
        try:
            response = await asyncio.shield(fetched)
        except (HTTPClientError, HTTPInputError, OSError) as error:
            count_metric(Metric.PLATFORM_FAILURES)
            raise PlatformError(
                ResultCode.PLATFORM_UNREACHABLE, f'{method} {path}: {error}'
            ) from error
        self.traffic.count_received(len(response.body))
        self._check_status(response, f'{method} {path}')
        return response

    def _check_status(self, response: HTTPResponse, call: str) -> None:
        status = response.code
        if status == _OK:
            return
        code = self._codes.get(status, ResultCode.PLATFORM_PROTOCOL)
        if status >= _SERVER_ERROR:
            code = ResultCode.PLATFORM_UNREACHABLE
        raise PlatformError(code, f'{call}: status {status}')


class _BoundTCPClient(TCPClient):
    """Connects from a fixed local address."""

    def __init__(self, source_address: str) -> None:
        super().__init__()
        self._source_address = source_address

    async def connect(self, *args: Any, **options: Any) -> IOStream:
        options['source_ip'] = self._source_address
        return await super().connect(*args, **options)


def _discard_error(fetched: asyncio.Future[HTTPResponse]) -> None:
    if not fetched.cancelled():
        fetched.exception()
