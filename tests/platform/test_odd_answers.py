"""Tests of responses with an invalid status, and of early ones to uploads."""

import asyncio
import socket
import struct

import pytest
from attrs import define
from tests.platform.faulty_servers import SIGNED
from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ReceivedRequest, ServerStandin

_RESET = struct.pack('ii', 1, 0)
_PIECE = b'u' * 4096
_UPLOAD_BYTES = (10_000, 300_000, 20_000_000)
# Below and above the size up to which a response is buffered whole.
_ANSWER_BYTES = (1_000, 400_000)
_DEADLINE_MS = '5000'


def _head(status: str, request_id: str, extra: str = '') -> bytes:
    identity = f'X-Request-Id: {request_id}\r\n{SIGNED}'
    return f'HTTP/1.1 {status}\r\n{identity}{extra}\r\n'.encode()


def _large_bodies() -> dict[str, object]:
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 67_108_864,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    }
    return make_configuration(limits=limits)


@pytest.mark.parametrize(
    'status', ['000 x', '099 x', '101 x', '600 x', '999 x', '1000 x', 'abc x']
)
@pytest.mark.parametrize('extra', ['', 'Content-Length: 2\r\n'])
@pytest.mark.parametrize('is_followed', [False, True])
def test_invalid_status_is_no_response(
    status: str, extra: str, is_followed: bool
) -> None:
    """Guard against a failing server's odd status that reaches the caller.

    The caller would take it for a response, or wait until its deadline.
    """

    async def scenario() -> None:
        server = ServerStandin('i-1')

        def respond(request: ReceivedRequest) -> bytes | None:
            request_id = request.headers['x-request-id']
            odd = _head(status, request_id, extra) + b'no'
            proper = _head('200 x', request_id, 'Content-Length: 2\r\n') + b'ok'
            return odd + proper if is_followed else odd

        server.make_response = respond
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            response = await caller.fetch(
                '/sale/1', method='POST', X_Deadline_Ms='1500'
            )
            # 504 would mean that the request waited until its deadline.
            assert response.status == 502
            assert len(server.received) == 1

    run_scenario(scenario)


def test_interim_responses_precede_the_response() -> None:
    """Guard against a response that is lost behind valid interim ones."""

    async def scenario() -> None:
        server = ServerStandin('i-1')

        def respond(request: ReceivedRequest) -> bytes | None:
            request_id = request.headers['x-request-id']
            interim = b'HTTP/1.1 100 x\r\n\r\nHTTP/1.1 199 x\r\n\r\n'
            proper = _head('200 x', request_id, 'Content-Length: 2\r\n') + b'ok'
            return interim + proper

        server.make_response = respond
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            response = await caller.fetch('/sale/1', method='POST')
            assert (response.status, response.body) == (200, b'ok')

    run_scenario(scenario)


@define(eq=False)
class _EarlyServer(ServerStandin):
    """Sends the start of a response without a length and breaks off.

    Attributes:
        read_bytes: Bytes of the upload that it reads first.
        answer_bytes: Bytes of the body that it sends.
        breaks_after_s: Time from the response to the reset, seconds.
    """

    read_bytes: int = 0
    answer_bytes: int = 0
    breaks_after_s: float = 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        fields = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:-2]
        )
        unread = self.read_bytes
        while unread and (chunk := await reader.read(min(unread, 65536))):
            unread -= len(chunk)
        request_id = fields['X-Request-Id']
        writer.write(_head('200 x', request_id) + b'x' * self.answer_bytes)
        try:
            await writer.drain()
            await asyncio.sleep(self.breaks_after_s)
        except ConnectionError:
            return
        sock = writer.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        writer.transport.abort()


async def _upload(harness: EdgeHarness, size: int, *, pauses: bool) -> bytes:
    """Send an upload; return what the caller gets until the end."""
    caller = await harness.connect()
    caller.send(
        '/photo/1',
        method='POST',
        Content_Length=str(size),
        X_Deadline_Ms=_DEADLINE_MS,
    )

    async def send() -> None:
        for sent in range(0, size, len(_PIECE)):
            caller.writer.write(_PIECE[: size - sent])
            await caller.writer.drain()
            if pauses and sent == len(_PIECE):
                await asyncio.sleep(0.3)

    sending = asyncio.ensure_future(send())
    received = b''
    try:
        async with asyncio.timeout(10):
            while chunk := await caller.reader.read(65536):
                received += chunk
                if received.startswith(b'HTTP/1.1 5'):
                    break
    except ConnectionError:
        received += b'(reset)'
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
    return received


def _looks_complete(received: bytes) -> bool:
    """Return whether a caller takes what it received for a whole success."""
    head, _, body = received.partition(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 2') or received.endswith(b'(reset)'):
        return False
    if b'chunked' in head.lower():
        return body.endswith(b'0\r\n\r\n')
    length = [
        line
        for line in head.split(b'\r\n')
        if b'content-length' in line.lower()
    ]
    # Without a length, the end of the connection ends the body.
    return not length or len(body) >= int(length[0].split(b':')[1])


@pytest.mark.parametrize('upload_bytes', _UPLOAD_BYTES)
@pytest.mark.parametrize('answer_bytes', _ANSWER_BYTES)
@pytest.mark.parametrize('moment', ['at once', 'midway', 'at the end'])
@pytest.mark.parametrize('breaks_after_s', [0, 0.1])
@pytest.mark.parametrize('pauses', [False, True])
def test_part_of_an_early_response_never_looks_complete(
    upload_bytes: int,
    answer_bytes: int,
    moment: str,
    breaks_after_s: float,
    pauses: bool,
) -> None:
    """Guard against half of a receipt that the caller takes for the whole.

    The server responds while the upload is still being written, without a
    length, and resets the connection.
    """

    async def scenario() -> None:
        server = _EarlyServer('i-1')
        server.read_bytes = {
            'at once': 0,
            'midway': upload_bytes // 2,
            'at the end': upload_bytes,
        }[moment]
        server.answer_bytes = answer_bytes
        server.breaks_after_s = breaks_after_s
        async with running_harness({'i-1': server}, _large_bodies()) as harness:
            received = await _upload(harness, upload_bytes, pauses=pauses)
            assert not _looks_complete(received), received[:200]

    run_scenario(scenario)
