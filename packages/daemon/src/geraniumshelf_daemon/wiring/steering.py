"""Construction of the parts that steer traffic."""

import asyncio

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.lookups.service import LookupService
from geraniumshelf_daemon.observability.metrics import StatsdMetrics
from geraniumshelf_daemon.steering.applied_plans import AppliedPlans
from geraniumshelf_daemon.steering.collector import LoadCollector
from geraniumshelf_daemon.steering.exchange import PlanExchange
from geraniumshelf_daemon.steering.interface import DaemonIdentity
from geraniumshelf_daemon.steering.load_fetcher import LoadFetcher
from geraniumshelf_daemon.steering.plans import PlanService
from geraniumshelf_daemon.steering.proposer import PlanProposer
from geraniumshelf_daemon.wiring.control_plane import ControlPlane


class Steering:
    """Collects loads, follows plans, proposes steps and serves look-ups."""

    def __init__(self, control: ControlPlane, metrics: StatsdMetrics) -> None:
        hello = control.hello
        self._fetcher = LoadFetcher()
        self._plans = PlanService()
        self._collector = LoadCollector(
            DaemonIdentity(
                hello.instance, hello.incarnation, hello.zone, hello.region
            ),
            control.holder,
            control.entries,
            control.links,
            control.members,
            self._fetcher.fetch,
            current_time,
            metrics=metrics,
        )
        self._exchange = PlanExchange(
            self._plans,
            control.links,
            control.platform,
            control.members,
            current_time,
        )
        self._proposer = PlanProposer(
            control.holder,
            self._exchange,
            self._collector.load_table,
            control.entries,
            metrics,
        )
        self._applied = AppliedPlans(self._plans, control.holder, current_time)
        self._lookups = LookupService(
            control.holder, self._applied, control.entries, hello.region
        )
        self._collector.register()
        self._exchange.register()
        control.holder.subscribe(self._remove_servers)

    @property
    def collector(self) -> LoadCollector:
        """Return the collector of loads, which also measures traffic."""
        return self._collector

    @property
    def plans(self) -> PlanService:
        """Return the plans in force."""
        return self._plans

    @property
    def applied(self) -> AppliedPlans:
        """Return the plans that the look-up responses follow."""
        return self._applied

    @property
    def lookups(self) -> LookupService:
        """Return the look-up service."""
        return self._lookups

    async def run(self) -> None:
        """Collect loads and follow and propose plans until cancelled."""
        await asyncio.gather(
            self._collector.run(), self._exchange.run(), self._proposer.run()
        )

    def _remove_servers(self, configuration: Configuration) -> None:
        addresses = (server.address for server in configuration.servers)
        self._fetcher.keep_only(frozenset(addresses))
