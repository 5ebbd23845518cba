"""Tests watches whose responses are long, lost or late."""

import asyncio
from collections.abc import Callable
from random import Random

from tests.platform.harness import BOUNDS

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.eras import StoreEras
from geraniumshelf_daemon.edge.interface import (
    ListedInstance,
    RecordKind,
    RecordSet,
)
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.edge.watch_rules import WatchRules
from geraniumshelf_daemon.edge.watcher import Watcher
from geraniumshelf_standins.virtual_time import VirtualTimeLoop

_OLD = StoreRevision(0, 10)
_NEW = StoreRevision(0, 11)
_TICK_S = 0.25
_AVAILABILITY = StoreAvailabilityTracker(PresenceState('me'), lambda: BOUNDS)
_RULES = WatchRules(
    lambda _now: 25 * SECOND_NS,
    lambda: False,
    lambda: SECOND_NS,
    lambda _kind, _seen: False,
    lambda: SECOND_NS,
)
# The daemon whose heartbeats announce changes to this one is lost after 2 s.
_LEAD_LOST_RULES = WatchRules(
    lambda now: (25 if now < 2 * SECOND_NS else 3) * SECOND_NS,
    lambda: True,
    lambda: SECOND_NS,
    lambda _kind, _seen: False,
    lambda: SECOND_NS,
)


class _Sink:
    """Records that a change was applied."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()

    def replace(self, view: RecordSet, now: Nanoseconds) -> None:
        pass

    def change(self, view: RecordSet, now: Nanoseconds) -> None:
        self.changed.set()


class _Store:
    """A store with a change that takes a while to transfer.

    Args:
        transfer_s: Time that a response with the change takes.
        begins_after_s: Time until the response begins.
        is_silenced: Whether the first watch gets no response in time.
    """

    def __init__(
        self,
        transfer_s: float,
        *,
        begins_after_s: float = 0,
        is_silenced: bool = False,
    ) -> None:
        self._begins_after_s = begins_after_s
        self.watches = 0
        self.eras = StoreEras()
        self._transfer_s = transfer_s
        self._is_silenced = is_silenced

    async def list_records(
        self, kind: RecordKind, *, allow_stale: bool = False
    ) -> RecordSet:
        return RecordSet(_OLD, {})

    async def watch_records(
        self,
        kind: RecordKind,
        after: StoreRevision,
        wait_s: float,
        on_response_start: Callable[[], None],
    ) -> RecordSet:
        self.watches += 1
        if after == _NEW or (self._is_silenced and self.watches == 1):
            await asyncio.sleep(wait_s + 1)
        await asyncio.sleep(self._begins_after_s)
        on_response_start()
        await asyncio.sleep(self._transfer_s)
        return RecordSet(_NEW, {'main': None}, _NEW)

    async def register(self, instance: ListedInstance) -> None:
        pass


async def _follow_until_change(
    store: _Store, rules: WatchRules, *, announces: bool, loses: bool
) -> float:
    """Return when a change was applied.

    Args:
        store: Holds the change from the start on.
        rules: Timeouts and intervals of the watch.
        announces: Whether peers announce the change at once.
        loses: Whether other watches are lost all the time.
    """
    loop = asyncio.get_running_loop()
    sink = _Sink()

    def clock() -> Nanoseconds:
        return round(loop.time() * SECOND_NS)

    watcher = Watcher(
        store,
        RecordKind.CONFIGURATION,
        sink,
        _AVAILABILITY,
        clock,
        Random(1),
        rules,
    )
    running = asyncio.create_task(watcher.run())
    try:
        for _ in range(80):
            await asyncio.sleep(_TICK_S)
            if sink.changed.is_set():
                return loop.time()
            watcher.renew_overdue(clock())
            if loses:
                watcher.renew_earlier(clock(), clock())
            if announces and watcher.seen_revision < _NEW:
                watcher.renew(clock())
        raise AssertionError(f'no change after {store.watches} watches')
    finally:
        running.cancel()


def _run_until_change(
    store: _Store,
    rules: WatchRules = _RULES,
    *,
    announces: bool = True,
    loses: bool = False,
) -> float:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(
            _follow_until_change(store, rules, announces=announces, loses=loses)
        )


def test_long_transfer_is_not_started_anew_until_it_never_ends() -> None:
    """Guard against renewals that keep a long response from ever arriving.

    Daemons far from the store never got a configuration of 1,400 routes: each
    renewal dropped the transfer in progress, and dropped transfers filled the
    link.
    """
    store = _Store(3)
    assert _run_until_change(store) < 3.5
    assert store.watches == 1


def test_begun_response_is_not_dropped_when_another_watch_is_lost() -> None:
    """Guard against a long response that is dropped with the history."""
    store = _Store(3)
    assert _run_until_change(store, announces=False, loses=True) < 3.5
    assert store.watches == 1


def test_response_that_begins_late_is_not_requested_without_end() -> None:
    """Guard against endless renewals if the head of a response is late.

    Over a full link the head takes long, too.
    """
    store = _Store(1, begins_after_s=2)
    assert _run_until_change(store) < 5
    assert store.watches == 2


def test_watch_that_was_silenced_is_renewed_soon() -> None:
    """Guard against a change that is known only when the watch times out."""
    store = _Store(0.1, is_silenced=True)
    assert _run_until_change(store) < 2
    assert store.watches == 2


def test_watch_is_renewed_when_the_daemon_relied_on_is_lost() -> None:
    """Guard against a long watch after the zone lead is lost.

    All entries of a zone were cut off, and one still used a server 13 s after
    its removal. Its watch had started with the timeout of 25 s of a daemon that
    relies on a zone lead, and no heartbeat of the zone announced the changes.
    """
    store = _Store(0.1, is_silenced=True)
    assert _run_until_change(store, _LEAD_LOST_RULES, announces=False) < 5
    assert store.watches == 2


def test_follower_that_is_stopped_while_it_renews_ends() -> None:
    """Guard against a stop that never ends and a standby that still watches."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()

        def clock() -> Nanoseconds:
            return round(loop.time() * SECOND_NS)

        watcher = Watcher(
            _Store(0.1, is_silenced=True),
            RecordKind.CONFIGURATION,
            _Sink(),
            _AVAILABILITY,
            clock,
            Random(1),
            _RULES,
        )
        running = asyncio.create_task(watcher.run())
        await asyncio.sleep(1)
        watcher.renew(clock())
        watcher.renew(clock() + 2 * SECOND_NS)
        running.cancel()
        await asyncio.sleep(1)
        assert running.done()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(scenario())
