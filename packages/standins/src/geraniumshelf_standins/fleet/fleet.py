"""A whole deployment as separate processes on loopback."""

import asyncio
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from http import HTTPStatus
from itertools import count
from pathlib import Path
from typing import Any, Final

from attrs import define, field
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_standins.fleet.deployment import Deployment
from geraniumshelf_standins.fleet.layout import (
    FleetInstance,
    list_fleet_instances,
    platform_address,
)
from geraniumshelf_standins.fleet.process import ChildProcess, start_module
from geraniumshelf_standins.fleet.relays import PeerRelays

_START_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.05


@define
class Fleet:
    """Starts, watches and ends the processes of a deployment.

    Attributes:
        deployment: The files and their configuration.
        folder: Folder for logs.
        platform: The platform stand-in, once started.
        backends: Backend server stand-ins by name.
        daemons: Daemons by instance name.
        relays: Faulty links in front of the peer addresses, ``None`` if
            daemons reach each other directly.
    """

    deployment: Deployment
    folder: Path
    platform: ChildProcess | None = None
    backends: dict[str, ChildProcess] = field(factory=dict)
    daemons: dict[str, ChildProcess] = field(factory=dict)
    relays: PeerRelays | None = None
    _orders: Iterator[int] = field(factory=count)

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform stand-in."""
        return f'http://{platform_address(self.deployment.network)}'

    @property
    def instances(self) -> Mapping[str, FleetInstance]:
        """Return the entry instances by name."""
        places = list_fleet_instances(
            self.deployment.configuration, self.deployment.network
        )
        return {place.name: place for place in places}

    async def start(self) -> None:
        """Start all processes and apply the configuration."""
        if self.relays is not None:
            await self.relays.start(self.instances)
        await self.start_platform()
        await self.start_backends()
        await self.apply('0')
        for name in self.instances:
            await self.start_daemon(name)
        await asyncio.gather(*map(self.wait_ready, self.instances))

    async def start_platform(self) -> None:
        """Start the platform stand-in and declare all instances."""
        address = platform_address(self.deployment.network)
        self.platform = await start_module(
            'platform',
            'geraniumshelf_standins.platform',
            ['--address', address],
            self.folder,
        )
        await wait_for_url(f'{self.platform_url}/v1/counters')
        for place in self.instances.values():
            await self.declare(place.name, is_leaving=False)

    async def declare(self, name: str, *, is_leaving: bool) -> None:
        """Put an instance on the platform's list."""
        place = self.instances[name]
        await put_json(
            f'{self.platform_url}/v1/instances/{name}',
            {
                'zone': place.zone,
                'peer_address': self._advertised(place),
                'is_leaving': is_leaving,
            },
        )

    async def start_backends(self) -> None:
        """Start all backend server stand-ins."""
        servers = self.deployment.configuration.servers
        await asyncio.gather(*map(self.start_backend, servers))

    async def start_backend(self, server: BackendServer) -> None:
        """Start one backend server stand-in and wait until it answers."""
        self.backends[server.name] = await start_module(
            server.name,
            'geraniumshelf_standins.backend',
            [
                f'--name={server.name}',
                f'--service={server.service}',
                f'--address={server.address}',
                f'--slots={server.slots}',
            ],
            self.folder,
        )
        await wait_for_url(f'http://{server.address}/-/health')

    async def start_daemon(
        self, name: str, extra: Mapping[str, str] | None = None
    ) -> None:
        """Start one daemon; ``extra`` holds more flags."""
        place = self.instances[name]
        flags = {
            'instance': place.name,
            'zone': place.zone,
            'region': place.region,
            'caller-address': place.caller_address,
            'peer-address': place.peer_address,
            'advertised-peer-address': self._advertised(place),
            'operator-address': place.operator_address,
            'platform-url': self.platform_url,
            **(extra or {}),
        }
        self.daemons[name] = await start_module(
            name,
            'geraniumshelf_daemon',
            [f'--{flag}={text}' for flag, text in flags.items()],
            self.folder,
        )

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon has a configuration and a slot.

        Raises:
            TimeoutError: If it does not get there.
        """
        address = self.instances[name].operator_address
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                status = await fetch_json(f'http://{address}/v1/status')
                if status and status.get('ready'):
                    return
                await asyncio.sleep(_POLL_S)

    async def apply(self, revision: str) -> str:
        """Apply the deployment's files; returns the printed result."""
        overlays = [f'--overlay={path}' for path in self.deployment.overlays]
        base = str(self.deployment.base)
        return await self.run_operator_command(
            'apply', base, *overlays, f'--from-revision={revision}'
        )

    async def run_operator_command(self, *arguments: str) -> str:
        """Run the operators' command line and return what it printed.

        Raises:
            RuntimeError: If the command fails.
        """
        child = await start_module(
            'operator',
            'geraniumshelf_cli.main',
            arguments,
            self.folder / f'operator-{next(self._orders)}',
            {'GERANIUMSHELF_PLATFORM_URL': self.platform_url},
        )
        status = await child.wait(_START_TIMEOUT_S)
        if status:
            raise RuntimeError(f'{arguments}: {status}: {child.read_log()}')
        return child.read_log()

    async def set_platform_faults(
        self, *faults: Mapping[str, Any], cut_off: Iterable[str] = ()
    ) -> None:
        """Replace the faults of the platform.

        Args:
            faults: Faults as the stand-in takes them.
            cut_off: Instances that can't reach the platform.
        """
        hosts = [self.instances[name].host for name in cut_off]
        rows: list[Mapping[str, Any]] = list(faults)
        if hosts:
            rows.insert(0, {'only_from': hosts, 'down': 'refuse'})
        await put_json(f'{self.platform_url}/v1/faults', rows)

    async def kill_all(self) -> None:
        """End all processes at once."""
        if self.relays is not None:
            await self.relays.stop()
        children = [*self.daemons.values(), *self.backends.values()]
        if self.platform is not None:
            children.append(self.platform)
        await asyncio.gather(*(child.kill() for child in children))

    def _advertised(self, place: FleetInstance) -> str:
        if self.relays is None:
            return place.peer_address
        return place.relay_address


async def wait_for_url(url: str) -> None:
    """Wait until a URL answers.

    Raises:
        TimeoutError: If it never does.
    """
    async with asyncio.timeout(_START_TIMEOUT_S):
        while await fetch_json(url) is None:
            await asyncio.sleep(_POLL_S)


async def fetch_json(url: str) -> Any:
    """Return the JSON content of a URL, ``None`` if it does not answer."""
    try:
        answer = await AsyncHTTPClient().fetch(url, raise_error=False)
    except (HTTPClientError, OSError):
        return None
    try:
        return json.loads(answer.body) if answer.code == HTTPStatus.OK else None
    except ValueError:
        return {}


async def put_json(
    url: str, content: Mapping[str, Any] | Sequence[Mapping[str, Any]]
) -> None:
    """Put JSON content to a URL of a stand-in."""
    await AsyncHTTPClient().fetch(url, method='PUT', body=json.dumps(content))
