"""Tests of limits that backend servers name in their responses."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import pytest
from attrs import define
from tests.platform.harness import (
    EdgeHarness,
    connect_to,
    find_free_ports,
    make_configuration,
    make_settings,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ReceivedRequest, ServerStandin
from tests.platform.store_standin import StoreStandin
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.placement.server_limits import (
    NamedLimit,
    UnreadableLimit,
)
from geraniumshelf_daemon.edge.daemon import EdgeDaemon
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_platform.headers import PlatformHeaders
from geraniumshelf_platform.store import ObjectStore

_DAEMONS = ('n1', 'n2', 'n3')
_SERVERS = ('i-1', 'i-2', 'i-3')
# Each daemon gets a request of its callers in this interval.
_INTERVAL_S = 0.03
_OBJECTS = 12
# The limit binds this long after a server has named it.
_CONTACT_S = 3.0
_WINDOW_S = 4.0
_LIMITED_S = 10.0
_RATE_FACTOR = 1.5
_RATE_SLACK = 5


@define
class _Deployment:
    """Daemons with their servers and the times of requests at each server."""

    settings: dict[str, EdgeSettings]
    servers: dict[str, ServerStandin]
    arrivals: dict[str, list[float]]
    statuses: list[int]

    async def send_requests(self, name: str, until: float) -> None:
        """Send requests for many objects to a daemon at a constant rate."""
        loop = asyncio.get_running_loop()
        caller = await connect_to(self.settings[name].front_address)
        number = 0
        while loop.time() < until:
            number += 1
            headers = {'Cookie': f'X-Affinity-Key={number % _OBJECTS}'}
            response = await caller.fetch(f'/read/{number}', **headers)
            self.statuses.append(response.status)
            await asyncio.sleep(_INTERVAL_S)
        caller.close()


def _record_arrivals(server: ServerStandin, arrivals: list[float]) -> None:
    def record(_request: ReceivedRequest) -> None:
        arrivals.append(asyncio.get_running_loop().time())

    server.make_response = record


@asynccontextmanager
async def _running_deployment() -> AsyncIterator[_Deployment]:
    store = StoreStandin()
    store_address = store.listen()
    servers = {name: ServerStandin(name, slots=40) for name in _SERVERS}
    arrivals: dict[str, list[float]] = {name: [] for name in servers}
    for name, server in servers.items():
        _record_arrivals(server, arrivals[name])
        await server.listen()
        store.put('servers', name, server.make_entry('desk', 'a1'))
    store.put('config', 'main', make_configuration())
    [peer_port] = find_free_ports(1)
    settings = {
        name: make_settings(
            store_address,
            name=name,
            ip=f'127.0.0.{number}',
            cores=1.0,
            peer_port=peer_port,
            seeds=('127.0.0.31',),
        )
        for number, name in enumerate(_DAEMONS, start=31)
    }
    daemons = [
        EdgeDaemon(
            daemon_settings,
            ObjectStore(store_address, daemon_settings.ip),
            PlatformHeaders(),
            random=Random(number),
        )
        for number, daemon_settings in enumerate(settings.values())
    ]
    for daemon in daemons:
        await daemon.start()
    try:
        # Time for the daemons to load and to learn of each other.
        await asyncio.sleep(2.5)
        yield _Deployment(settings, servers, arrivals, [])
    finally:
        for daemon in daemons:
            await daemon.close()
        for server in servers.values():
            server.close()
        await store.close()


def _max_in_window(arrivals: list[float], begin: float, end: float) -> int:
    counted = [at for at in arrivals if begin <= at < end]
    return max(
        (
            sum(first <= at < first + _WINDOW_S for at in counted)
            for first in counted
        ),
        default=0,
    )


def test_server_gets_no_more_from_all_daemons_than_the_limit_it_named() -> None:
    """Guard against the full rate to a server that has named a lower one."""

    async def scenario() -> None:
        async with _running_deployment() as deployment:
            begin = asyncio.get_running_loop().time()
            end = begin + _LIMITED_S
            limited = deployment.servers['i-1']
            limited.rate_limit = '4'
            async with asyncio.TaskGroup() as group:
                for name in _DAEMONS:
                    group.create_task(deployment.send_requests(name, end))
            allowed = _RATE_FACTOR * 4 * _WINDOW_S + _RATE_SLACK
            received = _max_in_window(
                deployment.arrivals['i-1'], begin + _CONTACT_S, end
            )
            assert set(deployment.statuses) == {200}
            assert received <= allowed

    run_scenario(scenario)


def test_operators_see_the_limits_in_force() -> None:
    """Guard against a server in need that nobody notices."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name, slots=9) for name in _SERVERS}
        async with running_harness(servers, make_configuration()) as harness:
            servers['i-1'].rate_limit = '4.5'
            caller = await harness.connect()
            for number in range(_OBJECTS):
                headers = {'Cookie': f'X-Affinity-Key={number}'}
                response = await caller.fetch(f'/read/{number}', **headers)
                assert response.status == 200
            limit = {
                'server': 'i-1',
                'service': 'desk',
                'zone': 'a1',
                'rate_per_s': 4.5,
                'owner': 'n1',
            }

            async def is_shown() -> bool:
                return bool(await _read_limits(harness) == [limit])

            await harness.wait_until(is_shown)
            servers['i-1'].rate_limit = ''

            async def is_over() -> bool:
                for number in range(_OBJECTS):
                    headers = {'Cookie': f'X-Affinity-Key={number}'}
                    await caller.fetch(f'/read/{number}', **headers)
                return not await _read_limits(harness)

            await harness.wait_until(is_over)

    run_scenario(scenario)


async def _read_limits(harness: EdgeHarness) -> Any:
    page = await connect_to(harness.settings.metrics_address)
    response = await page.fetch('/status')
    page.close()
    return json.loads(response.body)['server_limits']


def test_health_response_names_a_limit() -> None:
    """Guard against a limit that only the health checks could tell."""
    headers = HTTPHeaders({'X-Instance-Id': 'i-1', 'Server-Limit': '0.5'})
    assert PlatformHeaders().read_health(headers).limit == NamedLimit(0.5)


@pytest.mark.parametrize('status', [200, 429, 500, 503])
def test_response_of_each_status_names_a_limit(status: int) -> None:
    """Guard against a server in need whose rejections are not read."""
    headers = HTTPHeaders({'X-Request-Id': 'r', 'Server-Limit': '5.6'})
    fields = PlatformHeaders().read_response(status, headers)
    assert fields.limit == NamedLimit(5.6)


def test_two_limits_in_one_response_are_unreadable() -> None:
    """Guard against a limit that depends on the order of headers."""
    headers = HTTPHeaders({'X-Request-Id': 'r'})
    for text in ('5', '6'):
        headers.add('Server-Limit', text)
    fields = PlatformHeaders().read_response(200, headers)
    assert fields.limit == UnreadableLimit('5, 6')
