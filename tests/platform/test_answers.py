"""Guards callers against answers that are late, crossed, cut or endless."""

import asyncio
from collections.abc import Callable

import pytest
from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ReceivedRequest, ServerStandin

_SIGNED = 'X-Response-Signature: s\r\n'
# Longer than an answer that is held whole before it is passed on.
_LONG = 400_000


def _answer(request_id: str, body: bytes, extra: str = '') -> bytes:
    named = f'X-Request-Id: {request_id}\r\n' if request_id else ''
    head = f'HTTP/1.1 200 x\r\n{named}{_SIGNED}{extra}'
    return f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body


class _Cutting(ServerStandin):
    """Answers with the first bytes of an answer and closes."""

    whole: bytes = b''
    length: int = 0
    is_reset: bool = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.whole[: self.length])
        await writer.drain()
        if self.is_reset:
            # The daemon has taken what was sent so far.
            await asyncio.sleep(0.2)
            writer.transport.abort()
        writer.close()


class _Flood(ServerStandin):
    """Sends a start and then the same bytes until the daemon closes."""

    start: bytes = b''
    bytes_on: bytes = b''
    pause_s: float = 0
    sent: int = 0
    is_cut: bool = False

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            self.received.append(ReceivedRequest('GET', '/', {}, head))
            writer.write(self.start)
            while True:
                writer.write(self.bytes_on)
                self.sent += len(self.bytes_on)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.is_cut = True
        finally:
            writer.close()


async def _ask(harness: EdgeHarness, target: str) -> int:
    caller = await harness.connect()
    return (await caller.fetch(target, method='POST')).status


@pytest.mark.parametrize(
    'copy',
    [
        _answer('', b'stray'),
        _answer('id-/sale/1', b'stray', 'X-Request-Id: id-/sale/2\r\n'),
        _answer('id-/sale/1', b'stray')[:40],
        _answer('id-/sale/1', b'stray')[:40] + _answer('id-/sale/2', b'own'),
        b'HTTP/1.1 200 x\r\n' + _answer('', b'stray'),
    ],
    ids=['no id', 'two ids', 'cut head', 'inside a head', 'two status lines'],
)
def test_second_copy_never_reaches_the_next_caller(copy: bytes) -> None:
    """A late copy on a connection in use again looks like the next answer."""

    async def scenario() -> None:
        server = ServerStandin('i-1')

        def make_response(request: ReceivedRequest) -> bytes | None:
            if request.target == '/sale/2':
                return copy
            return None

        server.make_response = make_response
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            first = await caller.fetch('/sale/1', method='POST')
            assert first.body == b'/sale/1'
            second = await caller.fetch(
                '/sale/2', method='POST', X_Deadline_Ms='900'
            )
            assert second.status in {502, 504}
            assert b'stray' not in second.body
            assert (await _ask(harness, '/sale/3')) == 200

    run_scenario(scenario)


_INTERIM = b'HTTP/1.1 102 x\r\n\r\n'
_STRAY = _answer('other', b'stray')
_OWN_HEAD = f'HTTP/1.1 200 x\r\nX-Request-Id: id-/sale/1\r\n{_SIGNED}'.encode()
_CHUNKED = _OWN_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('start', 'bytes_on', 'pause_s'),
    [
        (b'HTTP/1.1 200 x\r\nX-Long: ', b'x' * 4096, 0),
        (b'HTTP/1.1 200 x\r\nX-Long: ', b'x', 0.01),
        (b'HTTP/1.1 200 x\r\n', b'X-More: y\r\n' * 100, 0),
        (b'', _INTERIM, 0),
        (b'', _STRAY, 0),
        (_answer('other', b'')[:-5] + b'9' * 15 + b'\r\n\r\n', b'x' * 4096, 0),
        (b'', b'\x00' * 4096, 0),
        (_CHUNKED + b'5;', b'x' * 100, 0),
        (_CHUNKED, b'1\r\nx\r\n', 0.01),
        (_CHUNKED + b'0\r\n', b'X-Trailer: y\r\n' * 10, 0),
    ],
    ids=[
        'header line',
        'header line, a byte at a time',
        'headers',
        'interim answers',
        'answers to others',
        'body of an answer to another',
        'no HTTP',
        'chunk extension',
        'chunks, slowly',
        'trailers',
    ],
)
def test_bytes_without_end_cost_bounded_time_and_memory(
    start: bytes, bytes_on: bytes, pause_s: float
) -> None:
    """A faulty server sends until the daemon closes; its caller waits."""

    async def scenario() -> None:
        server = _Flood('i-1')
        server.start, server.bytes_on = start, bytes_on
        server.pause_s = pause_s
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            loop = asyncio.get_running_loop()
            begun = loop.time()
            answer = await caller.fetch(
                '/sale/1', method='POST', X_Deadline_Ms='1000'
            )
            assert answer.status in {502, 504}
            assert loop.time() - begun < 3

            async def is_cut() -> bool:
                return server.is_cut

            await harness.wait_until(is_cut)
            assert server.sent < 16_000_000
            assert len(server.received) == 1

    run_scenario(scenario)


