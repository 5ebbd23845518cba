"""Stand-in of an upstream, as PROTOCOL.md describes it."""

import asyncio
import time

_REASONS = {
    200: 'OK',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
    first, *lines = head[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int((await reader.readuntil(b'\r\n')).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b'\r\n')
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


class Upstream:
    """A sound upstream that runs requests and records them.

    Attributes:
        runs: (request id, time, tenant, method, target, body) of each run.
        answers: Status that it gave, by request id, for requests that it ran.
    """

    def __init__(self, name, service, zone, slots=9, work_s=0.05):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.address = ''
        self.born = int(time.time() * 1000) - 60_000
        self.sequence = 0
        self.state = 'ready'
        self.cold_until = 0.0
        self.runs = []
        self.answers = {}
        self.running = 0
        self.queued = 0
        self._free = asyncio.Semaphore(slots)
        self._server = None
        self._writers = set()

    async def listen(self, host, port=0):
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f'{host}:{self._server.sockets[0].getsockname()[1]}'

    def entry(self):
        """Return the next entry for the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'max_concurrency': self.slots,
            'state': self.state,
            'cold_left_s': round(max(0.0, self.cold_until - time.monotonic()), 3),
            'sequence': self.sequence,
            'born': self.born,
        }

    def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    def choose_status(self, target):
        """Return the status of a run."""
        return 200

    def late_bytes(self, target, last_status):
        """Return bytes that follow the last response of a connection late.

        Args:
            target: Target of the request that has just arrived.
            last_status: Status of the last response, None if there was none.
        """
        return b''

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            last_status = None
            while True:
                first, headers, body = await read_message(reader)
                writer.write(self.late_bytes(first.split(' ')[1], last_status))
                answer = await self._answer(first, headers, body)
                last_status = int(answer.split(b' ', 2)[1])
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first, headers, body):
        method, target, _ = first.split(' ')
        if target == '/health':
            cold_ms = max(0, round((self.cold_until - time.monotonic()) * 1000))
            cold = f'X-Cold-Ms: {cold_ms}\r\n' if cold_ms else ''
            status = 200 if self.state == 'ready' else 503
            return (
                f'HTTP/1.1 {status} {_REASONS[status]}\r\n'
                f'X-Instance-Id: {self.name}\r\n{cold}{self._load()}'
                'Content-Length: 0\r\n\r\n'
            ).encode()
        request_id = headers.get('x-request-id', '')
        if headers.get('x-expect-instance', self.name) != self.name:
            return self._build(421, request_id, b'', 'X-Not-Executed: 1\r\n')
        self.runs.append(
            (
                request_id, time.monotonic(), headers.get('x-tenant', ''),
                method, target, body,
            )
        )
        self.queued += 1
        async with self._free:
            self.queued -= 1
            self.running += 1
            await asyncio.sleep(self.work_s)
            self.running -= 1
        status = self.choose_status(target)
        self.answers[request_id] = status
        signature = f'X-Response-Signature: {self.name}.{request_id}.{status}\r\n'
        content = f'{status} {self.name} {request_id}'.encode()
        return self._build(status, request_id, content, signature)

    def _load(self):
        return f'X-Server-Load: {self.running},{self.queued},{self.slots}\r\n'

    def _build(self, status, request_id, content, extra):
        return (
            f'HTTP/1.1 {status} {_REASONS[status]}\r\n'
            f'X-Request-Id: {request_id}\r\n{extra}{self._load()}'
            f'Content-Length: {len(content)}\r\n\r\n'
        ).encode() + content
