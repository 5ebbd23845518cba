"""The proposer of plan revisions."""

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
from geraniumshelf_daemon.observability.metrics import Metrics
from geraniumshelf_daemon.platform.interface import StoredObject
from geraniumshelf_daemon.replication.interface import ConfigurationSource
from geraniumshelf_daemon.steering.assessment import View, assess
from geraniumshelf_daemon.steering.exchange import PlanExchange
from geraniumshelf_daemon.steering.failures import RegionFailures
from geraniumshelf_daemon.steering.plans import HeldPlan
from geraniumshelf_daemon.steering.silences import UpstreamSilences

_PERIOD_S: Final = 1


@define
class PlanProposer:
    """Proposes the next revision of each plan while this daemon watches.

    Attributes:
        configurations: The configuration in force.
        exchange: The plans, the platform and the clock.
        load_table: Reports of loads and traffic.
        entries: The live entry instances.
        metrics: Where proposals are counted.
    """

    configurations: ConfigurationSource
    exchange: PlanExchange
    load_table: LoadTable
    entries: EntrySource
    metrics: Metrics = Factory(Metrics)
    _failures: RegionFailures = Factory(
        lambda owner: RegionFailures(owner.entries, owner.exchange.platform),
        takes_self=True,
    )
    _silences: UpstreamSilences = Factory(
        lambda owner: UpstreamSilences(owner.load_table), takes_self=True
    )
    # Proposals whose answer was lost, by service.
    _unsettled: dict[str, str] = Factory(dict)
    _held_back: set[str] = Factory(set)

    async def run(self) -> None:
        """Consider all services once a second, for ever."""
        while True:
            await self.consider_all()
            await asyncio.sleep(_PERIOD_S)

    async def consider_all(self) -> None:
        """Consider each service if this daemon is a watcher."""
        now = self.exchange.clock()
        configuration = self.configurations.configuration
        if configuration is None or not self.exchange.watchers.is_watcher(now):
            return
        try:
            await self._failures.refresh(configuration, now)
        except PlatformError:
            return
        for service in configuration.services:
            try:
                await self.consider(configuration, service)
            except PlatformError as error:
                self._count_failure(error)
                if error.code is ResultCode.PLATFORM_UNREACHABLE:
                    return

    async def consider(
        self, configuration: Configuration, service: Service
    ) -> None:
        """Propose the next revision of one plan if it is time.

        Raises:
            PlatformError: if the platform does not answer or another proposer
                was first; both are settled in the next round.
        """
        if service.name in self._unsettled:
            await self._read(service.name)
        held = self.exchange.plans.held(service.name)
        now = self.exchange.clock()
        step = self._decide(configuration, service, held, now)
        self._note_hold(service.name, step)
        if step.plan is None:
            return
        if held is None:
            await self._write(step.plan, 0)
            return
        if held.stored_version is None:
            await self._read(service.name)
        is_current = held.plan.revision + 1 == step.plan.revision
        if is_current and held.stored_version is not None:
            await self._write(step.plan, held.stored_version)

    def _decide(
        self,
        configuration: Configuration,
        service: Service,
        held: HeldPlan | None,
        now: Nanoseconds,
    ) -> Step:
        length = min_step_interval(service)
        if held and not may_propose(held.first_seen, length, now):
            return Step(None)
        live = frozenset(entry.instance for entry in self.entries.entries())
        silent = self._silences.refresh(
            configuration, service.name, self.entries.entries(), now
        )
        situation = assess(
            configuration,
            service,
            self.load_table,
            View(held, live, self._failures.failed | silent),
            now,
        )
        proposal_id = uuid.uuid4().hex
        if held:
            return next_plan(held.plan, situation, proposal_id)
        if situation.target:
            return Step(first_plan(service.name, situation, proposal_id))
        return Step(None)

    def _note_hold(self, service: str, step: Step) -> None:
        if step.is_held and service not in self._held_back:
            self._held_back.add(service)
            log_event(Event.PLAN_HELD, 'no room or report', service=service)
        if step.plan is not None:
            self._held_back.discard(service)

    def _count_failure(self, error: PlatformError) -> None:
        if error.code is ResultCode.VERSION_CONFLICT:
            self.metrics.count(Metric.PLAN_CONFLICTS)

    async def _write(self, plan: Plan, expected_version: int) -> None:
        name = plan_name(plan.service)
        encoded = encode_plan(plan)
        self._unsettled[plan.service] = plan.proposal_id
        try:
            version = await self.exchange.platform.put(
                name, encoded, expected_version
            )
        except PlatformError as error:
            if error.code is ResultCode.VERSION_CONFLICT:
                log_event(Event.PLAN_CONFLICT, service=plan.service)
                await self._read(plan.service)
            raise
        self._settle(plan.service, StoredObject(name, version, encoded))

    async def _read(self, service: str) -> None:
        try:
            stored = await self.exchange.platform.get(plan_name(service))
        except PlatformError as error:
            if error.code is not ResultCode.OBJECT_MISSING:
                raise
            self._unsettled.pop(service, None)
            return
        self._settle(service, stored)

    def _settle(self, service: str, stored: StoredObject) -> None:
        self.exchange.adopt(stored)
        proposal_id = self._unsettled.pop(service, None)
        plan = self.exchange.plans.plan(service)
        if plan is not None and plan.proposal_id == proposal_id:
            log_event(
                Event.PLAN_PROPOSED, service=service, revision=plan.revision
            )
            self.metrics.count(Metric.PLAN_PROPOSALS)
            self.metrics.gauge(Metric.PLAN_REVISION, plan.revision)
