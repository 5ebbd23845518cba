"""Cost of the control plane of an idle fleet."""

import asyncio
import tempfile
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from statistics import mean, median
from typing import Any, Final

from attrs import frozen

from geraniumshelf_core.configuration.edits import raise_limit
from tools.trial.deployments import write_trial_deployment
from tools.trial.fleets import IdleFleet, run_fleet
from tools.trial.process_usage import (
    cpu_time_s,
    describe_machine_load,
    read_resident_mib,
)

_SETTLE_S: Final = 5
_MEASUREMENT_S: Final = 8
_CHANGE_COUNT: Final = 3
_CHANGE_TIMEOUT_S: Final = 10
_POLL_INTERVAL_S: Final = 0.2


@frozen
class IdleCosts:
    """Cost of an idle fleet.

    Rates are per second and daemon, unless stated otherwise.

    Attributes:
        daemon_count: Number of daemons.
        account_count: Number of client accounts.
        core_shares: CPU time of each daemon as a fraction of a core, in
            descending order.
        max_resident_mib: Largest resident memory of a daemon, MiB.
        peer_bytes_per_s: Payload bytes sent and received on peer links, mean.
        max_peer_bytes_per_s: The same for the daemon with the largest rate.
        peer_messages_per_s: Messages sent and received on peer links, mean.
        platform_bytes_per_s: Payload bytes of platform calls, mean.
        platform_calls_per_s: Calls to the platform per second, of all daemons
            together.
        changes_s: Seconds from the acceptance of a change of the configuration
            until it was in force on the last daemon, for each change.
        machine_load: Description of the load of the machine.
    """

    daemon_count: int
    account_count: int
    core_shares: Sequence[float]
    max_resident_mib: float
    peer_bytes_per_s: float
    max_peer_bytes_per_s: float
    peer_messages_per_s: float
    platform_bytes_per_s: float
    platform_calls_per_s: float
    changes_s: Sequence[float]
    machine_load: str

    @property
    def core_share(self) -> float:
        """Return the mean CPU time of a daemon, as a fraction of a core."""
        return mean(self.core_shares)

    @property
    def change_s(self) -> float:
        """Return the median time of a change, seconds."""
        return median(self.changes_s)


async def measure_idle(
    slots: tuple[int, int], accounts: int, network: int
) -> IdleCosts:
    """Run a fleet without callers and measure its cost.

    Args:
        slots: Number of slots of the two zones of each region.
        accounts: Number of client accounts.
        network: Second octet of the loopback addresses.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = write_trial_deployment(
            Path(folder), network, slots=slots, accounts=accounts
        )
        async with run_fleet(deployment, IdleFleet) as fleet:
            await asyncio.sleep(_SETTLE_S)
            return await _measure_costs(fleet, accounts)


async def _measure_costs(fleet: IdleFleet, accounts: int) -> IdleCosts:
    cpu_before = _cpu_times(fleet)
    statuses_before = await fleet.fetch_statuses()
    calls_before = await fleet.fetch_call_counts()
    started = time.monotonic()
    await asyncio.sleep(_MEASUREMENT_S)
    elapsed = time.monotonic() - started
    cpu_after = _cpu_times(fleet)
    statuses_after = await fleet.fetch_statuses()
    call_count = sum((await fleet.fetch_call_counts()).values()) - sum(
        calls_before.values()
    )
    machine_load = describe_machine_load()
    peers = [
        _traffic_rates(
            statuses_before[name], statuses_after[name], 'peers', elapsed
        )
        for name in statuses_after
    ]
    platform = [
        _traffic_rates(
            statuses_before[name], statuses_after[name], 'platform', elapsed
        )
        for name in statuses_after
    ]
    return IdleCosts(
        len(statuses_after),
        accounts,
        sorted(
            (
                (cpu_after[name] - cpu_before[name]) / elapsed
                for name in cpu_after
            ),
            reverse=True,
        ),
        max(read_resident_mib(daemon.pid) for daemon in fleet.daemons.values()),
        mean(rate[0] for rate in peers),
        max(rate[0] for rate in peers),
        mean(rate[1] for rate in peers),
        mean(rate[0] for rate in platform),
        call_count / elapsed,
        [await _time_change(fleet, number) for number in range(_CHANGE_COUNT)],
        machine_load,
    )


def _cpu_times(fleet: IdleFleet) -> dict[str, float]:
    return {
        name: cpu_time_s(daemon.pid) for name, daemon in fleet.daemons.items()
    }


def _traffic_rates(
    before: Any, after: Any, kind: str, elapsed: float
) -> tuple[float, float]:
    """Return bytes and messages per second, sent and received together."""
    old = before['traffic'][kind]
    new = after['traffic'][kind]
    increase = {name: new[name] - old[name] for name in new}
    return (
        (increase['bytes_sent'] + increase['bytes_received']) / elapsed,
        (increase['messages_sent'] + increase['messages_received']) / elapsed,
    )


async def _time_change(fleet: IdleFleet, number: int) -> float:
    edit = partial(
        raise_limit, name='account-0', rate_per_s=101 + number, burst=None
    )
    published = await fleet.make_publisher().edit(edit)
    accepted = time.time()
    async with asyncio.timeout(_CHANGE_TIMEOUT_S):
        while True:
            times = fleet.revision_times(published.revision)
            if len(times) == len(fleet.daemons):
                return max(0, max(times.values()) - accepted)
            await asyncio.sleep(_POLL_INTERVAL_S)
