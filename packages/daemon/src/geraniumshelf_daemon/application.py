"""Builds and connects the parts of a daemon."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from random import Random
from secrets import randbits
from typing import Any, Final

from geraniumshelf_core.allowance.claims import Claim
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.idempotency.request_id import current_window
from geraniumshelf_core.messages.membership import Hello
from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_core.timeline.event import event_to_json
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.allowances.service import AllowanceService
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.failover.budget import FailoverBudget
from geraniumshelf_daemon.front.admission import Gate
from geraniumshelf_daemon.front.forwarding import Forwarder
from geraniumshelf_daemon.front.front import Front
from geraniumshelf_daemon.front.operators import OperatorCalls, OperatorServer
from geraniumshelf_daemon.front.pipeline import Pipeline, Sources
from geraniumshelf_daemon.idempotency.decider import RunDecider
from geraniumshelf_daemon.idempotency.handover import RecordsKeeper
from geraniumshelf_daemon.lookups.service import LookupService
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.membership.service import MembershipService
from geraniumshelf_daemon.observability.events import (
    Event,
    install_recorder,
    log_event,
)
from geraniumshelf_daemon.observability.timeline import TimelineBuffer
from geraniumshelf_daemon.peers.links import PeerLinks
from geraniumshelf_daemon.platform.http import HttpPlatform
from geraniumshelf_daemon.replication.holder import ConfigurationHolder
from geraniumshelf_daemon.replication.service import Replication
from geraniumshelf_daemon.settings import Settings
from geraniumshelf_daemon.slots.claims import SlotClaims
from geraniumshelf_daemon.steering.interface import Identity
from geraniumshelf_daemon.steering.plans import PlanService
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher
from geraniumshelf_daemon.upstream.pool import ConnectionPool
from geraniumshelf_daemon.wiring.entries import MemberEntries
from geraniumshelf_daemon.wiring.format import StoredFormat
from geraniumshelf_daemon.wiring.keys import KeyTable
from geraniumshelf_daemon.wiring.slots import SlotMembers
from geraniumshelf_daemon.wiring.steering import (
    Steering,
    Surroundings,
    copy_loads,
)

_IDLE_CONNECTIONS: Final = 32
_INCARNATION_BITS: Final = 63
_TICK_S: Final = 0.2
_RESTART_S: Final = 1.0
# Heartbeats tell peers that this daemon is leaving within one second; look-up
# answers of those peers follow at once.
_LEAVING_SPREAD_S: Final = 1.5


class Daemon:
    """One daemon with all its parts."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._hello = _introduction(settings)
        self._build_control()
        self._build_limits()
        self._build_steering()
        self._build_front()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = asyncio.Event()

    async def start(self) -> None:
        """Listen at all addresses and start all tasks.

        Raises:
            OSError: If an address is in use.
        """
        self._operators.listen(
            self._settings.operator_address.host,
            self._settings.operator_address.port,
        )
        await self._links.start(_listener(self._settings))
        self._front.listen(
            self._settings.caller_address.host,
            self._settings.caller_address.port,
        )
        self._membership.start()
        self._replication.start()
        for run in (
            self._allowances.run,
            self._claims.run,
            self._steering.run,
            self._tick,
        ):
            self._tasks.append(asyncio.create_task(_supervise(run)))
        log_event(Event.DAEMON_STARTED, incarnation=self._hello.incarnation)

    def begin_stop(self) -> None:
        """Ask for a graceful shutdown."""
        self._stopping.set()

    async def wait_stop(self) -> None:
        """Wait until a graceful shutdown is asked for."""
        await self._stopping.wait()

    async def stop(self) -> None:
        """Shut down gracefully: leave look-ups, finish requests, hand over."""
        log_event(Event.DAEMON_LEAVING)
        self._members.status.is_leaving = True
        await asyncio.sleep(_LEAVING_SPREAD_S + self._longest_ttl_s())
        await self._front.drain(current_time())
        await self._keeper.hand_over(self._handover_candidates())
        self._allowances.release()
        await self._claims.release()
        await self._close()
        log_event(Event.DAEMON_STOPPED)

    def status(self) -> dict[str, Any]:
        """Return the state as JSON content for operators."""
        now = current_time()
        return {
            'instance': self._hello.instance,
            'incarnation': f'{self._hello.incarnation:x}',
            'ready': self._is_ready(),
            'revision': self._holder.revision,
            'slot': self._members.status.slot,
            'leaving': self._members.status.is_leaving,
            'cut_off': self._members.is_cut_off(now),
            'watcher': self._members.is_watcher(now),
            'running': self._front.running_count,
            'peers': list(self._links.connected()),
            'plans': {
                plan.service: plan.revision for plan in self._plans.plans()
            },
        }

    def _build_control(self) -> None:
        host = self._settings.caller_address.host
        self._clock = LogicalClock()
        self._timeline = TimelineBuffer(self._hello.instance, self._clock)
        install_recorder(self._timeline)
        self._platform = HttpPlatform(
            self._settings.platform_url, source_address=host
        )
        self._holder = ConfigurationHolder(StoredFormat())
        self._members = Members(self._hello, lambda: self._holder.revision)
        self._links = PeerLinks(
            self._hello,
            self._members.heartbeat,
            clock=self._clock,
            source_address=host,
        )
        self._membership = MembershipService(
            self._members,
            self._links,
            self._platform,
            seeds=map(str, self._settings.seed_peers),
        )
        self._replication = Replication(
            self._holder, self._members, self._links, self._platform
        )
        self._entries = MemberEntries(self._members)

    def _build_limits(self) -> None:
        self._claims = SlotClaims(
            self._hello.zone,
            _own_claim(self._hello),
            current_time,
            self._platform,
            self._holder,
        )
        self._allowances = AllowanceService(
            self._hello.instance,
            current_time,
            self._links,
            self._holder,
            SlotMembers(self._members),
            self._claims,
        )
        self._decider = RunDecider(
            self._hello.instance, self._links, self._entries, current_time
        )
        self._decider.issue(self._hello.instance, self._hello.incarnation)
        self._keeper = RecordsKeeper(
            self._hello.instance, self._links, self._decider, current_time
        )

    def _build_steering(self) -> None:
        self._plans = PlanService()
        identity = Identity(
            self._hello.instance,
            self._hello.incarnation,
            self._hello.zone,
            self._hello.region,
        )
        self._steering = Steering(
            Surroundings(
                identity,
                self._holder,
                self._entries,
                self._members,
                self._links,
                self._platform,
            ),
            self._plans,
        )
        self._lookups = LookupService(
            self._holder, self._plans, self._entries, self._hello.region
        )

    def _build_front(self) -> None:
        keys = KeyTable()
        self._holder.subscribe(keys.apply)
        gate = Gate(keys, self._members, current_time)
        self._dispatcher = Dispatcher(
            Place(self._hello.zone, self._hello.region),
            FailoverBudget(self._plans, self._hello.region),
            current_time,
            Random(self._hello.incarnation),
        )
        forwarder = Forwarder(
            self._dispatcher,
            ConnectionPool(_IDLE_CONNECTIONS, SECOND_NS),
            current_time,
        )
        sources = Sources(
            gate,
            self._lookups,
            self._allowances,
            self._decider,
            forwarder,
            current_time,
        )
        self._front = Front(Pipeline(sources), gate, self._dispatcher)
        self._front.follow(self._holder)
        self._operators = OperatorServer(
            OperatorCalls(self.status, self._timeline_rows, self._drain)
        )

    async def _tick(self) -> None:
        while True:
            now = current_time()
            status = self._members.status
            status.window = current_window(now)
            status.slot = self._claims.slot
            self._entries.refresh(now)
            copy_loads(
                self._steering.collector.book, self._dispatcher.state, now
            )
            await asyncio.sleep(_TICK_S)

    async def _drain(self) -> dict[str, Any]:
        self.begin_stop()
        return {'draining': True}

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._replication.stop()
        await self._membership.stop()
        await self._links.stop()
        await self._operators.close()

    def _is_ready(self) -> bool:
        return bool(
            self._holder.revision
            and self._claims.usable_slots()
            and self._plans.plans()
        )

    def _longest_ttl_s(self) -> int:
        configuration = self._holder.configuration or Configuration('')
        ttls = [service.lookup_ttl_s for service in configuration.services]
        return max(ttls, default=0)

    def _handover_candidates(self) -> tuple[str, ...]:
        linked = self._links.connected()
        return tuple(
            entry.instance
            for entry in sorted(
                self._entries.entries(),
                key=lambda entry: entry.zone != self._hello.zone,
            )
            if entry.instance in linked and not entry.is_leaving
        )

    def _timeline_rows(self) -> dict[str, Any]:
        return {
            'events': [event_to_json(one) for one in self._timeline.events()]
        }


async def _supervise(run: Callable[[], Awaitable[None]]) -> None:
    """Start a task again if it fails, after a pause."""
    while True:
        try:
            await run()
        except Exception as error:
            log_event(Event.TASK_FAILED, repr(error))
            await asyncio.sleep(_RESTART_S)


def _introduction(settings: Settings) -> Hello:
    return Hello(
        settings.instance,
        settings.zone,
        settings.region,
        str(settings.caller_address),
        str(settings.advertised_peer_address),
        randbits(_INCARNATION_BITS),
    )


def _listener(settings: Settings) -> socket.socket:
    address = settings.peer_address
    return socket.create_server((address.host, address.port))


def _own_claim(hello: Hello) -> Claim:
    return Claim(hello.instance, hello.peer_address, hello.incarnation, epoch=0)
