"""Servers and a store that send bytes without end to the daemon's process.

Each test checks that the process lives, that its memory and its open
descriptors stay within its settings, and that the callers of other servers are
served meanwhile.
"""

import asyncio
from collections import Counter
from pathlib import Path

import pytest
from tests.platform.faulty_servers import EndlessServer
from tests.platform.store_standin import StoreBehaviour
from tests.process.crowds.harness import (
    CrowdHarness,
    ProcessLimits,
    make_head,
    run_crowd,
)

_DURATION_S = 4.0
_CALLERS = 6
# The smallest instance that operators have named.
_LIMITS = ProcessLimits(152, 1535)
_SIGNED = b'X-Request-Id: {id}\r\nX-Response-Signature: s\r\n'
_OWN = b'HTTP/1.1 200 x\r\n' + _SIGNED
_CHUNKED = _OWN + b'Transfer-Encoding: chunked\r\n\r\n'
_WHOLE = _OWN + b'Content-Length: 2\r\n\r\nok'
_NOISE = b'x' * 65536
_CHUNK = b'10000\r\n' + _NOISE + b'\r\n'

# First bytes of a server and what it sends without end after them.
_KINDS = {
    'no-line-end': (b'', _NOISE),
    'empty-lines': (b'', b'\r\n' * 4096),
    'long-field': (b'HTTP/1.1 200 x\r\nX-Long: ', _NOISE),
    'many-fields': (b'HTTP/1.1 200 x\r\n', b'X-More: y\r\n' * 4096),
    'interim': (b'', b'HTTP/1.1 103 x\r\n\r\n' * 1024),
    'chunk-size': (_CHUNKED, b'0' * 65536),
    'chunk-extension': (_CHUNKED + b'5;', _NOISE),
    'long-chunk': (_CHUNKED + b'fffffffffff\r\n', _NOISE),
    'chunks': (_CHUNKED, _CHUNK),
    'small-chunks': (_CHUNKED, b'1\r\nx\r\n' * 4096),
    'trailers': (_CHUNKED + b'0\r\n', b'X-More: y\r\n' * 4096),
    'no-length': (_OWN + b'\r\n', _NOISE),
    'failure': (b'HTTP/1.1 500 x\r\n' + _SIGNED + b'\r\n', _NOISE),
    'busy': (b'HTTP/1.1 503 x\r\n' + _SIGNED + b'\r\n', _NOISE),
    'long-body': (_OWN + b'Content-Length: 99999999999\r\n\r\n', _NOISE),
    'other': (
        b'HTTP/1.1 200 x\r\nX-Request-Id: other\r\n'
        b'X-Response-Signature: s\r\n\r\n',
        _NOISE,
    ),
    'after-answer': (_WHOLE, _NOISE),
    'after-204': (b'HTTP/1.1 204 x\r\n' + _SIGNED + b'\r\n', _NOISE),
    'slow-body': (_OWN + b'\r\n', b'x'),
}
_SLOW_PAUSE_S = 0.2
_PAGE = b'HTTP/1.1 200 x\r\nStore-Era: 1\r\n'
_STORE_KINDS = {
    'no-line-end': (b'', _NOISE),
    'many-fields': (_PAGE, b'X-More: y\r\n' * 4096),
    'interim': (b'', b'HTTP/1.1 103 x\r\n\r\n' * 1024),
    'chunks': (_PAGE + b'Transfer-Encoding: chunked\r\n\r\n', _CHUNK),
    'no-length': (_PAGE + b'\r\n', _NOISE),
    'long-body': (_PAGE + b'Content-Length: 99999999\r\n\r\n', _NOISE),
}


def _make_servers(*kinds: str) -> list[EndlessServer]:
    servers = []
    for kind in kinds:
        start, repeated = _KINDS[kind]
        server = EndlessServer(kind, slots=40, start=start, repeated=repeated)
        server.pause_s = _SLOW_PAUSE_S if kind == 'slow-body' else 0.001
        servers.append(server)
    return servers


async def _call_faulty(
    harness: CrowdHarness, kind: str, member: int, *, is_upload: bool
) -> None:
    """Send requests to a faulty server until cancelled, one at a time."""
    host, _, port = harness.addresses['front'].rpartition(':')
    number = 0
    while True:
        number += 1
        reader, writer = await asyncio.open_connection(host, int(port))
        request_id = f'{kind}-{member}-{number}'
        fields = {'X_Request_Id': request_id}
        if is_upload:
            head = make_head(
                'POST', f'/{kind}/x', Transfer_Encoding='chunked', **fields
            )
        else:
            head = make_head('GET', f'/{kind}/x', **fields)
        try:
            writer.write(head)
            if is_upload:
                writer.write(_CHUNK)
            if member % 2:
                # Half of the callers read nothing.
                await asyncio.sleep(_DURATION_S)
            while await reader.read(65536):
                continue
        except OSError:
            continue
        finally:
            writer.close()


async def _serve_others(harness: CrowdHarness) -> list[int]:
    """Return the statuses of the callers of a sound server."""
    statuses = []
    end = asyncio.get_running_loop().time() + _DURATION_S
    while asyncio.get_running_loop().time() < end:
        try:
            async with asyncio.timeout(10):
                response = await harness.fetch(f'/read/{len(statuses)}')
            statuses.append(response.status)
        except (OSError, EOFError):
            statuses.append(0)
        await asyncio.sleep(0.02)
    return statuses


async def _trouble(
    harness: CrowdHarness, kinds: tuple[str, ...], *, is_upload: bool = False
) -> None:
    callers = [
        asyncio.create_task(
            _call_faulty(harness, kind, member, is_upload=is_upload)
        )
        for kind in kinds
        for member in range(_CALLERS)
    ]
    try:
        statuses = await _serve_others(harness)
        counts = Counter(statuses)
        assert set(counts) == {200}, counts
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    await harness.check()


@pytest.mark.parametrize('is_upload', [False, True])
def test_servers_that_send_without_end_cost_bounded_memory(
    tmp_path: Path, is_upload: bool
) -> None:
    """Guard against a faulty server that ends the requests of all others.

    Bytes kept without a bound would take the memory of the whole instance.
    """
    kinds = tuple(_KINDS)

    async def scenario(harness: CrowdHarness) -> None:
        await _trouble(harness, kinds, is_upload=is_upload)

    run_crowd(tmp_path, scenario, _make_servers(*kinds), _LIMITS)


@pytest.mark.parametrize('kind', _STORE_KINDS)
def test_store_that_sends_without_end_costs_bounded_memory(
    tmp_path: Path, kind: str
) -> None:
    """Guard against a faulty store that takes the memory of an instance."""

    async def scenario(harness: CrowdHarness) -> None:
        harness.store.endless = _STORE_KINDS[kind]
        harness.store.behaviour = StoreBehaviour.ENDLESS
        # Ends the watches, which are still answered.
        harness.store.put('servers', 'unknown', {})
        await _trouble(harness, ())

    run_crowd(tmp_path, scenario, limits=_LIMITS)
