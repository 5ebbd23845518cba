"""Tests of responses that are late, mixed up, truncated or endless."""

import asyncio
from collections.abc import Callable

import pytest
from tests.platform.faulty_servers import (
    SIGNED,
    EndlessServer,
    TruncatingServer,
    build_response,
)
from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ReceivedRequest, ServerStandin

# Above the size up to which a response is buffered whole before it is
# forwarded.
_LONG_BODY_BYTES = 400_000


async def _post(harness: EdgeHarness, target: str) -> int:
    caller = await harness.connect()
    return (await caller.fetch(target, method='POST')).status


@pytest.mark.parametrize(
    'copy',
    [
        build_response('', b'stray'),
        build_response('id-/sale/1', b'stray', 'X-Request-Id: id-/sale/2\r\n'),
        build_response('id-/sale/1', b'stray')[:40],
        build_response('id-/sale/1', b'stray')[:40]
        + build_response('id-/sale/2', b'own'),
        b'HTTP/1.1 200 x\r\n' + build_response('', b'stray'),
    ],
    ids=['no id', 'two ids', 'cut head', 'inside a head', 'two status lines'],
)
def test_second_copy_never_reaches_the_next_caller(copy: bytes) -> None:
    """A server may send a late copy of a response on a reused connection.

    The next caller on that connection would get it as its own response.
    """

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
            assert (await _post(harness, '/sale/3')) == 200

    run_scenario(scenario)


_INTERIM = b'HTTP/1.1 102 x\r\n\r\n'
_STRAY = build_response('other', b'stray')
_OWN_HEAD = f'HTTP/1.1 200 x\r\nX-Request-Id: id-/sale/1\r\n{SIGNED}'.encode()
_CHUNKED = _OWN_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('start', 'repeated', 'pause_s'),
    [
        (b'HTTP/1.1 200 x\r\nX-Long: ', b'x' * 4096, 0),
        (b'HTTP/1.1 200 x\r\nX-Long: ', b'x', 0.01),
        (b'HTTP/1.1 200 x\r\n', b'X-More: y\r\n' * 100, 0),
        (b'', _INTERIM, 0),
        (b'', _STRAY, 0),
        (
            build_response('other', b'')[:-5] + b'9' * 15 + b'\r\n\r\n',
            b'x' * 4096,
            0,
        ),
        (b'', b'\x00' * 4096, 0),
        (_CHUNKED + b'5;', b'x' * 100, 0),
        (_CHUNKED, b'1\r\nx\r\n', 0.01),
        (_CHUNKED + b'0\r\n', b'X-Trailer: y\r\n' * 10, 0),
    ],
    ids=[
        'header line',
        'header line, a byte at a time',
        'headers',
        'interim responses',
        'responses to other requests',
        'body of a response to another request',
        'no HTTP',
        'chunk extension',
        'chunks, slowly',
        'trailers',
    ],
)
def test_bytes_without_end_cost_bounded_time_and_memory(
    start: bytes, repeated: bytes, pause_s: float
) -> None:
    """A faulty server may send until the daemon closes the connection.

    Its caller must get an error soon after the deadline, and the daemon must
    not read without a limit.
    """

    async def scenario() -> None:
        server = EndlessServer('i-1')
        server.start, server.repeated = start, repeated
        server.pause_s = pause_s
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            response = await caller.fetch(
                '/sale/1', method='POST', X_Deadline_Ms='1000'
            )
            assert response.status in {502, 504}
            assert loop.time() - started_at < 3

            async def is_cut() -> bool:
                return server.is_cut

            await harness.wait_until(is_cut)
            assert server.sent_bytes < 16_000_000
            assert len(server.received) == 1

    run_scenario(scenario)


def test_body_without_end_is_cut_after_the_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The caller would never stop reading, and the slot would stay in use."""
    monkeypatch.setattr(
        'geraniumshelf_daemon.edge.delivery._DELIVERY_NS', 10**8
    )

    async def scenario() -> None:
        server = EndlessServer('i-1')
        server.start, server.repeated = (
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


def _with_chunks(body: bytes) -> bytes:
    half = len(body) // 2
    chunks = (body[:half], body[half:])
    return (
        _CHUNKED
        + b''.join(b'%x\r\n%s\r\n' % (len(chunk), chunk) for chunk in chunks)
        + b'0\r\n\r\n'
    )


@pytest.mark.parametrize('frame', [_with_length, _with_chunks])
def test_response_cut_at_any_byte_never_looks_complete(
    frame: Callable[[bytes], bytes],
) -> None:
    """A caller would take half a receipt for the whole receipt."""

    async def scenario() -> None:
        server = TruncatingServer('i-1')
        server.full_response = framed = frame(b'0123456789')
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            for length in range(len(framed) + 1):
                server.sent_bytes = length
                # Otherwise the faulty server would soon be ejected.
                harness.daemon._state.placement.servers['i-1'].ejected_until = 0
                caller = await harness.connect()
                response = await caller.fetch('/sale/1', method='POST')
                is_complete = length == len(framed)
                assert (response.status == 200) is is_complete, framed[:length]
                caller.close()

    run_scenario(scenario)


@pytest.mark.parametrize('frame', [_with_length, _with_chunks])
@pytest.mark.parametrize('is_reset', [False, True])
def test_long_response_that_breaks_off_cuts_the_caller(
    frame: Callable[[bytes], bytes], is_reset: bool
) -> None:
    """The caller has a part of a long response when its server fails.

    The daemon must close the connection, as the caller would otherwise take
    the part for the whole response.
    """

    async def scenario() -> None:
        server = TruncatingServer('i-1')
        server.full_response = frame(b'x' * _LONG_BODY_BYTES)
        server.sent_bytes = len(server.full_response) - 3
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
                assert f'Content-Length: {_LONG_BODY_BYTES}'.encode() in head
                assert len(rest) < _LONG_BODY_BYTES

    run_scenario(scenario)
