"""Load of backend servers over connections that are kept open."""

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

from geraniumshelf_daemon.steering.interface import ServerAnswer

_PATH: Final = '/-/load'
_OK: Final = 200

# Below the period of one second, so that polls do not pile up.
_TIMEOUT_S: Final = 0.8
_SIZE_LIMIT: Final = 8192
_PARAMETERS: Final = HTTP1ConnectionParameters(
    max_header_size=_SIZE_LIMIT, max_body_size=_SIZE_LIMIT
)


class LoadFetcher:
    """Asks backend servers for their load."""

    def __init__(self) -> None:
        """Start without connections."""
        self._client = TCPClient()
        self._idle: dict[str, IOStream] = {}

    async def fetch(self, address: str) -> ServerAnswer | None:
        """Return the load, ``None`` if there is no valid answer in time."""
        try:
            body = await asyncio.wait_for(self._ask(address), _TIMEOUT_S)
        except (OSError, TimeoutError, StreamClosedError):
            return None
        return parse_load(body)

    def keep_only(self, addresses: frozenset[str]) -> None:
        """Close idle connections to other addresses."""
        for address in self._idle.keys() - addresses:
            self._idle.pop(address).close()

    async def _ask(self, address: str) -> bytes:
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
        response = _Response()
        try:
            await connection.write_headers(
                RequestStartLine('GET', _PATH, 'HTTP/1.1'),
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


class _Response(HTTPMessageDelegate):
    def __init__(self) -> None:
        self._status = 0
        self._parts: list[bytes] = []
        self._is_finished = False

    async def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self._status = start_line.code

    async def data_received(self, chunk: bytes) -> None:
        self._parts.append(chunk)

    def finish(self) -> None:
        self._is_finished = True

    def body(self) -> bytes:
        """Return the body of a complete and successful response."""
        if self._is_finished and self._status == _OK:
            return b''.join(self._parts)
        return b''


def parse_load(body: bytes) -> ServerAnswer | None:
    """Return the load of a JSON document, ``None`` if it is not one."""
    try:
        document = json.loads(body)
    except ValueError:
        return None
    if not isinstance(document, dict):
        return None
    in_flight = document.get('in_flight')
    slots = document.get('slots')
    leaving = document.get('leaving', False)
    if type(in_flight) is not int or type(slots) is not int:
        return None
    if min(in_flight, slots) < 0 or type(leaving) is not bool:
        return None
    return ServerAnswer(in_flight, slots, leaving)
