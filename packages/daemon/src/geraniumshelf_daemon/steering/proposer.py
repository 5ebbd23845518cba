"""Proposes plan revisions and writes them to the platform."""

import asyncio
import uuid
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.configuration.model import Configuration, Service
from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.loads.state import LoadTable
from geraniumshelf_core.plan.model import Plan, encode_plan, plan_name
from geraniumshelf_core.plan.steps import Step, first_plan, next_plan
from geraniumshelf_core.plan.timing import may_propose, min_step_interval
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.lookups.interface import EntrySource
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import StatsdMetrics
from geraniumshelf_daemon.platform.interface import StoredObject
from geraniumshelf_daemon.replication.interface import ConfigurationSource
from geraniumshelf_daemon.steering.exchange import PlanExchange
from geraniumshelf_daemon.steering.plans import HeldPlan
from geraniumshelf_daemon.steering.region_failures import RegionFailureDetector
from geraniumshelf_daemon.steering.step_inputs import (
    ProposerView,
    build_step_inputs,
)
from geraniumshelf_daemon.steering.upstream_failures import (
    UpstreamFailureDetector,
)

_PROPOSAL_INTERVAL_S: Final = 1


@define
class PlanProposer:
    """Proposes the next plan revisions while this daemon is a watcher.

    Attributes:
        configurations: Source of the configuration in force.
        exchange: The plans, the platform and the clock.
        load_table: Received reports of loads and traffic.
        entries: Source of the live entry instances.
        metrics: Metrics that count proposals.
    """

    configurations: ConfigurationSource
    exchange: PlanExchange
    load_table: LoadTable
    entries: EntrySource
    metrics: StatsdMetrics = Factory(StatsdMetrics)
    _region_failures: RegionFailureDetector = Factory(
        lambda owner: RegionFailureDetector(
            owner.entries, owner.exchange.platform
        ),
        takes_self=True,
    )
    _upstream_failures: UpstreamFailureDetector = Factory(
        lambda owner: UpstreamFailureDetector(owner.load_table), takes_self=True
    )
    # Proposal ids by service, for writes whose result isn't known yet.
    _unconfirmed: dict[str, str] = Factory(dict)
    _services_on_hold: set[str] = Factory(set)

    async def run(self) -> None:
        """Propose the revisions due once a second until cancelled."""
        while True:
            await self.propose_all()
            await asyncio.sleep(_PROPOSAL_INTERVAL_S)

    async def propose_all(self) -> None:
        """Propose the next revision of each plan if this daemon watches."""
        now = self.exchange.clock()
        configuration = self.configurations.configuration
        if configuration is None or not self.exchange.watchers.is_watcher(now):
            return
        try:
            await self._region_failures.refresh(configuration, now)
        except PlatformError:
            return
        for service in configuration.services:
            try:
                await self.propose_next(configuration, service)
            except PlatformError as error:
                self._count_conflict(error)
                if error.code is ResultCode.PLATFORM_UNREACHABLE:
                    return

    async def propose_next(
        self, configuration: Configuration, service: Service
    ) -> None:
        """Propose the next revision of one plan if it is due.

        Raises:
            PlatformError: If the platform does not respond or another proposer
                wrote first. The next round resolves both.
        """
        if service.name in self._unconfirmed:
            await self._read_plan(service.name)
        held = self.exchange.plans.held(service.name)
        now = self.exchange.clock()
        step = self._choose_step(configuration, service, held, now)
        self._log_hold(service.name, step)
        if step.plan is None:
            return
        if held is None:
            await self._write_plan(step.plan, 0)
            return
        if held.stored_version is None:
            await self._read_plan(service.name)
        is_current = held.plan.revision + 1 == step.plan.revision
        if is_current and held.stored_version is not None:
            await self._write_plan(step.plan, held.stored_version)

    def _choose_step(
        self,
        configuration: Configuration,
        service: Service,
        held: HeldPlan | None,
        now: Nanoseconds,
    ) -> Step:
        min_interval = min_step_interval(service)
        if held and not may_propose(held.first_seen, min_interval, now):
            return Step(None)
        live_instances = frozenset(
            entry.instance for entry in self.entries.entries()
        )
        failed_upstreams = self._upstream_failures.refresh(
            configuration, service.name, self.entries.entries(), now
        )
        inputs = build_step_inputs(
            configuration,
            service,
            self.load_table,
            ProposerView(
                held,
                live_instances,
                self._region_failures.failed | failed_upstreams,
            ),
            now,
        )
        proposal_id = uuid.uuid4().hex
        if held:
            return next_plan(held.plan, inputs, proposal_id)
        if inputs.target:
            return Step(first_plan(service.name, inputs, proposal_id))
        return Step(None)

    def _log_hold(self, service: str, step: Step) -> None:
        if step.is_held and service not in self._services_on_hold:
            self._services_on_hold.add(service)
            log_event(
                Event.PLAN_HELD,
                'no headroom for the next step, or missing load reports',
                service=service,
            )
        if step.plan is not None:
            self._services_on_hold.discard(service)

    def _count_conflict(self, error: PlatformError) -> None:
        if error.code is ResultCode.VERSION_CONFLICT:
            self.metrics.count(Metric.PLAN_CONFLICTS)

    async def _write_plan(self, plan: Plan, expected_version: int) -> None:
        name = plan_name(plan.service)
        encoded = encode_plan(plan)
        self._unconfirmed[plan.service] = plan.proposal_id
        try:
            version = await self.exchange.platform.put(
                name, encoded, expected_version
            )
        except PlatformError as error:
            if error.code is ResultCode.VERSION_CONFLICT:
                log_event(Event.PLAN_CONFLICT, service=plan.service)
                await self._read_plan(plan.service)
            raise
        self._confirm(plan.service, StoredObject(name, version, encoded))

    async def _read_plan(self, service: str) -> None:
        try:
            stored = await self.exchange.platform.get(plan_name(service))
        except PlatformError as error:
            if error.code is not ResultCode.OBJECT_MISSING:
                raise
            self._unconfirmed.pop(service, None)
            return
        self._confirm(service, stored)

    def _confirm(self, service: str, stored: StoredObject) -> None:
        self.exchange.adopt(stored)
        proposal_id = self._unconfirmed.pop(service, None)
        plan = self.exchange.plans.plan(service)
        if plan is not None and plan.proposal_id == proposal_id:
            log_event(
                Event.PLAN_PROPOSED, service=service, revision=plan.revision
            )
            self.metrics.count(Metric.PLAN_PROPOSALS)
            self.metrics.gauge(Metric.PLAN_REVISION, plan.revision)
