"""Tests of the simulated platform through the HTTP adapter of the daemon."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_daemon.platform.http import HttpPlatform
from geraniumshelf_daemon.platform.interface import ListedInstance
from geraniumshelf_standins.platform.server import PlatformServer
from geraniumshelf_standins.platform.state import PlatformState

Scenario = Callable[[PlatformServer, HttpPlatform], Awaitable[None]]


def _run(scenario: Scenario, state: PlatformState | None = None) -> None:
    async def main() -> None:
        server = PlatformServer(state=state)
        server.start()
        platform = HttpPlatform(server.url, source_address='127.0.0.1')
        try:
            await asyncio.wait_for(scenario(server, platform), 20)
        finally:
            platform.close()
            await server.stop()

    asyncio.run(main())


async def _send(server: PlatformServer, path: str, content: Any) -> None:
    await AsyncHTTPClient().fetch(
        server.url + path, method='PUT', body=json.dumps(content)
    )


async def _error_code(call: Awaitable[Any]) -> ResultCode:
    with pytest.raises(PlatformError) as caught:
        await call
    return caught.value.code


def test_conditional_updates() -> None:
    """An unconditional overwrite would lose the change of another operator."""

    async def scenario(_: PlatformServer, platform: HttpPlatform) -> None:
        first = await platform.put('a/b', b'1', 0)
        assert await _error_code(platform.put('a/b', b'2', 0)) == 3002
        second = await platform.put('a/b', b'2', first)
        assert await _error_code(platform.delete('a/b', first)) == 3002
        assert (await platform.get('a/b')).version == second
        await platform.delete('a/b', second)
        assert await _error_code(platform.get('a/b')) == 3003
        assert (
            await _error_code(platform.put('a/b', bytes(1_000_001), 0)) == 1010
        )

    _run(scenario)


def test_watch_reports_writes_and_deletes() -> None:
    """A missed delete would leave a released slot claimed."""

    async def scenario(_: PlatformServer, platform: HttpPlatform) -> None:
        start = (await platform.list_objects('a/')).version
        waiting = asyncio.create_task(platform.watch('a/', start, 10))
        await platform.put('b/1', b'other', None)
        version = await platform.put('a/1', b'1', None)
        assert [one.name for one in (await waiting).objects] == ['a/1']
        await platform.delete('a/1', None)
        deleted = (await platform.watch('a/', version, 0)).objects
        assert [one.content for one in deleted] == [None]
        for _ in range(3):
            await platform.put('a/1', b'1', None)
        assert await _error_code(platform.watch('a/', start, 0)) == 3004

    _run(scenario, PlatformState(max_kept_changes=3))


def test_faults_concern_only_their_callers() -> None:
    """A partition must affect one zone without stopping the others."""

    async def scenario(
        server: PlatformServer, unaffected: HttpPlatform
    ) -> None:
        affected = HttpPlatform(server.url, source_address='127.0.0.2')
        for down in ('refuse', 'unavailable'):
            await _send(
                server, '/v1/faults', {'down': down, 'only_from': ['127.0.0.2']}
            )
            await unaffected.put('a', b'1', None)
            assert await _error_code(affected.get('a')) == 3001
        await _send(server, '/v1/faults', [])
        assert (await affected.get('a')).content == b'1'
        assert server.state.calls == {'put': 2, 'get': 3}
        affected.close()

    _run(scenario)


def test_lost_answer_and_stale_reads() -> None:
    """Writes may take effect without a response; reads may be stale."""

    async def scenario(server: PlatformServer, platform: HttpPlatform) -> None:
        first = await platform.put('a', b'1', 0)
        await _send(server, '/v1/faults', {'lose_answers': 1})
        assert await _error_code(platform.put('a', b'2', first)) == 3001
        assert (await platform.get('a')).content == b'2'
        await _send(server, '/v1/faults', {'stale_versions': 1})
        assert (await platform.list_objects('')).objects[0].version == first
        await _send(server, '/v1/faults', {'stale_s': 3600})
        assert (await platform.list_objects('')).objects == ()

    _run(scenario)


def test_stalled_watch_ends_with_the_adapter_timeout() -> None:
    """A watch without a response must not block its task forever."""

    async def scenario(server: PlatformServer, platform: HttpPlatform) -> None:
        await _send(server, '/v1/faults', {'stall_watches': True})
        await platform.put('a', b'1', None)
        assert await _error_code(platform.watch('', 0, 0)) == 3001

    _run(scenario)


def test_instance_list_lags() -> None:
    """The instance list hides a change for the configured lag."""

    async def scenario(server: PlatformServer, platform: HttpPlatform) -> None:
        declaration = {'zone': 'z', 'peer_address': '127.0.0.1:1'}
        await _send(server, '/v1/instances/i1', declaration)
        listed = await platform.list_instances()
        assert listed == (ListedInstance('i1', 'z', '127.0.0.1:1', False),)
        await _send(server, '/v1/faults', {'instance_lag_s': 3600})
        assert await platform.list_instances() == ()

    _run(scenario)
