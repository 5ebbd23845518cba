"""A stand-in for a backend server of the platform, in this process."""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import define, field

_HEAD_END = b'\r\n\r\n'
_NO_ROOM = 503


@define
class ReceivedRequest:
    """A request as the server got it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@define(eq=False)
class ServerStandin:
    """Answers requests with a signature, slots and a chosen behaviour.

    Attributes:
        name: Its identifier.
        slots: Requests that it runs at once; further ones are shed.
        work_s: Time that a request takes.
        make_response: Makes the raw answer to a request; ``None`` for the
            usual one, empty bytes to close the connection without an answer.
        received: Requests that it ran.
        shed_count: Number of requests that it did not run.
        is_leaving: Whether its answers say that it leaves.
        retry_after: ``Retry-After`` of its rejections, empty for none.
        is_full: Whether it rejects all requests.
        aborted_count: Number of requests whose connection was closed first.
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
    aborted_count: int = 0
    address: str = ''
    _running: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(factory=set)

    async def listen(self, port: int = 0) -> str:
        """Listen on loopback and return the address."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        found = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{found}'
        return self.address

    def make_entry(
        self, service: str, zone: str, **fields: Any
    ) -> dict[str, Any]:
        """Return its entry in the store."""
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
        """Stop listening and cut all connections."""
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
                answer = await self._run(request, reader)
                writer.write(answer)
                await writer.drain()
                if not answer:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(
        self, request: ReceivedRequest, reader: asyncio.StreamReader
    ) -> bytes:
        expected = request.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            return self._make(421, request, b'', ran=False)
        if self.is_full or self._running >= self.slots:
            self.shed_count += 1
            return self._make(_NO_ROOM, request, b'', ran=False)
        self.received.append(request)
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
            if reader.at_eof():
                self.aborted_count += 1
        finally:
            self._running -= 1
        made = (
            self.make_response(request)
            if self.make_response is not None
            else None
        )
        if made is not None:
            return made
        return self._make(200, request, request.target.encode(), ran=True)

    def _make(
        self, status: int, request: ReceivedRequest, body: bytes, *, ran: bool
    ) -> bytes:
        mark = 'X-Response-Signature: s' if ran else 'X-Not-Executed: 1'
        if self.is_leaving:
            mark += '\r\nServer-Leaving: 1'
        if self.retry_after and status == _NO_ROOM:
            mark += f'\r\nRetry-After: {self.retry_after}'
        return (
            f'HTTP/1.1 {status} x\r\n'
            f'X-Request-Id: {request.headers.get("x-request-id", "")}\r\n'
            f'X-Instance-Id: {self.name}\r\n'
            f'X-Server-Load: {self._running},0,{self.slots}\r\n'
            f'{mark}\r\nContent-Length: {len(body)}\r\n\r\n'
        ).encode() + body


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(_HEAD_END)).decode('latin1')
    first, *lines = head.strip().split('\r\n')
    method, target, _ = first.split(' ')
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
