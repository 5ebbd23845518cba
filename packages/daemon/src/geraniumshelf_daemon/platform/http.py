"""The platform over HTTP."""

import asyncio
from typing import Any, Final
from urllib.parse import quote, urlencode

import cbor2
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
from geraniumshelf_daemon.platform.interface import (
    ListedInstance,
    Snapshot,
    StoredObject,
)

REQUEST_TIMEOUT_S: Final = 2.0

_CODES: Final = {
    404: ResultCode.OBJECT_MISSING,
    410: ResultCode.WATCH_TOO_OLD,
    412: ResultCode.VERSION_CONFLICT,
    413: ResultCode.OBJECT_TOO_LARGE,
}
_OK: Final = 200
_SERVER_ERROR: Final = 500


class HttpPlatform:
    """Implements ``Platform`` over the platform's HTTP API.

    Each call raises ``PlatformError``: ``PLATFORM_UNREACHABLE`` for a refused,
    lost or timed out call and for 5xx, ``PLATFORM_PROTOCOL`` for a response
    that is not understood, otherwise the code that the interface names.
    """

    def __init__(
        self, base_url: str, *, source_address: str | None = None
    ) -> None:
        """Prepare calls.

        Args:
            base_url: URL without a trailing slash, ``http://10.0.0.9:80``.
            source_address: Local IP address to call from.
        """
        self.traffic = Traffic()
        self._base_url = base_url
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True
        )
        if source_address is not None:
            self._client.tcp_client = _BoundTCPClient(source_address)

    async def get(self, name: str) -> StoredObject:
        """Return an object."""
        response = await self._call('GET', _object_path(name))
        return StoredObject(name, _version(response), response.body)

    async def list_objects(self, prefix: str) -> Snapshot:
        """Return all objects whose name starts with the prefix."""
        query = urlencode({'prefix': prefix})
        return _snapshot(await self._call('GET', f'/v1/objects?{query}'))

    async def put(
        self, name: str, content: bytes, expected_version: int | None
    ) -> int:
        """Store an object and return its version."""
        response = await self._call(
            'PUT',
            _object_path(name),
            body=content,
            headers=_condition(expected_version),
        )
        return _version(response)

    async def delete(self, name: str, expected_version: int | None) -> None:
        """Delete an object."""
        await self._call(
            'DELETE', _object_path(name), headers=_condition(expected_version)
        )

    async def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Snapshot:
        """Wait for changes after a version."""
        query = urlencode(
            {'prefix': prefix, 'after': after_version, 'wait_s': wait_s}
        )
        response = await self._call(
            'GET',
            f'/v1/watch?{query}',
            timeout_s=wait_s + REQUEST_TIMEOUT_S,
        )
        return _snapshot(response)

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Return the lagging list of live and leaving instances."""
        response = await self._call('GET', '/v1/instances')
        try:
            return tuple(
                ListedInstance(*row) for row in cbor2.loads(response.body)
            )
        except Exception as error:
            raise _not_understood(response) from error

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float = REQUEST_TIMEOUT_S,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HTTPResponse:
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
        _check_status(response, f'{method} {path}')
        return response


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


def _check_status(response: HTTPResponse, call: str) -> None:
    status = response.code
    if status == _OK:
        return
    code = _CODES.get(status, ResultCode.PLATFORM_PROTOCOL)
    if status >= _SERVER_ERROR:
        code = ResultCode.PLATFORM_UNREACHABLE
    raise PlatformError(code, f'{call}: status {status}')


def _object_path(name: str) -> str:
    return f'/v1/objects/{quote(name)}'


def _condition(expected_version: int | None) -> dict[str, str]:
    if expected_version is None:
        return {}
    if expected_version == 0:
        return {'If-None-Match': '*'}
    return {'If-Match': str(expected_version)}


def _version(response: HTTPResponse) -> int:
    try:
        return int(response.headers['Object-Version'])
    except (KeyError, ValueError) as error:
        raise _not_understood(response) from error


def _snapshot(response: HTTPResponse) -> Snapshot:
    try:
        version, rows = cbor2.loads(response.body)
        objects = tuple(StoredObject(*row) for row in rows)
    except Exception as error:
        raise _not_understood(response) from error
    return Snapshot(version, objects)


def _not_understood(response: HTTPResponse) -> PlatformError:
    return PlatformError(
        ResultCode.PLATFORM_PROTOCOL,
        f'response of {len(response.body)} bytes is not understood',
    )
