"""Harness of the process tests: a fleet of real processes and callers."""

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
    build_key,
    reserve_network,
)

from geraniumshelf_standins.caller.client import Caller, Job, Outcome
from geraniumshelf_standins.fleet.fleet import Fleet, fetch_json, put_json
from geraniumshelf_standins.fleet.relays import PeerRelays

# Design target for the time until all daemons apply a withdrawn key, a new
# revision and a leaving server.
PROPAGATION_TARGET_S = 3.0
# Added to each target, as other work on the machine delays the processes.
LOAD_MARGIN_S = 2.0
# Timeout of waits without a design target.
DEFAULT_TIMEOUT_S = 30.0


@frozen
class SentRequest:
    """A request that the harness sent.

    Attributes:
        request_id: Request id, empty if none was sent.
        account: Client account whose key was sent.
        outcome: Result.
    """

    request_id: str
    account: str
    outcome: Outcome


@define
class FleetHarness:
    """A running fleet, its callers and the requests that they sent.

    Attributes:
        fleet: Processes of the deployment.
        sent: Requests that were sent, in order of completion.
    """

    fleet: Fleet
    sent: list[SentRequest] = field(factory=list)
    _callers: dict[tuple[str, str], Caller] = field(factory=dict)
    _id_random: Random = field(factory=lambda: Random(7))

    def caller_address(self, daemon: str) -> str:
        """Return the address of a daemon that callers connect to."""
        return self.fleet.instances[daemon].caller_address

    def get_caller(self, account: str, name: str = '') -> Caller:
        """Return the caller of an account, which is created at first use.

        Args:
            account: Client account.
            name: Distinguishes callers of an account, which share no
                connections.
        """
        caller = self._callers.get((account, name))
        if caller is None:
            seed = len(self._callers)
            addresses = [self.caller_address(daemon) for daemon in DAEMONS]
            caller = Caller(build_key(account), addresses, Random(seed))
            self._callers[(account, name)] = caller
        return caller

    def create_id_suffix(self) -> str:
        """Return a random suffix for a new request id."""
        return f'{self._id_random.getrandbits(64):016x}'

    async def fetch_id_prefix(self, daemon: str) -> str:
        """Return the request id prefix in a daemon's look-up entry for itself.

        Raises:
            TimeoutError: If there is no such entry within 30 s.
        """
        address = self.caller_address(daemon)
        caller = self.get_caller('steady')
        async with asyncio.timeout(DEFAULT_TIMEOUT_S):
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
        """Send one request to a daemon and record its outcome."""
        caller = self.get_caller(account)
        outcome = await caller.send(
            job, self.caller_address(daemon), request_id
        )
        self.sent.append(SentRequest(request_id, account, outcome))
        return outcome

    async def run(self, job: Job, account: str = 'steady') -> Outcome:
        """Look up, send and retry as a caller does, and record the outcome."""
        try:
            outcome = await self.get_caller(account).run(job)
        except OSError as error:
            outcome = Outcome(0, 0, 'not-run', '', '', 0, detail=repr(error))
        self.sent.append(SentRequest(outcome.request_id, account, outcome))
        return outcome

    async def start_repeatedly(
        self,
        step: Callable[[], Awaitable[object]],
        pause_s: float,
        ended: asyncio.Event,
    ) -> None:
        """Start a step at intervals without waiting for it to end.

        Args:
            step: Step to start.
            pause_s: Time between two starts, seconds.
            ended: Event that ends the repetition; the steps that run are
                awaited then.
        """
        tasks: set[asyncio.Task[object]] = set()
        while not ended.is_set():
            task = asyncio.ensure_future(step())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(pause_s)
        if tasks:
            await asyncio.gather(*tasks)

    @asynccontextmanager
    async def background_load(
        self, *steps: tuple[Callable[[], Awaitable[object]], float]
    ) -> AsyncIterator[None]:
        """Start each step at its interval in seconds while the block runs."""
        ended = asyncio.Event()
        tasks = [
            asyncio.create_task(self.start_repeatedly(step, pause, ended))
            for step, pause in steps
        ]
        try:
            yield
        finally:
            ended.set()
            await asyncio.gather(*tasks)

    async def fetch_records(self, service: str = '') -> list[dict[str, Any]]:
        """Return the request records of the backend servers of a service.

        Args:
            service: Service name, empty for all services.
        """
        records: list[dict[str, Any]] = []
        for server in self.fleet.deployment.configuration.servers:
            if service in {'', server.service}:
                records += await self.fetch_server_records(server.name)
        return records

    async def fetch_server_records(self, name: str) -> list[dict[str, Any]]:
        """Return the request records of one backend server."""
        address = self.server_address(name)
        content = await fetch_json(f'http://{address}/-/records')
        return list(content['records'])

    async def set_server_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a backend server, named as the fields of ``Faults``."""
        await put_json(f'http://{self.server_address(name)}/-/faults', faults)

    def server_address(self, name: str) -> str:
        """Return the address of a backend server."""
        servers = self.fleet.deployment.configuration.servers
        return next(one.address for one in servers if one.name == name)

    async def fetch_status(self, daemon: str) -> dict[str, Any]:
        """Return the status document of a daemon, empty without an answer."""
        address = self.fleet.instances[daemon].operator_address
        content = await fetch_json(f'http://{address}/v1/status')
        return dict(content or {})

    def send_signal(self, daemon: str, signal_number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        self.fleet.daemons[daemon].send_signal(signal_number)

    async def kill(self, daemon: str) -> None:
        """Kill a daemon with SIGKILL and wait for its exit."""
        await self.fleet.daemons[daemon].kill()

    async def restart(self, daemon: str, **flags: str) -> None:
        """Start a daemon again without waiting until it is ready.

        Args:
            daemon: Instance name.
            flags: Further flags, with underscores instead of dashes.
        """
        extra = {name.replace('_', '-'): text for name, text in flags.items()}
        await self.fleet.start_daemon(daemon, extra)

    async def run_operator_command(self, *arguments: str) -> dict[str, Any]:
        """Run a command of the operator CLI and return its JSON result."""
        printed = await self.fleet.run_operator_command(*arguments, '--json')
        return dict(json.loads(printed))

    async def fetch_max_revision(self) -> int:
        """Return the highest revision that is in force in a daemon."""
        statuses = [await self.fetch_status(daemon) for daemon in DAEMONS]
        return max(status.get('revision') or 0 for status in statuses)

    async def wait_until_linked(self, daemons: Iterable[str] = DAEMONS) -> None:
        """Wait until daemons are ready and connected to each other."""
        names = tuple(daemons)
        for name in names:
            await self.fleet.wait_ready(name)
        await wait_until(lambda: self._are_linked(names))

    async def _are_linked(self, names: tuple[str, ...]) -> bool:
        for name in names:
            peers = set((await self.fetch_status(name)).get('peers', ()))
            if not set(names) - {name} <= peers:
                return False
        return True


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: If it does not hold within the timeout.
    """
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)


@asynccontextmanager
async def running_harness(
    folder: Path, *, slots: int = 50
) -> AsyncIterator[FleetHarness]:
    """Start a fleet on a separate loopback network and kill it afterwards."""
    network, reservation = reserve_network()
    deployment = build_deployment(folder, network, slots)
    harness = FleetHarness(
        Fleet(deployment, folder / 'logs', relays=PeerRelays())
    )
    try:
        await harness.fleet.start()
        await harness.wait_until_linked()
        yield harness
    finally:
        await harness.fleet.kill_all()
        reservation.close()
