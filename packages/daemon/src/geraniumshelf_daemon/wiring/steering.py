"""Builds the parts that steer and lets them run together."""

import asyncio

from attrs import frozen

from geraniumshelf_core.dispatch.commands import record_report
from geraniumshelf_core.dispatch.state import DispatchState
from geraniumshelf_core.loads.state import LoadBook
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.lookups.interface import EntrySource
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.peers.interface import PeerNetwork
from geraniumshelf_daemon.platform.interface import Platform
from geraniumshelf_daemon.replication.interface import ConfigurationSource
from geraniumshelf_daemon.steering.collector import LoadCollector
from geraniumshelf_daemon.steering.exchange import PlanExchange
from geraniumshelf_daemon.steering.fetch import LoadFetcher
from geraniumshelf_daemon.steering.interface import Identity
from geraniumshelf_daemon.steering.plans import PlanService
from geraniumshelf_daemon.steering.proposer import PlanProposer


@frozen
class Surroundings:
    """What steering asks of the rest of the daemon.

    Attributes:
        identity: Who this daemon is.
        configurations: The configuration in force.
        entries: The live entry instances.
        members: The members; they tell who watches the platform.
        peers: Links to peers.
        platform: The platform.
    """

    identity: Identity
    configurations: ConfigurationSource
    entries: EntrySource
    members: Members
    peers: PeerNetwork
    platform: Platform


class Steering:
    """Collects loads, follows plans and proposes steps."""

    def __init__(self, around: Surroundings, plans: PlanService) -> None:
        self._collector = LoadCollector(
            around.identity,
            around.configurations,
            around.entries,
            around.peers,
            around.members,
            LoadFetcher().fetch,
            current_time,
        )
        self._exchange = PlanExchange(
            plans,
            around.peers,
            around.platform,
            around.members,
            current_time,
        )
        self._proposer = PlanProposer(
            around.configurations,
            self._exchange,
            self._collector.book,
            around.entries,
        )
        self._collector.register()
        self._exchange.register()

    @property
    def collector(self) -> LoadCollector:
        """Return the loads and the meter of traffic."""
        return self._collector

    async def run(self) -> None:
        """Steer until cancelled."""
        await asyncio.gather(
            self._collector.run(), self._exchange.run(), self._proposer.run()
        )


def copy_loads(book: LoadBook, state: DispatchState, now: Nanoseconds) -> None:
    """Take reported loads over into the choice of backend servers.

    Args:
        book: Loads as reported.
        state: What the choice knows of the servers.
        now: Current time, nanoseconds.
    """
    for name, server in state.servers.items():
        load = book.servers.get(name)
        if load is None:
            continue
        if server.reported_at is None or load.measured_at > server.reported_at:
            record_report(
                server, load.in_flight, load.is_leaving, load.measured_at
            )
