"""Guards slots against two holders and lost answers."""

import asyncio
from collections.abc import Callable

import pytest
from attrs import Factory, define

from geraniumshelf_core.allowance.claims import Claim
from geraniumshelf_core.allowance.layouts import DifferingClaims
from geraniumshelf_core.allowance.state import QUARANTINE_NS
from geraniumshelf_core.configuration.model import Configuration, Zone
from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.platform.interface import Snapshot, StoredObject
from geraniumshelf_daemon.slots.claims import SlotClaims
from geraniumshelf_standins.virtual_time import VirtualTimeLoop

HOLD_S = 3600 * 3


class Platform:
    """Objects in memory; can lose answers and be out of reach."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.version = 0
        self.is_down = False
        self.loses_next = False

    def _reach(self) -> None:
        if self.is_down:
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'down')

    async def get(self, name: str) -> StoredObject:
        self._reach()
        if name not in self.objects:
            raise PlatformError(ResultCode.OBJECT_MISSING, name)
        return self.objects[name]

    async def list_objects(self, prefix: str) -> Snapshot:
        self._reach()
        found = [
            each
            for name, each in self.objects.items()
            if name.startswith(prefix)
        ]
        return Snapshot(self.version, tuple(found))

    async def put(
        self, name: str, content: bytes, expected_version: int | None
    ) -> int:
        self._reach()
        stored = self.objects.get(name)
        if (stored.version if stored else 0) != expected_version:
            raise PlatformError(ResultCode.VERSION_CONFLICT, name)
        self.version += 1
        self.objects[name] = StoredObject(name, self.version, content)
        if self.loses_next:
            self.loses_next = False
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'lost')
        return self.version

    async def delete(self, name: str, expected_version: int | None) -> None:
        self._reach()
        if self.objects[name].version != expected_version:
            raise PlatformError(ResultCode.VERSION_CONFLICT, name)
        self.objects.pop(name)


@define(eq=False)
class Source:
    """One zone with some slots."""

    slots: int = 1
    revision: int = 1
    listeners: list[Callable[[Configuration], None]] = Factory(list)

    @property
    def configuration(self) -> Configuration | None:
        if self.revision == 0:
            return None
        zones = (Zone('a', 'r', self.slots),)
        return Configuration('test', zones=zones, slot_hold_s=HOLD_S)

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        self.listeners.append(listener)


class Site:
    """A platform, a clock and any number of claimants."""

    def __init__(self) -> None:
        self.now = 10**12
        self.platform = Platform()

    def claims(
        self, address: str, incarnation: int, source: Source | None = None
    ) -> SlotClaims:
        own = Claim(address, address, incarnation, 0)
        return SlotClaims(
            'a', own, lambda: self.now, self.platform, source or Source()
        )

    def pass_time(self, seconds: int, *claimants: SlotClaims) -> None:
        for _ in range(seconds // 60):
            self.now += 60 * SECOND_NS
            for each in claimants:
                step(each)


def step(claims: SlotClaims) -> None:
    try:
        asyncio.run(claims.step())
    except PlatformError:
        return


@pytest.fixture
def site() -> Site:
    return Site()


@pytest.mark.parametrize('loses', [False, True])
def test_claim_is_used_after_quarantine(site: Site, loses: bool) -> None:
    """A predecessor may have lent the floor; an answer may be lost."""
    claims = site.claims('1:1', 5)
    site.platform.loses_next = loses
    step(claims)
    assert claims.slot == 'a/0'
    assert claims.usable_slots() == ()
    site.now += QUARANTINE_NS
    assert claims.usable_slots() == ('a/0',)


def test_same_address_takes_over_at_once(site: Site) -> None:
    """A restarted daemon would else lose its floor for a day."""
    former = site.claims('1:1', 5)
    step(former)
    successor = site.claims('1:1', 6)
    step(successor)
    assert successor.slot == 'a/0'
    step(former)
    assert not former.slot


def test_other_address_waits_until_the_holder_has_stopped(site: Site) -> None:
    """Two holders of a slot would admit twice its floor."""
    holder = site.claims('1:1', 5)
    step(holder)
    other = site.claims('2:2', 6)
    site.pass_time(HOLD_S // 2, other)
    assert not other.slot
    site.pass_time(HOLD_S, holder, other)
    assert holder.usable_slots()
    assert not other.slot
    while not other.slot:
        site.pass_time(60, other)
        assert not (other.slot and holder.usable_slots())
    step(holder)
    assert not holder.slot


def test_outage_does_not_count_as_observation(site: Site) -> None:
    """A holder cannot renew while the platform is down for all."""
    step(site.claims('1:1', 5))
    other = site.claims('2:2', 6)
    step(other)
    site.platform.is_down = True
    site.pass_time(2 * HOLD_S, other)
    site.platform.is_down = False
    step(other)
    assert not other.slot


def test_holder_goes_on_in_an_outage_until_the_margin(site: Site) -> None:
    """Limits must not drop to nothing when the platform is down."""
    holder = site.claims('1:1', 5)
    step(holder)
    site.platform.is_down = True
    site.pass_time(HOLD_S - 120, holder)
    assert holder.usable_slots()
    site.now += 119 * SECOND_NS
    assert not holder.usable_slots()


@pytest.mark.parametrize('loses', [False, True])
def test_renewal_outlives_a_lost_answer(site: Site, loses: bool) -> None:
    """A holder that takes its own renewal for another's would stop."""
    holder = site.claims('1:1', 5)
    step(holder)
    site.pass_time(3500, holder)
    site.platform.loses_next = loses
    site.pass_time(2 * HOLD_S, holder)
    assert holder.usable_slots()


