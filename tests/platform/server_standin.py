"""In-process stand-in of a backend server of the platform."""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import define, field

_HEAD_END = b'\r\n\r\n'
_SERVICE_UNAVAILABLE = 503
_HEALTH_PATH = '/health'


@define
class ReceivedRequest:
    """A request as the server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@define(eq=False)
class ServerStandin:
    """A backend server with a limit of requests in flight and set faults.

    Attributes:
        name: Its identifier.
        slots: Maximum number of requests in flight; further ones are shed.
        work_s: Time that a request takes, seconds.
        make_response: Returns the raw response to a request, ``None`` for the
            default response, empty bytes to close the connection without one.
        received: Requests that it ran.
        shed_count: Number of requests that it rejected as full.
        is_leaving: Whether its responses announce that it leaves.
        retry_after: ``Retry-After`` of its rejections, empty for none.
        is_full: Whether it rejects all requests and reports that all its
            slots are taken.
        is_rejecting: Whether it rejects all requests without being full.
        rate_limit: ``Server-Limit`` of its responses, empty for none.
        speed: Fourth figure of its ``X-Server-Load``, empty for none.
        cold_ms: Time for which it reports in health checks that it stays cold.
        aborted_count: Number of requests whose connection the daemon closed
            before their response.
        address: IP address and port that it listens on.
    """

    name: str
    slots: int = 4
    work_s: float = 0
    make_response: Callable[[ReceivedRequest], bytes | None] | None = None
    received: list[ReceivedRequest] = field(factory=list)
    shed_count: int = 0
    is_leaving: bool = False
    retry_after: str = ''
    is_full: bool = False
    is_rejecting: bool = False
    rate_limit: str = ''
    speed: str = ''
    cold_ms: int = 0
    aborted_count: int = 0
    address: str = ''
    _in_flight: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def listen(self, port: int = 0) -> str:
        """Listen on a loopback port, 0 for any, and return the address."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{bound_port}'
        return self.address

    def make_entry(
        self, service: str, zone: str, **fields: Any
    ) -> dict[str, Any]:
        """Return the spec of the server's entry in the store."""
        return {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'max_concurrency': self.slots,
            'state': 'ready',
            'cold_left_s': 0,
            'sequence': 1,
            'born': 1,
            **fields,
        }

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                response = await self._handle(request, reader)
                writer.write(response)
                await writer.drain()
                if not response:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: ReceivedRequest, reader: asyncio.StreamReader
    ) -> bytes:
        if request.target == _HEALTH_PATH:
            return self._build_health_response()
        expected = request.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            return self._build_response(421, request, b'', was_run=False)
        is_shed = self.is_full or self._in_flight >= self.slots
        if is_shed or self.is_rejecting:
            self.shed_count += 1
            return self._build_response(
                _SERVICE_UNAVAILABLE, request, b'', was_run=False
            )
        self.received.append(request)
        self._in_flight += 1
        try:
            await asyncio.sleep(self.work_s)
            if reader.at_eof():
                self.aborted_count += 1
        finally:
            self._in_flight -= 1
        custom = (
            self.make_response(request)
            if self.make_response is not None
            else None
        )
        if custom is not None:
            return custom
        return self._build_response(
            200, request, request.target.encode(), was_run=True
        )

    def _build_health_response(self) -> bytes:
        cold = f'X-Cold-Ms: {self.cold_ms}\r\n' if self.cold_ms else ''
        return (
            f'HTTP/1.1 200 x\r\nX-Instance-Id: {self.name}\r\n'
            f'{cold}Content-Length: 0\r\n\r\n'
        ).encode()

    def _build_response(
        self,
        status: int,
        request: ReceivedRequest,
        body: bytes,
        *,
        was_run: bool,
    ) -> bytes:
        speed = f',{self.speed}' if self.speed else ''
        extra = 'X-Response-Signature: s' if was_run else 'X-Not-Executed: 1'
        if self.is_leaving:
            extra += '\r\nServer-Leaving: 1'
        if self.rate_limit:
            extra += f'\r\nServer-Limit: {self.rate_limit}'
        if self.retry_after and status == _SERVICE_UNAVAILABLE:
            extra += f'\r\nRetry-After: {self.retry_after}'
        running = self.slots if self.is_full else self._in_flight
        return (
            f'HTTP/1.1 {status} x\r\n'
            f'X-Request-Id: {request.headers.get("x-request-id", "")}\r\n'
            f'X-Instance-Id: {self.name}\r\n'
            f'X-Server-Load: {running},0,{self.slots}{speed}\r\n'
            f'{extra}\r\nContent-Length: {len(body)}\r\n\r\n'
        ).encode() + body


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(_HEAD_END)).decode('latin1')
    request_line, *lines = head.strip().split('\r\n')
    method, target, _ = request_line.split(' ')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding') == 'chunked':
        while size := int((await reader.readuntil(b'\r\n')).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return ReceivedRequest(method, target, headers, body)
