"""Fetches the load of backend servers over keep-alive connections."""

import asyncio
import json
from contextlib import suppress
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
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from geraniumshelf_daemon.steering.interface import PolledLoad

_LOAD_PATH: Final = '/-/load'
_STATUS_OK: Final = 200

# Less than the poll interval of one second, so that polls don't pile up.
_TIMEOUT_S: Final = 0.8
_MAX_RESPONSE_BYTES: Final = 8192
_PARAMETERS: Final = HTTP1ConnectionParameters(
    max_header_size=_MAX_RESPONSE_BYTES, max_body_size=_MAX_RESPONSE_BYTES
)


class LoadFetcher:
    """Requests the load of backend servers."""

    def __init__(self) -> None:
        """Start without connections."""
        self._client = TCPClient()
        self._idle: dict[str, IOStream] = {}

    async def fetch(self, address: str) -> PolledLoad | None:
        """Return the load of a server, ``None`` without a valid response."""
        try:
            body = await asyncio.wait_for(
                self._request_load(address), _TIMEOUT_S
            )
        except (OSError, TimeoutError, StreamClosedError):
            return None
        return parse_load(body)

    def keep_only(self, addresses: frozenset[str]) -> None:
        """Close idle connections to other addresses."""
        for address in self._idle.keys() - addresses:
            self._idle.pop(address).close()

    async def _request_load(self, address: str) -> bytes:
        idle = self._idle.pop(address, None)
        if idle is not None:
            # The server may have closed the connection since the last poll.
            with suppress(StreamClosedError):
                return await self._exchange(address, idle)
        host, _, port = address.rpartition(':')
        stream = await self._client.connect(host, int(port))
        return await self._exchange(address, stream)

    async def _exchange(self, address: str, stream: IOStream) -> bytes:
        connection = HTTP1Connection(stream, is_client=True, params=_PARAMETERS)
        response = _ResponseDelegate()
        try:
            await connection.write_headers(
                RequestStartLine('GET', _LOAD_PATH, 'HTTP/1.1'),
                HTTPHeaders({'Host': address}),
            )
            connection.finish()
            is_open = await connection.read_response(response)
        except BaseException:
            stream.close()
            raise
        if is_open:
            self._idle[address] = stream
        return response.body()


class _ResponseDelegate(HTTPMessageDelegate):
    def __init__(self) -> None:
        self._status = 0
        self._chunks: list[bytes] = []
        self._is_finished = False

    async def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self._status = start_line.code

    async def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        self._is_finished = True

    def body(self) -> bytes:
        """Return the body of a complete, successful response, else ``b''``."""
        if self._is_finished and self._status == _STATUS_OK:
            return b''.join(self._chunks)
        return b''


def parse_load(body: bytes) -> PolledLoad | None:
    """Return the load in a JSON document, ``None`` if it is malformed."""
    try:
        document = json.loads(body)
    except ValueError:
        return None
    if not isinstance(document, dict):
        return None
    in_flight = document.get('in_flight')
    slots = document.get('slots')
    is_leaving = document.get('leaving', False)
    if type(in_flight) is not int or type(slots) is not int:
        return None
    if min(in_flight, slots) < 0 or type(is_leaving) is not bool:
        return None
    return PolledLoad(in_flight, slots, is_leaving)
