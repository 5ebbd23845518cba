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
LOAD_DURATION_S = 30.0
UPLOAD_BYTES = 20_000_000
UPLOAD_BYTES_PER_S = 1_000_000
WITHDRAWN_KEY_LABEL = 'demo-guest'
DRAINED_INSTANCE_INDEX = 3


@frozen
class Example:
    """An example deployment.

    Attributes:
        name: Folder below ``examples``.
        network: Second octet of the loopback addresses in its files.
        clients: First two octets of its client blocks.
    """

    name: str
    network: int
    clients: str

    @property
    def own_network(self) -> int:
        """Return the second octet of the addresses that the demo uses."""
        return self.network + 2


ASSOCIATION = Example('association', 20, '127.40')
SHRESTHA = Example('shrestha', 30, '127.50')


@frozen
class DemoServices:
    """Names of the services of a deployment that the demo uses.

    Attributes:
        read: Service for reads.
        sale: Service whose requests are not idempotent.
        upload: Service for uploads.
        calendar: Service whose requests may wait.
    """

    read: str
    sale: str
    upload: str
    calendar: str


async def run_demo(folder: Path, example: Example = ASSOCIATION) -> bool:
    """Run the whole demo.

    Args:
        folder: Folder for the deployment and its logs.
        example: Example deployment to run.

    Returns:
        Whether all checks passed.
    """
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
        print_progress(started, f'{len(fleet.daemons)} daemons are ready')
        return await run_load(fleet, example, started)
    finally:
        await fleet.kill_all()


def find_services(configuration: Configuration) -> DemoServices:
    """Choose the services for the demo by the first route of each."""
    routes = {
        service.name: service.routes[0] for service in configuration.services
    }
    return DemoServices(
        next(
            name
            for name, route in routes.items()
            if 'GET' in route.methods and not route.is_open
        ),
        next(name for name, route in routes.items() if not route.is_idempotent),
        next(name for name, route in routes.items() if 'PUT' in route.methods),
        next(name for name, route in routes.items() if route.may_wait),
    )


async def run_load(fleet: Fleet, example: Example, started: float) -> bool:
    """Send load while a key is withdrawn and a daemon is drained.

    Returns:
        Whether all checks passed.
    """
    accounts = sorted(
        fleet.deployment.configuration.accounts,
        key=lambda account: -account.rate_per_s,
    )
    key_output = await fleet.run_operator_command(
        'key', 'add', accounts[0].name, WITHDRAWN_KEY_LABEL, '--json'
    )
    guest_key = json.loads(key_output)['key']
    services = find_services(fleet.deployment.configuration)
    random = Random(1)
    caller_addresses = [
        instance.caller_address for instance in fleet.instances.values()
    ]
    callers = [
        Caller(
            f'trial-{client.name}',
            caller_addresses[index:] + caller_addresses[:index],
            Random(index),
            client_address=f'{example.clients}.{1 + index % 3}.7',
        )
        for index, client in enumerate(accounts)
    ]
    guest = Caller(guest_key, caller_addresses, Random(99))
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
        workload.run(LOAD_DURATION_S),
    )
    return await check_results(fleet, workload, uploaded, drain_status)


async def withdraw_key(fleet: Fleet, started: float) -> None:
    """Withdraw the guest's key after a third of the load."""
    await asyncio.sleep(LOAD_DURATION_S / 3)
    await fleet.run_operator_command('key', 'withdraw', WITHDRAWN_KEY_LABEL)
    print_progress(started, f'key {WITHDRAWN_KEY_LABEL} is withdrawn')


async def drain_daemon(fleet: Fleet, started: float) -> int:
    """Stop a daemon gracefully in the middle of the load.

    Returns:
        Exit status of the daemon.
    """
    await asyncio.sleep(LOAD_DURATION_S / 2)
    name = list(fleet.instances)[DRAINED_INSTANCE_INDEX]
    daemon = fleet.daemons[name]
    daemon.send_signal(signal.SIGTERM)
    print_progress(started, f'SIGTERM was sent to {name}')
    status = await daemon.wait(60)
    print_progress(started, f'{name} exited with status {status}')
    return status


async def check_results(
    fleet: Fleet, workload: Workload, uploaded: Outcome, drain_status: int
) -> bool:
    """Print the results and check them against the backend servers' records.

    Args:
        fleet: Fleet that received the load.
        workload: Finished load.
        uploaded: Outcome of the upload.
        drain_status: Exit status of the drained daemon.

    Returns:
        Whether all checks passed.
    """
    records = []
    for server in fleet.deployment.configuration.servers:
        answer = await fetch_json(f'http://{server.address}/-/records')
        records += answer['records']
    runs = Counter(
        record['request_id'] for record in records if record['method'] == 'POST'
    )
    for stream in ('read', 'sale', 'calendar', 'guest'):
        print_stream(stream, workload.outcomes(stream))
    print(
        f'upload: status {uploaded.status}, '
        f'{UPLOAD_BYTES} bytes in {uploaded.latency_ns / 1e9:.1f} s'
    )
    repeated_sales = [
        request_id for request_id, count in runs.items() if count > 1
    ]
    failed_outcomes = [
        sample.outcome
        for sample in workload.samples
        if sample.stream != 'guest' and not sample.outcome.is_served
    ]
    for outcome in failed_outcomes[:5]:
        print(f'not served: {outcome}')
    checks = {
        'no sale ran twice': not repeated_sales,
        'every request was served': not failed_outcomes,
        'the upload was served': uploaded.is_served,
        'the drained daemon exited 0': drain_status == 0,
        'the withdrawn key was refused': any(
            outcome.status == 401 for outcome in workload.outcomes('guest')
        ),
    }
    for name, is_met in checks.items():
        print(f'{"ok  " if is_met else "FAIL"} {name}')
    return all(checks.values())


def print_stream(name: str, outcomes: list[Outcome]) -> None:
    """Print counts and latencies of a stream."""
    served = [outcome.latency_ns for outcome in outcomes if outcome.is_served]
    codes = Counter(
        outcome.code for outcome in outcomes if not outcome.is_served
    )
    print(
        f'{name}: {len(outcomes)} sent, {len(served)} served, '
        f'p50 {percentile_ms(served, 0.5):.1f} ms, '
        f'p99 {percentile_ms(served, 0.99):.1f} ms, refused {dict(codes)}'
    )


def print_progress(started: float, text: str) -> None:
    """Print a line with the seconds since the start."""
    print(f'{monotonic() - started:6.1f} s  {text}', flush=True)


def main() -> int:
    """Run the demo and return the exit status."""
    examples = {example.name: example for example in (ASSOCIATION, SHRESTHA)}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'example', nargs='?', choices=examples, default=ASSOCIATION.name
    )
    chosen = examples[parser.parse_args().example]
    with tempfile.TemporaryDirectory() as folder:
        return 0 if asyncio.run(run_demo(Path(folder), chosen)) else 1


if __name__ == '__main__':
    sys.exit(main())