def test_release_frees_the_slot(site: Site) -> None:
    """A planned stop must not hold a slot for a day."""
    holder = site.claims('1:1', 5)
    step(holder)
    asyncio.run(holder.release())
    other = site.claims('2:2', 6)
    step(other)
    assert other.slot == 'a/0'


def test_slot_is_sought_when_the_first_configuration_comes(
    site: Site,
) -> None:
    """A daemon that came first waited for the next search, 5 s later."""
    source = Source(revision=0)
    claims = site.claims('1:1', 5, source)

    async def start() -> float:
        loop = asyncio.get_running_loop()
        running = asyncio.create_task(claims.run())
        await asyncio.sleep(1 / 2)
        source.revision = 1
        configuration = source.configuration
        assert configuration
        for listener in source.listeners:
            listener(configuration)
        while not claims.slot:
            await asyncio.sleep(1 / 100)
        running.cancel()
        return loop.time()

    loop = VirtualTimeLoop()
    began = loop.time()
    assert loop.run_until_complete(start()) - began < 1
    loop.close()


def test_claims_of_another_layout_are_seen_until_unused(site: Site) -> None:
    """A holder that is cut off may use a share of a former layout."""
    sources = [Source(slots=2), Source(slots=2)]
    first, second = (
        site.claims(f'{number}:1', number, source)
        for number, source in enumerate(sources)
    )
    for each in (first, second, first):
        step(each)
        assert each.differing_claims(1) == DifferingClaims({}, 0)
    sources[1].slots, sources[1].revision = 3, 2
    assert first.differing_claims(2) is None
    step(second)
    assert second.differing_claims(2) == DifferingClaims({'a/0': 1}, site.now)
    third = site.claims('3:1', 3, sources[0])
    sources[0].slots, sources[0].revision = 3, 3
    step(third)
    assert third.differing_claims(3) == DifferingClaims({'a/0': 1}, site.now)
    step(first)
    site.now += 1
    step(second)
    step(third)
    assert second.differing_claims(2) == DifferingClaims({}, 0)
    assert third.differing_claims(3) == DifferingClaims({}, 0)


def test_claim_unchanged_for_the_hold_time_counts_as_unused(
    site: Site,
) -> None:
    """An instance that vanished must not stop the others for good."""
    source = Source(slots=2)
    former = site.claims('1:1', 1, source)
    step(former)
    other = site.claims('2:2', 2, Source(slots=3, revision=2))
    step(other)
    site.pass_time(60, other)
    while former.usable_slots():
        assert other.differing_claims(2) == DifferingClaims({'a/0': 1}, 10**12)
        site.pass_time(60, other)
    site.pass_time(120, other)
    assert other.differing_claims(2) == DifferingClaims({}, 0)
    step(former)
    assert not former.slot
