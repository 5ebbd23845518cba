"""Daemons in virtual time, some of which do not reach the store for a while."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from random import Random

from attrs import define, evolve, field
from tests.platform.world import BOUNDS as USUAL_BOUNDS
from tests.platform.world import make_configuration

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.presence.commands import register_instance
from geraniumshelf_core.presence.state import Beat, Member, PresenceState
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.eras import StoreEras
from geraniumshelf_daemon.edge.following import Following
from geraniumshelf_daemon.edge.interface import (
    ListedInstance,
    Record,
    SiteKind,
    SiteView,
)
from geraniumshelf_daemon.edge.peers import Heartbeats
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.edge.state import RelayState, build_state
from geraniumshelf_daemon.edge.watch_policy import WatchPolicy
from geraniumshelf_platform.records import decode_record
from geraniumshelf_standins.virtual_time import VirtualTimeLoop

BOUNDS = evolve(USUAL_BOUNDS, heartbeat=SECOND_NS * 3 // 2)
CONTACT_S = BOUNDS.contact / SECOND_NS
_TICK_S = 0.25
_DELAY_S = 0.01
# Time limits of the adapter.
_LEAST_LIMIT_S = 2.0
_ANSWER_TIME_S = 0.8


def clock() -> Nanoseconds:
    """Return the virtual time."""
    return round(asyncio.get_running_loop().time() * SECOND_NS)


def make_server(name: str) -> ListedServer:
    """Return the entry of a server."""
    return ListedServer(name, 'desk', '10.0.0.1:1', 'a1', 2, started_at_ms=7)


def read_configuration(version: int) -> Record:
    """Return a configuration."""
    record = decode_record(
        SiteKind.CONFIGURATION, 'main', make_configuration(version)
    )
    assert record is not None
    return record


@define(eq=False)
class SharedStore:
    """What the store holds, and the history of its changes."""

    revision: int = 1
    records: dict[SiteKind, dict[str, Record]] = field(factory=dict)
    events: list[tuple[int, SiteKind, str, Record | None]] = field(factory=list)
    changed: asyncio.Event = field(factory=asyncio.Event)

    def put(self, kind: SiteKind, name: str, record: Record | None) -> None:
        """Write an object, or remove it."""
        self.revision += 1
        held = self.records.setdefault(kind, {})
        if record is None:
            held.pop(name, None)
        else:
            held[name] = record
        self.events.append((self.revision, kind, name, record))
        self.changed.set()
        self.changed = asyncio.Event()


@define(eq=False)
class StorePath:
    """Implements ``SiteStore`` for one daemon.

    Attributes:
        store: The store.
        cuts: Begin and end of the times without a path to it, seconds; calls
            under way at such a time get no answer.
    """

    store: SharedStore
    cuts: tuple[tuple[float, float], ...] = ()
    eras: StoreEras = field(factory=lambda: StoreEras(clock))

    async def list_records(
        self, kind: SiteKind, *, may_be_old: bool = False
    ) -> SiteView:
        """Return all objects of a kind."""
        await self._call(lambda: asyncio.sleep(0), _LEAST_LIMIT_S)
        held = self.store.records.get(kind, {})
        return SiteView(self._now(), dict(held))

    async def watch_records(
        self,
        kind: SiteKind,
        after: StoreRevision,
        wait_s: float,
        on_begin: Callable[[], None],
    ) -> SiteView:
        """Return the changes after a revision, once there are any."""
        limit_s = max(wait_s + _ANSWER_TIME_S, _LEAST_LIMIT_S)
        await self._call(lambda: self._wait(kind, after, wait_s), limit_s)
        on_begin()
        found = self._changes(kind, after)
        return SiteView(self._now(), found, self._now())

    async def register(self, instance: ListedInstance) -> None:
        """Refuse to be called."""
        raise AssertionError(instance)

    async def _call(
        self, step: Callable[[], Awaitable[None]], limit_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await asyncio.sleep(_DELAY_S)
        if not self._is_cut(begun, loop.time()):
            await step()
            await asyncio.sleep(_DELAY_S)
        if self._is_cut(begun, loop.time()):
            await asyncio.sleep(max(0, begun + limit_s - loop.time()))
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'no answer')

    async def _wait(
        self, kind: SiteKind, after: StoreRevision, wait_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while not self._changes(kind, after) and loop.time() < end:
            try:
                async with asyncio.timeout_at(end):
                    await self.store.changed.wait()
            except TimeoutError:
                return

    def _changes(
        self, kind: SiteKind, after: StoreRevision
    ) -> Mapping[str, Record | None]:
        return {
            name: record
            for at, held, name, record in self.store.events
            if held is kind and at > after.number
        }

    def _is_cut(self, begin: float, end: float) -> bool:
        return any(cut < end and begin < healed for cut, healed in self.cuts)

    def _now(self) -> StoreRevision:
        return StoreRevision(0, self.store.revision)


class _Port(DatagramPort):
    """Hands datagrams to the daemons of this process."""

    def __init__(self, ports: dict[str, DatagramPort], ip: str) -> None:
        super().__init__(0)
        self._ports = ports
        ports[ip] = self

    def send_encoded(self, ip: str, datagram: bytes) -> None:
        target = self._ports.get(ip)
        if target is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(_DELAY_S, target._take, datagram)


class CutDaemon:
    """The part of a daemon that follows the store and hears the others."""

    def __init__(
        self,
        name: str,
        names: tuple[str, ...],
        path: StorePath,
        ports: dict[str, DatagramPort],
        random: Random,
    ) -> None:
        """Start to follow the store."""
        settings = EdgeSettings(
            name, 'a1', {'a1': 'a'}, name, 1, '', '', '', 0, (), '', '', BOUNDS
        )
        self.state: RelayState = build_state(settings, clock())
        self._presence = PresenceState(name, is_complete=True)
        for other in names:
            register_instance(self._presence, other, Member('a1'), other)
        self._heartbeats = Heartbeats(
            self._presence,
            Beat(name, random.getrandbits(32), 0, 'a1', name, '', True),
            _Port(ports, name),
            clock,
            random,
        )
        self._policy = WatchPolicy(
            self._presence, lambda: self._heartbeats.own, lambda: BOUNDS
        )
        self._following = Following(
            self.state,
            path,
            self._policy.reach,
            clock,
            random,
            lambda: None,
            self._policy.rules,
        )
        self._following.start()
        self._tasks = [
            asyncio.create_task(step())
            for step in (self._heartbeats.run, self._tick)
        ]

    @property
    def servers(self) -> set[str]:
        """Return the names of the servers in use."""
        return set(self.state.placement.servers)

    async def stop(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()
        await self._following.stop()

    async def _tick(self) -> None:
        while True:
            now = clock()
            self._following.forget_missing(now)
            self._following.renew_missed(self._policy.has_missed, now)
            self._heartbeats.confirm(
                self._following.confirmed_at,
                self._following.changes,
                self.state.version,
            )
            reach = self._policy.reach
            self._heartbeats.confirm_answers(reach.era, reach.answered_for(now))
            await asyncio.sleep(_TICK_S)


@define
class CutFleet:
    """Daemons that share a store.

    Attributes:
        store: The store, with a server of each given name.
        daemons: The daemons by name.
    """

    store: SharedStore
    daemons: dict[str, CutDaemon]


async def sleep_until(time_s: float) -> None:
    """Wait until a virtual time."""
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(max(0, time_s - now))


def run_fleet(
    cuts: Mapping[str, tuple[tuple[float, float], ...]],
    seed: int,
    scenario: Callable[[CutFleet], Awaitable[None]],
    servers: tuple[str, ...] = ('s1', 's2'),
) -> None:
    """Run a scenario in virtual time.

    Args:
        cuts: Times without a path to the store by name of the daemon.
        seed: Spreads the starts and the calls of the daemons.
        scenario: What happens.
        servers: Names of the servers in the store.
    """

    async def main() -> None:
        random = Random(seed)
        store = SharedStore()
        store.put(SiteKind.CONFIGURATION, 'main', read_configuration(1))
        for name in servers:
            store.put(SiteKind.SERVERS, name, make_server(name))
        ports: dict[str, DatagramPort] = {}
        daemons: dict[str, CutDaemon] = {}
        for name, times in cuts.items():
            await asyncio.sleep(random.random() * _TICK_S)
            daemons[name] = CutDaemon(
                name,
                tuple(cuts),
                StorePath(store, times),
                ports,
                Random(random.random()),
            )
        try:
            await scenario(CutFleet(store, daemons))
        finally:
            for daemon in daemons.values():
                await daemon.stop()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(main())
