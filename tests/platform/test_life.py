"""Tests of the start, reconfiguration, store outages and stop of a daemon."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    make_path,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin
from tests.platform.store_standin import StoreBehaviour
from tests.platform.test_settings import SETTINGS, _write

from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.edge.settings_file import SettingsFile
from geraniumshelf_platform.settings import read_settings

_ROOT = Path(__file__).parents[2]


async def _fetch_status(harness: EdgeHarness, target: str) -> int:
    caller = await harness.connect()
    return (await caller.fetch(target)).status


def test_newer_configuration_comes_into_force_and_older_never() -> None:
    """A removed route must not return with an outdated configuration."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration(5)) as harness:
            routes = {'host': 'shop.example', 'paths': [make_path('/new/')]}
            newer = make_configuration(6, hosts=[routes])
            harness.store.put('config', 'main', newer)

            async def is_new_in_force() -> bool:
                return await _fetch_status(harness, '/new/x') == 200

            await harness.wait_until(is_new_in_force)
            harness.store.put('config', 'main', make_configuration(5))
            harness.store.put('servers', 'odd', {'state': 'unknown'})
            await asyncio.sleep(0.8)
            assert await _fetch_status(harness, '/read/x') == 404
            assert await _fetch_status(harness, '/new/x') == 200

    run_scenario(scenario)


def test_draining_and_removed_servers_get_nothing_new() -> None:
    """A request that reaches a server while it stops is lost."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2', 'i-3')}
        async with running_harness(servers, make_configuration()) as harness:
            draining = servers['i-1'].make_entry('desk', 'a1', state='draining')
            harness.store.put('servers', 'i-1', draining)
            harness.store.remove('servers', 'i-2')
            await asyncio.sleep(0.8)
            for server in servers.values():
                server.received.clear()
            for number in range(20):
                assert await _fetch_status(harness, f'/read/{number}') == 200
            assert len(servers['i-3'].received) == 20

    run_scenario(scenario)


def test_forgotten_history_leads_to_a_new_list() -> None:
    """A change in the compacted history would be missed for good."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1'), 'i-2': ServerStandin('i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            harness.store.remove('servers', 'i-1')
            harness.store.compact()

            async def is_server_unused() -> bool:
                servers['i-1'].received.clear()
                for number in range(10):
                    await _fetch_status(harness, f'/read/{number}')
                return not servers['i-1'].received

            await harness.wait_until(is_server_unused)

    run_scenario(scenario)


def test_outage_of_the_store_changes_nothing_for_callers() -> None:
    """A zone that loses its connection to the store must go on serving."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:
            for behaviour in (
                StoreBehaviour.BUSY,
                StoreBehaviour.RESET,
                StoreBehaviour.SILENT,
            ):
                harness.store.behaviour = behaviour
                await asyncio.sleep(0.3)
                assert await _fetch_status(harness, '/read/x') == 200
                assert await harness.check_ready() == 200

    run_scenario(scenario)


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back() -> None:
    """Running servers would get no requests until they write their entries.

    Entries expire during an outage, as servers can't renew them.
    """

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:
            harness.store.behaviour = StoreBehaviour.BUSY
            harness.store.remove('servers', 'i-1')
            harness.store.compact()
            await asyncio.sleep(1)
            harness.store.behaviour = StoreBehaviour.SOUND
            await asyncio.sleep(1.2)
            assert await _fetch_status(harness, '/read/x') == 200

            async def is_server_removed() -> bool:
                return await _fetch_status(harness, '/read/x') == 503

            await harness.wait_until(is_server_removed)

    run_scenario(scenario)


def test_daemon_registers_once() -> None:
    """The other daemons divide limits by the number of registered instances."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:

            async def is_registered() -> bool:
                return 'n1' in harness.store.specs('geraniumshelf-instances')

            await harness.wait_until(is_registered)
            posts = [call for call in harness.store.calls if 'POST' in call]
            assert len(posts) == 1

    run_scenario(scenario)


