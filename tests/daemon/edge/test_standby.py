"""Tests what a daemon does while other daemons serve the callers."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import evolve
from tests.platform.harness import BOUNDS, make_configuration

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.presence.commands import record_heartbeat
from geraniumshelf_core.presence.entry_role import EntryRole
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.shares.whole_shares import (
    WHOLE_SHARE_TERM_NS,
    count_shares,
)
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.eras import StoreEras
from geraniumshelf_daemon.edge.interface import (
    ListedInstance,
    RecordKind,
    RecordSet,
)
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.edge.standby import Standby
from geraniumshelf_daemon.edge.state import build_state
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.edge.store_follower import StoreFollower
from geraniumshelf_daemon.edge.watch_rules import WatchRules
from geraniumshelf_platform.records import decode_record

_BOUND_S = 5
_OWN = PresenceHeartbeat(
    'me', 1, 1, 'a1', 'ip me', 'me:80', is_ready=False, cores=0.4
)
_SERVER = ListedServer('s1', 'desk', '10.0.0.1:1', 'a1', 2)
_SETTINGS = EdgeSettings(
    'me', 'a1', {'a1': 'a'}, '', 0.4, '', '', '', 0, (), '', '', BOUNDS
)

_RULES = WatchRules(
    lambda _now: SECOND_NS,
    lambda: True,
    lambda: SECOND_NS,
    lambda _kind, _seen: False,
    lambda: SECOND_NS,
)


class _Store:
    """Records the calls; watches wait until they are cancelled."""

    def __init__(self) -> None:
        self.calls: list[RecordKind] = []
        self.eras = StoreEras()

    async def list_records(
        self, kind: RecordKind, *, allow_stale: bool = False
    ) -> RecordSet:
        self.calls.append(kind)
        if kind is RecordKind.SERVERS:
            return RecordSet(StoreRevision(0, 1), {'s1': _SERVER})
        if kind is not RecordKind.CONFIGURATION:
            return RecordSet(StoreRevision(0, 1), {})
        record = decode_record(kind, 'main', make_configuration())
        return RecordSet(StoreRevision(0, 1), {'main': record})

    async def watch_records(
        self,
        kind: RecordKind,
        after: StoreRevision,
        wait_s: float,
        on_response_start: Callable[[], None],
    ) -> RecordSet:
        await asyncio.sleep(_BOUND_S)
        return RecordSet(after, {})

    async def register(self, instance: ListedInstance) -> None:
        raise AssertionError(instance)


def _entry(name: str, now: int) -> PresenceHeartbeat:
    return PresenceHeartbeat(
        name,
        1,
        now,
        'a1',
        f'ip {name}',
        f'{name}:80',
        is_ready=True,
        cores=2.2,
        next_heartbeat_in=SECOND_NS,
    )


def test_standby_calls_nobody_until_it_is_needed() -> None:
    """Guard against load on the store by daemons that need not follow it."""

    async def scenario() -> None:
        presence = PresenceState('ip me', is_complete=True)
        state, store = build_state(_SETTINGS, 0), _Store()
        store_follower = StoreFollower(
            state,
            store,
            StoreAvailabilityTracker(presence, lambda: BOUNDS),
            lambda: 0,
            Random(1),
            lambda: None,
            _RULES,
        )
        standby = Standby(
            EntryRole(0),
            store_follower,
            presence,
            state.quotas.whole_shares,
            lambda: _OWN,
        )
        for name in ('l1', 'l2'):
            record_heartbeat(presence, _entry(name, 1), 0)
        now = 5 * SECOND_NS
        await standby.update_role(state, now)
        assert standby.is_standby
        assert count_shares(state.quotas.whole_shares, WHOLE_SHARE_TERM_NS) == 0
        assert not store.calls
        del presence.peers['l2']
        await standby.update_role(state, now)
        async with asyncio.timeout(_BOUND_S):
            while not state.is_loaded:
                await asyncio.sleep(0.01)
        assert not standby.is_standby
        assert state.placement.servers
        record_heartbeat(presence, evolve(_entry('l2', 2)), now)
        await standby.update_role(state, 10 * now)
        assert standby.is_standby
        assert state.table is None
        assert not state.is_loaded
        # A server that leaves in the meantime must not be used later.
        assert not state.placement.servers

    asyncio.run(scenario())
