"""Guards watches whose answers are long, lost or late."""

import asyncio
from collections.abc import Callable
from random import Random

from tests.platform.world import BOUNDS

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.eras import StoreEras
from geraniumshelf_daemon.edge.interface import (
    ListedInstance,
    SiteKind,
    SiteView,
)
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.edge.watcher import Watcher, WatchRules
from geraniumshelf_standins.virtual_time import VirtualTimeLoop

_OLD = StoreRevision(0, 10)
_NEW = StoreRevision(0, 11)
_TICK_S = 0.25
_REACH = StoreAvailabilityTracker(PresenceState('me'), lambda: BOUNDS)
_RULES = WatchRules(
    lambda _now: 25 * SECOND_NS, lambda: False, lambda: SECOND_NS
)
# The daemon that this one relied on is lost after 2 s.
_LONELY = WatchRules(
    lambda now: (25 if now < 2 * SECOND_NS else 3) * SECOND_NS,
    lambda: True,
    lambda: SECOND_NS,
)


class _Sink:
    """Notes when a change was taken over."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()

    def replace(self, view: SiteView, now: Nanoseconds) -> None:
        pass

    def change(self, view: SiteView, now: Nanoseconds) -> None:
        self.changed.set()


class _Store:
    """Has a change that takes a while to transfer.

    Args:
        transfer_s: Time that an answer with the change takes.
        begins_after_s: Time until the answer begins.
        is_silenced: Whether the first watch gets no answer.
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
        self, kind: SiteKind, *, allow_stale: bool = False
    ) -> SiteView:
        return SiteView(_OLD, {})

    async def watch_records(
        self,
        kind: SiteKind,
        after: StoreRevision,
        wait_s: float,
        on_begin: Callable[[], None],
    ) -> SiteView:
        self.watches += 1
        if after == _NEW or (self._is_silenced and self.watches == 1):
            await asyncio.sleep(wait_s + 1)
        await asyncio.sleep(self._begins_after_s)
        on_begin()
        await asyncio.sleep(self._transfer_s)
        return SiteView(_NEW, {'main': None}, _NEW)

    async def register(self, instance: ListedInstance) -> None:
        pass


async def _follow(store: _Store, rules: WatchRules, *, tells: bool) -> float:
    """Return when a change was in force.

    Args:
        store: Has the change from the start on.
        rules: Decisions about the watch.
        tells: Whether peers tell of the change at once.
    """
    loop = asyncio.get_running_loop()
    sink = _Sink()

    def clock() -> Nanoseconds:
        return round(loop.time() * SECOND_NS)

    watcher = Watcher(
        store, SiteKind.CONFIGURATION, sink, _REACH, clock, Random(1), rules
    )
    running = asyncio.create_task(watcher.run())
    try:
        for _ in range(80):
            await asyncio.sleep(_TICK_S)
            if sink.changed.is_set():
                return loop.time()
            watcher.check(clock())
            if tells and watcher.seen < _NEW:
                watcher.renew(clock())
        raise AssertionError(f'no change after {store.watches} watches')
    finally:
        running.cancel()


def _run(
    store: _Store, rules: WatchRules = _RULES, *, tells: bool = True
) -> float:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(_follow(store, rules, tells=tells))


def test_long_transfer_is_not_started_anew_until_it_never_ends() -> None:
    """Daemons far from the store never got a configuration of 1,400 routes.

    Each renewal dropped the transfer under way, and the dropped ones filled
    the link.
    """
    store = _Store(3)
    assert _run(store) < 3.5
    assert store.watches == 1


def test_answer_that_begins_late_is_not_asked_for_without_end() -> None:
    """Over a full link the head of an answer takes long, too."""
    store = _Store(1, begins_after_s=2)
    assert _run(store) < 5
    assert store.watches == 2


def test_watch_that_was_silenced_is_renewed_soon() -> None:
    """The change would be known only at the end of the watch."""
    store = _Store(0.1, is_silenced=True)
    assert _run(store) < 2
    assert store.watches == 2


def test_watch_is_renewed_when_the_daemon_relied_on_is_lost() -> None:
    """All entries of a zone were cut off; one sent to a server 13 s late.

    Its watch had begun as that of a daemon with a lead, which waits for 25 s,
    and no beat of its zone told of the changes.
    """
    store = _Store(0.1, is_silenced=True)
    assert _run(store, _LONELY, tells=False) < 5
    assert store.watches == 2


def test_follower_that_is_stopped_while_it_renews_ends() -> None:
    """A standby would go on following the store, and its stop never end."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()

        def clock() -> Nanoseconds:
            return round(loop.time() * SECOND_NS)

        watcher = Watcher(
            _Store(0.1, is_silenced=True),
            SiteKind.CONFIGURATION,
            _Sink(),
            _REACH,
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