def test_stop_leaves_the_directory_and_finishes_requests() -> None:
    """A planned stop must not abort a request."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', work_s=1.0)}
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            caller.send('/sale/x', method='POST')
            while not servers['i-1'].received:
                await asyncio.sleep(0.01)
            harness.daemon.begin_stop()
            stopping = asyncio.ensure_future(harness.daemon.stop())
            assert await harness.check_ready() == 503
            response = await caller.receive()
            assert response.status == 200
            await stopping

    run_scenario(scenario)


def test_metrics_count_requests() -> None:
    """Without metrics, operators can't locate the cause of a complaint."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:
            for _ in range(3):
                await _fetch_status(harness, '/read/x')
            metrics = await harness.read_metrics()
            assert 'geraniumshelf_requests_total 3' in metrics
            assert 'geraniumshelf_request_time_seconds_count 3' in metrics
            assert 'geraniumshelf_runs_warm_total 3' in metrics

            async def has_revision_metric() -> bool:
                metrics = await harness.read_metrics()
                return 'geraniumshelf_configuration_revision 1' in metrics

            await harness.wait_until(has_revision_metric)

    run_scenario(scenario)


def test_settings_file_that_breaks_changes_nothing(tmp_path: Path) -> None:
    """An incomplete settings file must not stop a running daemon."""
    path = tmp_path / 'boot.json'
    _write(path, SETTINGS)
    applied: list[EdgeSettings] = []
    watched = SettingsFile(str(path), read_settings, applied.append)
    path.write_text('{', encoding='utf-8')
    watched.reload()
    assert not applied
    bounds = {**SETTINGS['bounds'], 'quota_slack': 7}
    _write(path, {**SETTINGS, 'bounds': bounds})
    watched.reload()
    assert [settings.bounds.quota_slack for settings in applied] == [7]


def test_process_starts_serves_and_stops_by_signal(tmp_path: Path) -> None:
    """The program must read the settings file that the platform provides."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:
            ready = harness.settings.ready_address
            await harness.daemon.close()
            listen = {
                'front': harness.settings.front_address,
                'ready': ready,
                'directory': harness.settings.directory_address,
            }
            path = _write(
                tmp_path / 'boot.json',
                {
                    **SETTINGS,
                    'ip': '127.0.0.1',
                    'listen': listen,
                    'seeds': [],
                    'internal_ports': [harness.settings.peer_port],
                    'platform': {'address': harness.settings.store_address},
                },
            )
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'geraniumshelf_platform.main',
                env=_environment(path),
                stdout=asyncio.subprocess.DEVNULL,
            )
            try:
                await _wait_until_served(harness)
                process.send_signal(signal.SIGHUP)
                assert await _fetch_status(harness, '/read/x') == 200
                process.terminate()
                assert await process.wait() == 0
            finally:
                if process.returncode is None:
                    process.kill()

    run_scenario(scenario)


def test_missing_settings_end_with_a_message(tmp_path: Path) -> None:
    """An operator must learn from the message why a daemon did not start."""

    async def scenario() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'geraniumshelf_platform.main',
            env=_environment(str(tmp_path / 'none.json')),
            stderr=asyncio.subprocess.PIPE,
        )
        _, message = await process.communicate()
        assert process.returncode == 2
        assert b'none.json' in message

    run_scenario(scenario)


def _environment(path: str) -> dict[str, str]:
    source_folders = [
        _ROOT / 'packages/core/src',
        _ROOT / 'packages/daemon/src',
        _ROOT / 'platform',
    ]
    return {
        **os.environ,
        'PYTHONPATH': os.pathsep.join(map(str, source_folders)),
        'GERANIUMSHELF_CONFIG': path,
    }


async def _wait_until_served(harness: EdgeHarness) -> None:
    async def is_served() -> bool:
        try:
            return await _fetch_status(harness, '/read/x') == 200
        except OSError:
            return False

    await harness.wait_until(is_served)
