"""Tests that a slot has one holder, also with lost responses and outages."""

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


class FakePlatform:
    """A platform in memory that can lose responses and be unreachable."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.version = 0
        self.is_down = False
        self.loses_next_response = False

    def _check_reachable(self) -> None:
        if self.is_down:
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'down')

    async def get(self, name: str) -> StoredObject:
        self._check_reachable()
        if name not in self.objects:
            raise PlatformError(ResultCode.OBJECT_MISSING, name)
        return self.objects[name]

    async def list_objects(self, prefix: str) -> Snapshot:
        self._check_reachable()
        found = [
            stored
            for name, stored in self.objects.items()
            if name.startswith(prefix)
        ]
        return Snapshot(self.version, tuple(found))

    async def put(
        self, name: str, content: bytes, expected_version: int | None
    ) -> int:
        self._check_reachable()
        stored = self.objects.get(name)
        if (stored.version if stored else 0) != expected_version:
            raise PlatformError(ResultCode.VERSION_CONFLICT, name)
        self.version += 1
        self.objects[name] = StoredObject(name, self.version, content)
        if self.loses_next_response:
            self.loses_next_response = False
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'lost')
        return self.version

    async def delete(self, name: str, expected_version: int | None) -> None:
        self._check_reachable()
        if self.objects[name].version != expected_version:
            raise PlatformError(ResultCode.VERSION_CONFLICT, name)
        self.objects.pop(name)


@define(eq=False)
class FakeSource:
    """A configuration of one zone with a number of slots."""

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


class ClaimHarness:
    """A platform, a clock and any number of claimants."""

    def __init__(self) -> None:
        self.now = 10**12
        self.platform = FakePlatform()

    def claims(
        self, address: str, incarnation: int, source: FakeSource | None = None
    ) -> SlotClaims:
        own = Claim(address, address, incarnation, 0)
        return SlotClaims(
            'a', own, lambda: self.now, self.platform, source or FakeSource()
        )

    def advance_time(self, seconds: int, *claimants: SlotClaims) -> None:
        for _ in range(seconds // 60):
            self.now += 60 * SECOND_NS
            for claimant in claimants:
                step(claimant)


def step(claims: SlotClaims) -> None:
    try:
        asyncio.run(claims.step())
    except PlatformError:
        return


@pytest.fixture
def harness() -> ClaimHarness:
    return ClaimHarness()


@pytest.mark.parametrize('loses_response', [False, True])
def test_claim_is_used_after_quarantine(
    harness: ClaimHarness, loses_response: bool
) -> None:
    """A former holder may have lent the floor, and a response may be lost."""
    claims = harness.claims('1:1', 5)
    harness.platform.loses_next_response = loses_response
    step(claims)
    assert claims.slot == 'a/0'
    assert claims.usable_slots() == ()
    harness.now += QUARANTINE_NS
    assert claims.usable_slots() == ('a/0',)


def test_same_address_takes_over_at_once(harness: ClaimHarness) -> None:
    """Otherwise a restarted daemon would have no floor for a day."""
    former = harness.claims('1:1', 5)
    step(former)
    successor = harness.claims('1:1', 6)
    step(successor)
    assert successor.slot == 'a/0'
    step(former)
    assert not former.slot


def test_other_address_waits_until_the_holder_has_stopped(
    harness: ClaimHarness,
) -> None:
    """Two holders of a slot would admit twice its floor."""
    holder = harness.claims('1:1', 5)
    step(holder)
    other = harness.claims('2:2', 6)
    harness.advance_time(HOLD_S // 2, other)
    assert not other.slot
    harness.advance_time(HOLD_S, holder, other)
    assert holder.usable_slots()
    assert not other.slot
    while not other.slot:
        harness.advance_time(60, other)
        assert not (other.slot and holder.usable_slots())
    step(holder)
    assert not holder.slot


def test_outage_does_not_count_as_observation(harness: ClaimHarness) -> None:
    """A holder can't renew while the platform is down for every daemon.

    Time in the outage must not count as time without a renewal.
    """
    step(harness.claims('1:1', 5))
    other = harness.claims('2:2', 6)
    step(other)
    harness.platform.is_down = True
    harness.advance_time(2 * HOLD_S, other)
    harness.platform.is_down = False
    step(other)
    assert not other.slot


def test_holder_goes_on_in_an_outage_until_the_margin(
    harness: ClaimHarness,
) -> None:
    """An outage of the platform must not reduce the floors to zero."""
    holder = harness.claims('1:1', 5)
    step(holder)
    harness.platform.is_down = True
    harness.advance_time(HOLD_S - 120, holder)
    assert holder.usable_slots()
    harness.now += 119 * SECOND_NS
    assert not holder.usable_slots()


@pytest.mark.parametrize('loses_response', [False, True])
def test_renewal_outlives_a_lost_answer(
    harness: ClaimHarness, loses_response: bool
) -> None:
    """A holder must recognise its own renewal after its response was lost.

    Otherwise it would give up the slot as claimed by another daemon.
    """
    holder = harness.claims('1:1', 5)
    step(holder)
    harness.advance_time(3500, holder)
    harness.platform.loses_next_response = loses_response
    harness.advance_time(2 * HOLD_S, holder)
    assert holder.usable_slots()


def test_release_frees_the_slot(harness: ClaimHarness) -> None:
    """A slot must not stay claimed for a day after a graceful stop."""
    holder = harness.claims('1:1', 5)
    step(holder)
    asyncio.run(holder.release())
    other = harness.claims('2:2', 6)
    step(other)
    assert other.slot == 'a/0'


def test_slot_is_sought_when_the_first_configuration_comes(
    harness: ClaimHarness,
) -> None:
    """A daemon started before any configuration must not wait for a retry.

    It used to claim its slot only at the next search, up to 5 s later.
    """
    source = FakeSource(revision=0)
    claims = harness.claims('1:1', 5, source)

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


def test_claims_of_another_layout_are_seen_until_unused(
    harness: ClaimHarness,
) -> None:
    """A holder that is cut off may still use the floor of an older layout."""
    sources = [FakeSource(slots=2), FakeSource(slots=2)]
    first, second = (
        harness.claims(f'{number}:1', number, source)
        for number, source in enumerate(sources)
    )
    for claimant in (first, second, first):
        step(claimant)
        assert claimant.differing_claims(1) == DifferingClaims({}, 0)
    sources[1].slots, sources[1].revision = 3, 2
    assert first.differing_claims(2) is None
    step(second)
    assert second.differing_claims(2) == DifferingClaims(
        {'a/0': 1}, harness.now
    )
    third = harness.claims('3:1', 3, sources[0])
    sources[0].slots, sources[0].revision = 3, 3
    step(third)
    assert third.differing_claims(3) == DifferingClaims({'a/0': 1}, harness.now)
    step(first)
    harness.now += 1
    step(second)
    step(third)
    assert second.differing_claims(2) == DifferingClaims({}, 0)
    assert third.differing_claims(3) == DifferingClaims({}, 0)


def test_claim_unchanged_for_the_hold_time_counts_as_unused(
    harness: ClaimHarness,
) -> None:
    """The claim of an instance that is gone must not block a layout."""
    source = FakeSource(slots=2)
    former = harness.claims('1:1', 1, source)
    step(former)
    other = harness.claims('2:2', 2, FakeSource(slots=3, revision=2))
    step(other)
    harness.advance_time(60, other)
    while former.usable_slots():
        assert other.differing_claims(2) == DifferingClaims({'a/0': 1}, 10**12)
        harness.advance_time(60, other)
    harness.advance_time(120, other)
    assert other.differing_claims(2) == DifferingClaims({}, 0)
    step(former)
    assert not former.slot
