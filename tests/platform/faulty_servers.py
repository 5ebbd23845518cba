"""Backend servers that break off or mix up their responses."""

import asyncio

from attrs import define, field
from tests.platform.server_standin import ReceivedRequest, ServerStandin

SIGNED = 'X-Response-Signature: s\r\n'


def build_response(request_id: str, body: bytes, extra: str = '') -> bytes:
    """Return a signed response with a length."""
    id_header = f'X-Request-Id: {request_id}\r\n' if request_id else ''
    head = f'HTTP/1.1 200 x\r\n{id_header}{SIGNED}{extra}'
    return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body


class TruncatingServer(ServerStandin):
    """Sends the first bytes of a response and closes the connection."""

    full_response: bytes = b''
    sent_bytes: int = 0
    is_reset: bool = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.full_response[: self.sent_bytes])
        await writer.drain()
        if self.is_reset:
            # By then, the daemon has read what was sent so far.
            await asyncio.sleep(0.2)
            writer.transport.abort()
        writer.close()


@define
class ReceivedBody:
    """A chunked body as far as a server has received it.

    Attributes:
        size: Number of bytes.
        has_end: Whether its last chunk has come.
        is_over: Whether nothing more can come.
    """

    size: int = 0
    has_end: bool = False
    is_over: bool = False


@define(eq=False)
class EarlyServer(ServerStandin):
    """Answers an upload after its first bytes, keeps the connection, reads on.

    Attributes:
        status: Status of its early answers.
        early_bytes: Size of the part of a body after which it answers.
        bodies: The bodies that it has received.
    """

    status: int = 200
    early_bytes: int = 1
    bodies: list[ReceivedBody] = field(factory=list)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        body = ReceivedBody()
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            self.bodies.append(body)
            await self._read_until(self.early_bytes, body, reader)
            response = build_response(_find_id(head).decode(), b'early')
            writer.write(response.replace(b' 200 ', b' %d ' % self.status))
            # It reads on a while later.
            await asyncio.sleep(0.2)
            await self._read_until(None, body, reader)
            # The connection stays open, as after any other answer.
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            body.is_over = True
            writer.close()

    async def _read_until(
        self, size: int | None, body: ReceivedBody, reader: asyncio.StreamReader
    ) -> None:
        while size is None or body.size < size:
            length = int((await reader.readuntil(b'\r\n')).strip(), 16)
            await reader.readexactly(length + 2)
            body.size += length
            if not length:
                body.has_end = True
                return


@define(eq=False)
class EndlessServer(ServerStandin):
    """Sends a start, then the same bytes until the connection is closed.

    Attributes:
        start: First bytes; ``{id}`` stands for the id of the request.
        repeated: Bytes that follow without end.
        pause_s: Time between two of these, seconds.
        sent_bytes: Number of bytes sent without end.
        is_cut: Whether a connection was closed meanwhile.
    """

    start: bytes = b''
    repeated: bytes = b''
    pause_s: float = 0
    sent_bytes: int = 0
    is_cut: bool = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            self.received.append(ReceivedRequest('GET', '/', {}, head))
            writer.write(self.start.replace(b'{id}', _find_id(head)))
            while True:
                writer.write(self.repeated)
                self.sent_bytes += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.is_cut = True
        finally:
            writer.close()


def _find_id(head: bytes) -> bytes:
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name.lower() == b'x-request-id':
            return text
    return b''
