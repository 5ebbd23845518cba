"""Guards slots against two holders and lost answers."""

import asyncio

import pytest

from geraniumshelf_core.allowance.claims import Claim
from geraniumshelf_core.allowance.state import QUARANTINE
from geraniumshelf_core.configuration.model import Configuration, Zone
from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.platform.interface import Snapshot, StoredObject
from geraniumshelf_daemon.slots.claims import SlotClaims

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


class Source:
    """One zone with one slot."""

    revision = 1
    configuration = Configuration(
        'test', zones=(Zone('a', 'r', 1),), slot_hold_s=HOLD_S
    )


class Site:
    """A platform, a clock and any number of claimants."""

    def __init__(self) -> None:
        self.now = 10**12
        self.platform = Platform()

    def claims(self, address: str, incarnation: int) -> SlotClaims:
        own = Claim(address, address, incarnation, 0)
        return SlotClaims('a', own, lambda: self.now, self.platform, Source())

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
    site.now += QUARANTINE
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
