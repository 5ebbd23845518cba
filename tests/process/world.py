"""A fleet of real processes with callers, as tests use it."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

from attrs import define, field, frozen
from tests.process.deployment import (
    DAEMONS,
    build_deployment,
    key_of,
    reserve_network,
)

from geraniumshelf_standins.caller.client import Caller, Job, Outcome
from geraniumshelf_standins.fleet.fleet import Fleet, fetch_json, put_json
from geraniumshelf_standins.fleet.relays import PeerRelays

# Design target for a withdrawn key, a new revision and a leaving server.
TARGET_S = 3.0
# Added to each target because the machine also does other work.
BUSY_MARGIN_S = 2.0
# Bound of every wait that has no target.
PATIENCE_S = 30.0


@frozen
class Sent:
    """A request id and where it was sent."""

    name: str
    account: str
    outcome: Outcome


@define
class World:
    """A running fleet, what was sent to it and what it recorded."""

    fleet: Fleet
    sent: list[Sent] = field(factory=list)
    _callers: dict[tuple[str, str], Caller] = field(factory=dict)
    _numbers: Random = field(factory=lambda: Random(7))

    def address(self, daemon: str) -> str:
        """Return the address of a daemon for callers."""
        return self.fleet.instances[daemon].caller_address

    def caller(self, account: str, name: str = '') -> Caller:
        """Return the caller of an account; names separate connections."""
        known = self._callers.get((account, name))
        if known is None:
            seed = len(self._callers)
            addresses = [self.address(daemon) for daemon in DAEMONS]
            known = Caller(key_of(account), addresses, Random(seed))
            self._callers[(account, name)] = known
        return known

    def suffix(self) -> str:
        """Return a suffix for a request id that no other request has."""
        return f'{self._numbers.getrandbits(64):016x}'

    async def prefix(self, daemon: str) -> str:
        """Return the request id prefix that a daemon publishes for itself."""
        address = self.address(daemon)
        caller = self.caller('steady')
        async with asyncio.timeout(PATIENCE_S):
            while True:
                content = await caller.lookup('sale', address)
                for entry in content.get('entries', ()):
                    if entry['address'] == address:
                        return str(entry['request_id_prefix'])
                await asyncio.sleep(0.05)
        raise AssertionError(daemon)

    async def send(
        self, job: Job, daemon: str, request_id: str, account: str = 'steady'
    ) -> Outcome:
        """Send one request to a daemon and keep what came of it."""
        caller = self.caller(account)
        outcome = await caller.send(job, self.address(daemon), request_id)
        self.sent.append(Sent(request_id, account, outcome))
        return outcome

    async def run(self, job: Job, account: str = 'steady') -> Outcome:
        """Let a caller look up and send, as the callers' page asks."""
        try:
            outcome = await self.caller(account).run(job)
        except OSError as error:
            outcome = Outcome(0, 0, 'not-run', '', '', 0, detail=repr(error))
        self.sent.append(Sent(outcome.request_id, account, outcome))
        return outcome

    async def repeat(
        self,
        step: Callable[[], Awaitable[object]],
        pause_s: float,
        ended: asyncio.Event,
    ) -> None:
        """Start a step again and again, without waiting for it."""
        running: set[asyncio.Task[object]] = set()
        while not ended.is_set():
            task = asyncio.ensure_future(step())
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(pause_s)
        if running:
            await asyncio.gather(*running)

    @asynccontextmanager
    async def load(
        self, *steps: tuple[Callable[[], Awaitable[object]], float]
    ) -> AsyncIterator[None]:
        """Repeat steps with a pause each, until the block ends."""
        ended = asyncio.Event()
        tasks = [
            asyncio.create_task(self.repeat(step, pause, ended))
            for step, pause in steps
        ]
        try:
            yield
        finally:
            ended.set()
            await asyncio.gather(*tasks)

    async def records(self, service: str = '') -> list[dict[str, Any]]:
        """Return what all backend servers of a service recorded."""
        found: list[dict[str, Any]] = []
        for server in self.fleet.deployment.configuration.servers:
            if service in {'', server.service}:
                found += await self.records_of(server.name)
        return found

    async def records_of(self, name: str) -> list[dict[str, Any]]:
        """Return what one backend server recorded of callers' requests."""
        address = self.server_address(name)
        content = await fetch_json(f'http://{address}/-/records')
        return list(content['records'])

    async def set_server_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a backend server by the names of their fields."""
        await put_json(f'http://{self.server_address(name)}/-/faults', faults)

    def server_address(self, name: str) -> str:
        """Return the address of a backend server."""
        servers = self.fleet.deployment.configuration.servers
        return next(one.address for one in servers if one.name == name)

    async def status(self, daemon: str) -> dict[str, Any]:
        """Return the status of a daemon, empty if it does not answer."""
        address = self.fleet.instances[daemon].operator_address
        content = await fetch_json(f'http://{address}/v1/status')
        return dict(content or {})

    def signal(self, daemon: str, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        self.fleet.daemons[daemon].send_signal(number)

    async def kill(self, daemon: str) -> None:
        """Kill a daemon at once and wait for its end."""
        await self.fleet.daemons[daemon].kill()

    async def restart(self, daemon: str, **flags: str) -> None:
        """Start a daemon again at its address; it need not be ready."""
        extra = {name.replace('_', '-'): text for name, text in flags.items()}
        await self.fleet.start_daemon(daemon, extra)

    async def run_operator_command(self, *arguments: str) -> dict[str, Any]:
        """Run an operator's command and return its JSON result."""
        printed = await self.fleet.run_operator_command(*arguments, '--json')
        return dict(json.loads(printed))

    async def revision(self) -> int:
        """Return the highest revision in force in any daemon."""
        found = [await self.status(daemon) for daemon in DAEMONS]
        return max(status.get('revision') or 0 for status in found)

    async def wait_all(self, daemons: Iterable[str] = DAEMONS) -> None:
        """Wait until daemons are ready and linked to each other."""
        names = tuple(daemons)
        for name in names:
            await self.fleet.wait_ready(name)
        await until(lambda: self._are_linked(names))

    async def _are_linked(self, names: tuple[str, ...]) -> bool:
        for name in names:
            peers = set((await self.status(name)).get('peers', ()))
            if not set(names) - {name} <= peers:
                return False
        return True


async def until(
    condition: Callable[[], Awaitable[bool]], bound_s: float = PATIENCE_S
) -> None:
    """Wait for a condition.

    Raises:
        TimeoutError: If it does not hold within the bound.
    """
    async with asyncio.timeout(bound_s):
        while not await condition():
            await asyncio.sleep(0.05)


@asynccontextmanager
async def running_world(
    folder: Path, *, slots: int = 50
) -> AsyncIterator[World]:
    """Start a fleet on a network of its own and end it afterwards."""
    network, reservation = reserve_network()
    deployment = build_deployment(folder, network, slots)
    world = World(Fleet(deployment, folder / 'logs', relays=PeerRelays()))
    try:
        await world.fleet.start()
        await world.wait_all()
        yield world
    finally:
        await world.fleet.kill_all()
        reservation.close()
