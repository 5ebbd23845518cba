"""Processes of a deployment: platform, backend servers and daemons."""

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
_POLL_INTERVAL_S: Final = 0.05


@define
class Fleet:
    """Starts, configures and kills the processes of a deployment.

    Attributes:
        deployment: Configuration files and their content.
        folder: Folder for the output of the processes.
        platform: Process of the simulated platform, ``None`` before its start.
        backends: Processes of the backend servers by name.
        daemons: Processes of the daemons by instance name.
        relays: Relays in front of the peer addresses, which inject link
            faults; ``None`` if daemons connect directly.
    """

    deployment: Deployment
    folder: Path
    platform: ChildProcess | None = None
    backends: dict[str, ChildProcess] = field(factory=dict)
    daemons: dict[str, ChildProcess] = field(factory=dict)
    relays: PeerRelays | None = None
    _command_numbers: Iterator[int] = field(factory=count)

    @property
    def platform_url(self) -> str:
        """Return the base URL of the simulated platform."""
        return f'http://{platform_address(self.deployment.network)}'

    @property
    def instances(self) -> Mapping[str, FleetInstance]:
        """Return the entry instances by name."""
        instances = list_fleet_instances(
            self.deployment.configuration, self.deployment.network
        )
        return {instance.name: instance for instance in instances}

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
        """Start the simulated platform and declare all entry instances."""
        address = platform_address(self.deployment.network)
        self.platform = await start_module(
            'platform',
            'geraniumshelf_standins.platform',
            ['--address', address],
            self.folder,
        )
        await wait_for_url(f'{self.platform_url}/v1/counters')
        for instance in self.instances.values():
            await self.declare_instance(instance.name, is_leaving=False)

    async def declare_instance(self, name: str, *, is_leaving: bool) -> None:
        """Add or replace an instance in the instance list of the platform."""
        instance = self.instances[name]
        await put_json(
            f'{self.platform_url}/v1/instances/{name}',
            {
                'zone': instance.zone,
                'peer_address': self._advertised_address(instance),
                'is_leaving': is_leaving,
            },
        )

    async def start_backends(self) -> None:
        """Start all simulated backend servers."""
        servers = self.deployment.configuration.servers
        await asyncio.gather(*map(self.start_backend, servers))

    async def start_backend(self, server: BackendServer) -> None:
        """Start a simulated backend server and wait until it answers."""
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
        self, name: str, extra_flags: Mapping[str, str] | None = None
    ) -> None:
        """Start the daemon of an instance without waiting until it is ready.

        Args:
            name: Instance name.
            extra_flags: Further flags, without the leading dashes.
        """
        instance = self.instances[name]
        flags = {
            'instance': instance.name,
            'zone': instance.zone,
            'region': instance.region,
            'caller-address': instance.caller_address,
            'peer-address': instance.peer_address,
            'advertised-peer-address': self._advertised_address(instance),
            'operator-address': instance.operator_address,
            'platform-url': self.platform_url,
            **(extra_flags or {}),
        }
        self.daemons[name] = await start_module(
            name,
            'geraniumshelf_daemon',
            [f'--{flag}={text}' for flag, text in flags.items()],
            self.folder,
        )

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon is ready: it has a configuration and a slot.

        Raises:
            TimeoutError: If it is not ready within 30 s.
        """
        address = self.instances[name].operator_address
        async with asyncio.timeout(_START_TIMEOUT_S):
            while True:
                status = await fetch_json(f'http://{address}/v1/status')
                if status and status.get('ready'):
                    return
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def apply(self, revision: str) -> str:
        """Apply the files of the deployment and return the printed result.

        Args:
            revision: Revision that the files replace, 0 for none.
        """
        overlays = [f'--overlay={path}' for path in self.deployment.overlays]
        base = str(self.deployment.base)
        return await self.run_operator_command(
            'apply', base, *overlays, f'--from-revision={revision}'
        )

    async def run_operator_command(self, *arguments: str) -> str:
        """Run a command of the operator CLI and return its output.

        Raises:
            RuntimeError: If the command fails.
            TimeoutError: If it does not end within 30 s.
        """
        child = await start_module(
            'operator',
            'geraniumshelf_cli.main',
            arguments,
            self.folder / f'operator-{next(self._command_numbers)}',
            {'GERANIUMSHELF_PLATFORM_URL': self.platform_url},
        )
        status = await child.wait(_START_TIMEOUT_S)
        if status:
            raise RuntimeError(
                f'operator command {arguments} failed with exit status '
                f'{status}: {child.read_log()}'
            )
        return child.read_log()

    async def set_platform_faults(
        self, *faults: Mapping[str, Any], cut_off: Iterable[str] = ()
    ) -> None:
        """Replace the faults of the simulated platform.

        Args:
            faults: Faults as JSON objects of ``/v1/faults``.
            cut_off: Instances whose connections to the platform are closed
                without a response.
        """
        hosts = [self.instances[name].host for name in cut_off]
        all_faults: list[Mapping[str, Any]] = list(faults)
        if hosts:
            all_faults.insert(0, {'only_from': hosts, 'down': 'refuse'})
        await put_json(f'{self.platform_url}/v1/faults', all_faults)

    async def kill_all(self) -> None:
        """Kill all processes and stop the relays."""
        if self.relays is not None:
            await self.relays.stop()
        children = [*self.daemons.values(), *self.backends.values()]
        if self.platform is not None:
            children.append(self.platform)
        await asyncio.gather(*(child.kill() for child in children))

    def _advertised_address(self, instance: FleetInstance) -> str:
        if self.relays is None:
            return instance.peer_address
        return instance.relay_address


async def wait_for_url(url: str) -> None:
    """Wait until a URL answers.

    Raises:
        TimeoutError: If it does not answer within 30 s.
    """
    async with asyncio.timeout(_START_TIMEOUT_S):
        while await fetch_json(url) is None:
            await asyncio.sleep(_POLL_INTERVAL_S)


async def fetch_json(url: str) -> Any:
    """Return the JSON content of a URL.

    The result is ``None`` if the URL does not answer with 200, and empty if the
    content is not JSON.
    """
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
    """Send JSON content to a URL with PUT."""
    await AsyncHTTPClient().fetch(url, method='PUT', body=json.dumps(content))
