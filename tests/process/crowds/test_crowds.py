"""Crowds of misbehaving clients at the daemon's own process.

Each test checks that the process lives, that its memory and its open
descriptors stay within its settings, and that an ordinary request is served.
"""

import asyncio
from pathlib import Path

import pytest
from tests.platform.harness import connect_to
from tests.process.crowds.harness import CrowdHarness, make_head, run_crowd

_BODY_BYTES = 500_000
_MAX_BODY_BYTES = 67_108_864
_CROWD = 200
_LARGE_CROWD = 300
_PIPELINED = 40


def _short_of_end(member: int) -> tuple[bytes, ...]:
    head = make_head('PUT', '/photo/1', Content_Length=str(_BODY_BYTES + 1))
    return head, bytes(_BODY_BYTES)


def _chunks_without_end(member: int) -> tuple[bytes, ...]:
    head = make_head('PUT', '/photo/1', Transfer_Encoding='chunked')
    chunk = b'3e8\r\n' + bytes(1000) + b'\r\n'
    return head, *(chunk for _ in range(_BODY_BYTES // 1000))


def _many_fields(member: int) -> tuple[bytes, ...]:
    head = make_head('PUT', '/photo/1', Content_Length='2').rstrip()
    fields = ''.join(f'\r\nx{number:x}:' for number in range(2300))
    return head + fields.encode() + b'\r\n\r\n', b'a'


def _unread_responses(member: int) -> tuple[bytes, ...]:
    return tuple(
        make_head('GET', f'/read/large{number}', X_Request_Id=f'{number}')
        for number in range(_PIPELINED)
    )


def _half_heads(member: int) -> tuple[bytes, ...]:
    return (b'GET /read/1 HTTP/1.1\r\nHost: shop',)


_CROWDS = {
    'short of the end': (_short_of_end, _CROWD),
    'chunks without end': (_chunks_without_end, _CROWD),
    'many fields': (_many_fields, _CROWD),
    'unread responses': (_unread_responses, _CROWD),
    'half heads': (_half_heads, _LARGE_CROWD),
}


@pytest.mark.parametrize('crowd', _CROWDS)
def test_crowd_on_the_front_port(crowd: str, tmp_path: Path) -> None:
    """Guards against memory and descriptors that grow with the crowd."""
    parts, count = _CROWDS[crowd]

    async def scenario(harness: CrowdHarness) -> None:
        await harness.send_crowd(count, 'front', parts)
        await harness.check()

    run_crowd(tmp_path, scenario)


@pytest.mark.parametrize('port', ['ready', 'directory', 'metrics'])
def test_half_heads_on_other_ports(port: str, tmp_path: Path) -> None:
    """Guards against a port that takes the descriptors of the others."""

    async def scenario(harness: CrowdHarness) -> None:
        await harness.send_crowd(_LARGE_CROWD, port, _half_heads)
        await harness.check()

    run_crowd(tmp_path, scenario)


def test_all_crowds_at_once(tmp_path: Path) -> None:
    """Guards against bounds that hold for each crowd, but not together."""

    async def scenario(harness: CrowdHarness) -> None:
        for parts, count in _CROWDS.values():
            await harness.send_crowd(count // 2, 'front', parts)
        await harness.check()

    run_crowd(tmp_path, scenario)


def test_slow_head_is_refused_as_not_run(tmp_path: Path) -> None:
    """Guards against connections that never complete a request head."""

    async def scenario(harness: CrowdHarness) -> None:
        caller = await connect_to(harness.addresses['front'])
        caller.writer.write(b'GET /read/1 HTTP/1.1\r\n')
        response = await caller.receive()
        assert response.status == 408
        assert response.headers['geraniumshelf-ran'] == 'not-run'
        assert not await caller.reader.read()
        caller.close()
        await harness.check()

    run_crowd(tmp_path, scenario)


def test_connection_with_unread_responses_is_closed(tmp_path: Path) -> None:
    """Guards against callers that hold their responses without end."""

    async def scenario(harness: CrowdHarness) -> None:
        await harness.send('front', *_unread_responses(0))
        counted = b'callers_closed_response_total 1'
        while counted not in (await harness.fetch('/', 'metrics')).body:
            await asyncio.sleep(0.2)
        await harness.check()

    run_crowd(tmp_path, scenario)


def test_largest_body_is_served_in_calm(tmp_path: Path) -> None:
    """Guards against bounds that refuse a single request of legal size."""

    async def scenario(harness: CrowdHarness) -> None:
        response = await harness.fetch(
            '/photo/1',
            method='PUT',
            body=bytes(_MAX_BODY_BYTES),
            X_Deadline_Ms='15000',
        )
        assert response.status == 200
        await harness.check()

    run_crowd(tmp_path, scenario)


def test_head_of_many_fields_is_served_in_calm(tmp_path: Path) -> None:
    """Guards against a limit on fields that a head of legal size exceeds."""

    async def scenario(harness: CrowdHarness) -> None:
        fields = {f'x{number:x}': '' for number in range(2000)}
        response = await harness.fetch('/read/fields', **fields)
        assert response.status == 200
        await harness.check()

    run_crowd(tmp_path, scenario)
