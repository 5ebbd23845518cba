"""Backend servers that break off or mix up their responses."""

import asyncio

from tests.platform.server_standin import ServerStandin

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
