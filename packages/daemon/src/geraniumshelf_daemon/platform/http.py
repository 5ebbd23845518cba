"""Access to the platform over its HTTP API."""

from typing import Final
from urllib.parse import quote, urlencode

import cbor2
from tornado.httpclient import HTTPResponse

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_daemon.observability.traffic import TrafficCounters
from geraniumshelf_daemon.platform.client import (
    REQUEST_TIMEOUT_S,
    PlatformClient,
)
from geraniumshelf_daemon.platform.interface import (
    ListedInstance,
    Snapshot,
    StoredObject,
)

_CODES: Final = {
    404: ResultCode.OBJECT_MISSING,
    410: ResultCode.WATCH_TOO_OLD,
    412: ResultCode.VERSION_CONFLICT,
    413: ResultCode.OBJECT_TOO_LARGE,
}

# The claims of 4,700 daemons take 1 MB; 256 MB are for the whole daemon.
_MAX_BODY_BYTES: Final = 16_777_216


class HttpPlatform:
    """Implements ``Platform`` over the platform's HTTP API.

    Each call may raise ``PlatformError``: with ``PLATFORM_UNREACHABLE`` if it
    was refused, lost or timed out and for a 5xx status, with
    ``PLATFORM_PROTOCOL`` for a response that cannot be decoded, and otherwise
    with the code that ``Platform`` documents.
    """

    def __init__(
        self, base_url: str, *, source_address: str | None = None
    ) -> None:
        """Create a client without connections.

        Args:
            base_url: URL without a trailing slash, such as
                ``http://10.0.0.9:80``.
            source_address: Local IP address of outgoing connections.
        """
        self._client = PlatformClient(
            base_url, _CODES, _MAX_BODY_BYTES, source_address=source_address
        )

    @property
    def traffic(self) -> TrafficCounters:
        """Return the messages and bytes of all calls."""
        return self._client.traffic

    async def get(self, name: str) -> StoredObject:
        """Return an object."""
        response = await self._client.call('GET', _object_path(name))
        return StoredObject(name, _version(response), response.body)

    async def list_objects(self, prefix: str) -> Snapshot:
        """Return all objects whose name starts with the prefix."""
        query = urlencode({'prefix': prefix})
        return _snapshot(await self._client.call('GET', f'/v1/objects?{query}'))

    async def put(
        self, name: str, content: bytes, expected_version: int | None
    ) -> int:
        """Store an object and return its version."""
        response = await self._client.call(
            'PUT',
            _object_path(name),
            body=content,
            headers=_condition(expected_version),
        )
        return _version(response)

    async def delete(self, name: str, expected_version: int | None) -> None:
        """Delete an object."""
        await self._client.call(
            'DELETE', _object_path(name), headers=_condition(expected_version)
        )

    async def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Snapshot:
        """Wait for changes after a version and return them."""
        query = urlencode(
            {'prefix': prefix, 'after': after_version, 'wait_s': wait_s}
        )
        response = await self._client.call(
            'GET',
            f'/v1/watch?{query}',
            timeout_s=wait_s + REQUEST_TIMEOUT_S,
        )
        return _snapshot(response)

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Return the live and leaving instances; the list lags behind."""
        response = await self._client.call('GET', '/v1/instances')
        try:
            return tuple(
                ListedInstance(*row) for row in cbor2.loads(response.body)
            )
        except Exception as error:
            raise _undecodable(response) from error

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


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
        raise _undecodable(response) from error


def _snapshot(response: HTTPResponse) -> Snapshot:
    try:
        version, rows = cbor2.loads(response.body)
        objects = tuple(StoredObject(*row) for row in rows)
    except Exception as error:
        raise _undecodable(response) from error
    return Snapshot(version, objects)


def _undecodable(response: HTTPResponse) -> PlatformError:
    return PlatformError(
        ResultCode.PLATFORM_PROTOCOL,
        f'response of {len(response.body)} bytes cannot be decoded',
    )