def test_body_without_end_is_cut_after_the_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its caller would read for ever, and the server's slot stays taken."""
    monkeypatch.setattr('geraniumshelf_daemon.edge.relay._DELIVERY_NS', 10**8)

    async def scenario() -> None:
        server = _Flood('i-1')
        server.start, server.bytes_on = (
            _CHUNKED,
            b'1000\r\n%s\r\n' % (b'x' * 4096),
        )
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            caller.send('/sale/1', method='POST', X_Deadline_Ms='500')
            async with asyncio.timeout(10):
                body = await _read_to_end(caller.reader)
            assert not body.endswith(b'0\r\n\r\n')
            assert server.is_cut

    run_scenario(scenario)


async def _read_to_end(reader: asyncio.StreamReader) -> bytes:
    body = b''
    try:
        while chunk := await reader.read(65536):
            body = (body + chunk)[-65536:]
    except ConnectionError:
        return body
    return body


def _with_length(body: bytes) -> bytes:
    return _OWN_HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body


def _in_chunks(body: bytes) -> bytes:
    half = len(body) // 2
    parts = (body[:half], body[half:])
    return (
        _CHUNKED
        + b''.join(b'%x\r\n%s\r\n' % (len(one), one) for one in parts)
        + b'0\r\n\r\n'
    )


@pytest.mark.parametrize('frame', [_with_length, _in_chunks])
def test_answer_cut_at_any_byte_never_looks_complete(
    frame: Callable[[bytes], bytes],
) -> None:
    """Half a receipt that looks whole is taken for the receipt."""

    async def scenario() -> None:
        server = _Cutting('i-1')
        server.whole = whole = frame(b'0123456789')
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            for length in range(len(whole) + 1):
                server.length = length
                # Without this the faulty server would soon be passed over.
                harness.daemon._state.placement.servers['i-1'].ejected_until = 0
                caller = await harness.connect()
                answer = await caller.fetch('/sale/1', method='POST')
                is_whole = length == len(whole)
                assert (answer.status == 200) is is_whole, whole[:length]
                caller.close()

    run_scenario(scenario)


@pytest.mark.parametrize('frame', [_with_length, _in_chunks])
@pytest.mark.parametrize('is_reset', [False, True])
def test_long_answer_that_breaks_off_cuts_the_caller(
    frame: Callable[[bytes], bytes], is_reset: bool
) -> None:
    """An answer too long to hold has begun when its server breaks off."""

    async def scenario() -> None:
        server = _Cutting('i-1')
        server.whole = frame(b'x' * _LONG)
        server.length = len(server.whole) - 3
        server.is_reset = is_reset
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            caller.send('/sale/1', method='POST')
            head = await caller.reader.readuntil(b'\r\n\r\n')
            rest = await _read_to_end(caller.reader)
            if b'chunked' in head.lower():
                assert not rest.endswith(b'0\r\n\r\n')
            else:
                assert f'Content-Length: {_LONG}'.encode() in head
                assert len(rest) < _LONG

    run_scenario(scenario)
