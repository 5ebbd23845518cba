"""Run an example deployment under load on this machine."""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from time import monotonic

from attrs import frozen

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_standins.caller.client import Caller, Job, Outcome
from geraniumshelf_standins.caller.workload import (
    JobStream,
    Workload,
    percentile_ms,
)
from geraniumshelf_standins.fleet.deployment import copy_deployment
from geraniumshelf_standins.fleet.fleet import Fleet, fetch_json

EXAMPLES = Path(__file__).parent.parent / 'examples'
LOAD_S = 30.0
UPLOAD_BYTES = 20_000_000
UPLOAD_BYTES_PER_S = 1_000_000
WITHDRAWN_LABEL = 'demo-guest'
DRAINED_PLACE = 3


@frozen
class Example:
    """An example deployment.

    Attributes:
        name: Folder below ``examples``.
        network: Second number of the loopback addresses in its files.
        clients: First two numbers of its client blocks.
    """

    name: str
    network: int
    clients: str

    @property
    def own_network(self) -> int:
        """Return the network of the demo's own addresses."""
        return self.network + 2


ASSOCIATION = Example('association', 20, '127.40')
SHRESTHA = Example('shrestha', 30, '127.50')


@frozen
class Services:
    """Services of a deployment by what the demo does with them."""

    read: str
    sale: str
    upload: str
    calendar: str


async def run_demo(folder: Path, example: Example = ASSOCIATION) -> bool:
    """Run the whole demo; returns whether every condition held."""
    started = monotonic()
    fleet = Fleet(
        copy_deployment(
            EXAMPLES / example.name,
            example.network,
            folder,
            example.own_network,
        ),
        folder / 'logs',
    )
    try:
        await fleet.start()
        report(started, f'{len(fleet.daemons)} daemons are ready')
        return await run_load(fleet, example, started)
    finally:
        await fleet.kill_all()


def find_services(configuration: Configuration) -> Services:
    """Return the services by the first route of each."""
    routes = {one.name: one.routes[0] for one in configuration.services}
    return Services(
        next(
            n for n, r in routes.items() if 'GET' in r.methods and not r.is_open
        ),
        next(n for n, r in routes.items() if not r.is_idempotent),
        next(n for n, r in routes.items() if 'PUT' in r.methods),
        next(n for n, r in routes.items() if r.may_wait),
    )


async def run_load(fleet: Fleet, example: Example, started: float) -> bool:
    """Send reads, sales and an upload while a key and a daemon go."""
    accounts = sorted(
        fleet.deployment.configuration.accounts,
        key=lambda account: -account.rate_per_s,
    )
    added = await fleet.run_operator_command(
        'key', 'add', accounts[0].name, WITHDRAWN_LABEL, '--json'
    )
    guest_key = json.loads(added)['key']
    services = find_services(fleet.deployment.configuration)
    random = Random(1)
    lookups = [place.caller_address for place in fleet.instances.values()]
    callers = [
        Caller(
            f'trial-{client.name}',
            lookups[index:] + lookups[:index],
            Random(index),
            client_address=f'{example.clients}.{1 + index % 3}.7',
        )
        for index, client in enumerate(accounts)
    ]
    guest = Caller(guest_key, lookups, Random(99))
    workload = Workload(
        [
            *(
                JobStream('read', caller, Job(services.read, path='/prices'), 8)
                for caller in callers[:4]
            ),
            *(
                JobStream(
                    'sale',
                    caller,
                    Job(services.sale, 'POST', '/sales', b'{"candles": 3}'),
                    2,
                )
                for caller in callers[:4]
            ),
            JobStream('calendar', callers[0], Job(services.calendar), 2),
            JobStream('guest', guest, Job(services.read, path='/prices'), 5),
        ],
        random,
    )
    upload = Job(
        services.upload,
        'PUT',
        '/photos/1',
        random.randbytes(UPLOAD_BYTES),
        deadline_s=60.0,
        pace_bytes_per_s=UPLOAD_BYTES_PER_S,
    )
    uploaded, drain_status, _, _ = await asyncio.gather(
        callers[1].run(upload),
        drain_daemon(fleet, started),
        withdraw_key(fleet, started),
        workload.run(LOAD_S),
    )
    return await judge(fleet, workload, uploaded, drain_status)


async def withdraw_key(fleet: Fleet, started: float) -> None:
    """Withdraw the guest's key in the middle of the load."""
    await asyncio.sleep(LOAD_S / 3)
    await fleet.run_operator_command('key', 'withdraw', WITHDRAWN_LABEL)
    report(started, f'key {WITHDRAWN_LABEL} is withdrawn')


async def drain_daemon(fleet: Fleet, started: float) -> int:
    """Stop a daemon gracefully in the middle of the load."""
    await asyncio.sleep(LOAD_S / 2)
    name = list(fleet.instances)[DRAINED_PLACE]
    daemon = fleet.daemons[name]
    daemon.send_signal(signal.SIGTERM)
    report(started, f'{name} is told to stop')
    status = await daemon.wait(60)
    report(started, f'{name} ended with status {status}')
    return status


async def judge(
    fleet: Fleet, workload: Workload, uploaded: Outcome, drain_status: int
) -> bool:
    """Print what happened and check it against the backends' records."""
    records = []
    for server in fleet.deployment.configuration.servers:
        found = await fetch_json(f'http://{server.address}/-/records')
        records += found['records']
    runs = Counter(
        record['request_id'] for record in records if record['method'] == 'POST'
    )
    for stream in ('read', 'sale', 'calendar', 'guest'):
        print_stream(stream, workload.outcomes(stream))
    print(
        f'upload: status {uploaded.status}, '
        f'{UPLOAD_BYTES} bytes in {uploaded.latency_ns / 1e9:.1f} s'
    )
    doubled = [one for one, count in runs.items() if count > 1]
    lost = [
        sample.outcome
        for sample in workload.samples
        if sample.stream != 'guest' and not sample.outcome.is_served
    ]
    for outcome in lost[:5]:
        print(f'not served: {outcome}')
    checks = {
        'no sale ran twice': not doubled,
        'every request was served': not lost,
        'the upload is whole': uploaded.is_served,
        'the drained daemon exited 0': drain_status == 0,
        'the withdrawn key is refused': any(
            outcome.status == 401 for outcome in workload.outcomes('guest')
        ),
    }
    for name, is_met in checks.items():
        print(f'{"ok  " if is_met else "FAIL"} {name}')
    return all(checks.values())


def print_stream(name: str, outcomes: list[Outcome]) -> None:
    """Print counts and latencies of a stream."""
    served = [one.latency_ns for one in outcomes if one.is_served]
    codes = Counter(one.code for one in outcomes if not one.is_served)
    print(
        f'{name}: {len(outcomes)} sent, {len(served)} served, '
        f'p50 {percentile_ms(served, 0.5):.1f} ms, '
        f'p99 {percentile_ms(served, 0.99):.1f} ms, refused {dict(codes)}'
    )


def report(started: float, text: str) -> None:
    """Print a line with the seconds since the start."""
    print(f'{monotonic() - started:6.1f} s  {text}', flush=True)


def main() -> int:
    """Run the demo; returns the exit status."""
    examples = {one.name: one for one in (ASSOCIATION, SHRESTHA)}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'example', nargs='?', choices=examples, default=ASSOCIATION.name
    )
    chosen = examples[parser.parse_args().example]
    with tempfile.TemporaryDirectory() as folder:
        return 0 if asyncio.run(run_demo(Path(folder), chosen)) else 1


if __name__ == '__main__':
    sys.exit(main())
