"""What the control plane of an idle fleet costs."""

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
from tools.trial.fleets import IdleFleet, running
from tools.trial.layouts import place_trial
from tools.trial.usage import busyness, processor_time_s, resident_mib

_SETTLE_S: Final = 5
_MEASURED_S: Final = 8
_CHANGES: Final = 3
_CHANGE_LIMIT_S: Final = 10
_POLL_S: Final = 0.2


@frozen
class IdleCost:
    """Costs of an idle fleet; rates are a second and daemon.

    Attributes:
        daemons: Number of daemons.
        accounts: Number of client accounts.
        core_shares: Share of a core of each daemon, descending.
        resident: Largest resident memory of a daemon, MiB.
        peer_bytes: Payload bytes sent and received on peer links, mean.
        peer_bytes_most: The same, of the daemon with the most.
        peer_messages: Messages sent and received on peer links, mean.
        platform_bytes: Payload bytes of platform calls, mean.
        platform_calls: Calls at the platform a second, of all daemons.
        changes_s: Seconds from the acceptance of a change until it was in
            force at the last daemon, for each change.
        busyness: Load of the machine.
    """

    daemons: int
    accounts: int
    core_shares: Sequence[float]
    resident: float
    peer_bytes: float
    peer_bytes_most: float
    peer_messages: float
    platform_bytes: float
    platform_calls: float
    changes_s: Sequence[float]
    busyness: str

    @property
    def core_share(self) -> float:
        """Return the mean share of a core."""
        return mean(self.core_shares)

    @property
    def change_s(self) -> float:
        """Return the median time of a change."""
        return median(self.changes_s)


async def measure_idle(
    slots: tuple[int, int], accounts: int, network: int
) -> IdleCost:
    """Run a fleet without callers for a while."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = place_trial(
            Path(folder), network, slots=slots, accounts=accounts
        )
        async with running(deployment, IdleFleet) as fleet:
            await asyncio.sleep(_SETTLE_S)
            return await _measure(fleet, accounts)


async def _measure(fleet: IdleFleet, accounts: int) -> IdleCost:
    before = _processor_times(fleet)
    statuses = await fleet.statuses()
    calls = await fleet.counters()
    started = time.monotonic()
    await asyncio.sleep(_MEASURED_S)
    elapsed = time.monotonic() - started
    after = _processor_times(fleet)
    later = await fleet.statuses()
    called = sum((await fleet.counters()).values()) - sum(calls.values())
    note = busyness()
    peers = [
        _rates(statuses[name], later[name], 'peers', elapsed) for name in later
    ]
    platform = [
        _rates(statuses[name], later[name], 'platform', elapsed)
        for name in later
    ]
    return IdleCost(
        len(later),
        accounts,
        sorted(
            ((after[name] - before[name]) / elapsed for name in after),
            reverse=True,
        ),
        max(resident_mib(daemon.pid) for daemon in fleet.daemons.values()),
        mean(rate[0] for rate in peers),
        max(rate[0] for rate in peers),
        mean(rate[1] for rate in peers),
        mean(rate[0] for rate in platform),
        called / elapsed,
        [await _change(fleet, number) for number in range(_CHANGES)],
        note,
    )


def _processor_times(fleet: IdleFleet) -> dict[str, float]:
    return {
        name: processor_time_s(daemon.pid)
        for name, daemon in fleet.daemons.items()
    }


def _rates(
    before: Any, after: Any, kind: str, elapsed: float
) -> tuple[float, float]:
    """Return bytes and messages a second, both directions."""
    old = before['traffic'][kind]
    new = after['traffic'][kind]
    grown = {name: new[name] - old[name] for name in new}
    return (
        (grown['bytes_sent'] + grown['bytes_received']) / elapsed,
        (grown['messages_sent'] + grown['messages_received']) / elapsed,
    )


async def _change(fleet: IdleFleet, number: int) -> float:
    edit = partial(
        raise_limit, name='account-0', rate_per_s=101 + number, burst=None
    )
    published = await fleet.publisher().edit(edit)
    accepted = time.time()
    async with asyncio.timeout(_CHANGE_LIMIT_S):
        while True:
            times = fleet.times_in_force(published.revision)
            if len(times) == len(fleet.daemons):
                return max(0, max(times.values()) - accepted)
            await asyncio.sleep(_POLL_S)
