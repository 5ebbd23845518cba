"""Claims a slot of the own availability zone on the platform."""

import asyncio
from collections.abc import Callable
from typing import Final

import cbor2
from attrs import asdict, define, evolve, field

from geraniumshelf_core.allowance.claims import (
    Claim,
    Sighting,
    is_renewal_due,
    may_take_over,
    may_use_floor,
    sight,
)
from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.units import SECOND_NS, Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.platform.interface import Platform, StoredObject
from geraniumshelf_daemon.replication.interface import ConfigurationSource

# One read of an own claim a minute; a claim that is missing is sought more
# often, so that a started daemon gets its floor soon.
_CHECK_PERIOD: Final[Nanoseconds] = 60 * SECOND_NS
_SEARCH_PERIOD: Final[Nanoseconds] = 5 * SECOND_NS
_PERIOD_NUMBER: Final = 3
_LONGEST_GAP: Final[Nanoseconds] = _PERIOD_NUMBER * _CHECK_PERIOD


@define
class _Held:
    """The claim that is held.

    Attributes:
        slot: ``zone/number``.
        version: Version of the object.
        claim: Its content.
        claimed_at: When it was known to be in place, nanoseconds.
        renewed_at: When the last successful write was sent, nanoseconds.
    """

    slot: str
    version: int
    claim: Claim
    claimed_at: Nanoseconds
    renewed_at: Nanoseconds


@define(eq=False)
class SlotClaims:
    """Holds at most one slot of the own zone."""

    _zone: str
    _own: Claim
    _clock: Callable[[], Nanoseconds]
    _platform: Platform
    _source: ConfigurationSource
    _held: _Held | None = field(default=None, init=False)
    _sightings: dict[str, Sighting] = field(factory=dict, init=False)
    _is_released: bool = field(default=False, init=False)

    @property
    def slot(self) -> str:
        """Return the slot held, ``zone/number``, or an empty string."""
        return self._held.slot if self._held else ''

    def usable_slots(self) -> tuple[str, ...]:
        """Return the slot if its floor may be used now."""
        held = self._held
        if held is None or not may_use_floor(
            held.claimed_at, held.renewed_at, self._hold_time(), self._clock()
        ):
            return ()
        return (held.slot,)

    async def run(self) -> None:
        """Claim and renew until cancelled or released."""
        while not self._is_released:
            try:
                await self.step()
            except PlatformError as error:
                log_event(Event.PLATFORM_LOST, str(error))
            period = _CHECK_PERIOD if self._held else _SEARCH_PERIOD
            await asyncio.sleep(ns_to_seconds(period))

    async def step(self) -> None:
        """Check the claim that is held, or seek one.

        Raises:
            PlatformError: The platform failed; the claim stays as it was.
        """
        if self._held is None:
            await self._seek()
        else:
            await self._check(self._held)

    async def release(self) -> None:
        """Free the slot at a graceful stop.

        Raises:
            PlatformError: The claim may still be in place.
        """
        self._is_released = True
        held = self._held
        self._held = None
        if held is not None:
            await self._platform.delete(_name(held.slot), held.version)
            log_event(Event.SLOT_RELEASED, held.slot)

    async def _check(self, held: _Held) -> None:
        stored = await self._read(held.slot)
        if stored is None or _decode(stored) != held.claim:
            self._adopt_or_lose(held, stored)
            return
        held.version = stored.version
        now = self._clock()
        if is_renewal_due(held.renewed_at, now):
            claim = evolve(held.claim, renewals=held.claim.renewals + 1)
            version = await self._write(held.slot, claim, held.version)
            if version is not None:
                self._held = evolve(
                    held, version=version, claim=claim, renewed_at=now
                )

    def _adopt_or_lose(self, held: _Held, stored: StoredObject | None) -> None:
        claim = _decode(stored) if stored else None
        is_own = claim is not None and (
            (claim.incarnation, claim.epoch)
            == (held.claim.incarnation, held.claim.epoch)
        )
        if claim is not None and stored is not None and is_own:
            # A renewal whose answer was lost; its time is not known, so the
            # former one stays in force.
            self._held = evolve(held, version=stored.version, claim=claim)
            return
        self._held = None
        log_event(Event.SLOT_LOST, held.slot)

    async def _seek(self) -> None:
        configuration = self._source.configuration
        if configuration is None:
            return
        numbers = [
            number
            for zone in configuration.zones
            if zone.name == self._zone
            for number in range(zone.slots)
        ]
        snapshot = await self._platform.list_objects(f'slots/{self._zone}/')
        claims = {stored.name: stored for stored in snapshot.objects}
        now = self._clock()
        slots = [f'{self._zone}/{number}' for number in numbers]
        slots.sort(key=lambda each: self._order(each, claims))
        for slot in slots:
            stored = claims.get(_name(slot))
            if self._may_claim(slot, stored, now):
                await self._claim(slot, stored)
            if self._held is not None:
                return

    def _order(self, slot: str, claims: dict[str, StoredObject]) -> int:
        """Put the own address first, then free slots."""
        stored = claims.get(_name(slot))
        claim = _decode(stored) if stored else None
        if claim is None:
            return 1
        return 0 if claim.address == self._own.address else 2

    def _may_claim(
        self, slot: str, stored: StoredObject | None, now: Nanoseconds
    ) -> bool:
        claim = _decode(stored) if stored else None
        if stored is None or claim is None:
            return stored is None
        sighting = sight(
            self._sightings.get(slot), stored.version, claim, _LONGEST_GAP, now
        )
        self._sightings[slot] = sighting
        return may_take_over(sighting, self._own.address, self._hold_time())

    async def _claim(self, slot: str, stored: StoredObject | None) -> None:
        before = _decode(stored) if stored else None
        epoch = before.epoch + 1 if before else 1
        claim = evolve(self._own, epoch=epoch, renewals=0)
        sent_at = self._clock()
        expected = stored.version if stored else 0
        version = await self._write(slot, claim, expected)
        if version is not None:
            self._held = _Held(slot, version, claim, self._clock(), sent_at)
            log_event(Event.SLOT_CLAIMED, slot, epoch=epoch)

    async def _write(
        self, slot: str, claim: Claim, expected: int
    ) -> int | None:
        """Write a claim; settles a lost answer by reading back."""
        try:
            return await self._platform.put(
                _name(slot), cbor2.dumps(asdict(claim)), expected
            )
        except PlatformError as error:
            if error.code is ResultCode.VERSION_CONFLICT:
                return None
            stored = await self._read(slot)
        if stored is not None and _decode(stored) == claim:
            return stored.version
        return None

    async def _read(self, slot: str) -> StoredObject | None:
        try:
            return await self._platform.get(_name(slot))
        except PlatformError as error:
            if error.code is ResultCode.OBJECT_MISSING:
                return None
            raise

    def _hold_time(self) -> Nanoseconds:
        configuration = self._source.configuration
        hold_s = configuration.slot_hold_s if configuration else 0
        return hold_s * SECOND_NS


def _name(slot: str) -> str:
    return f'slots/{slot}'


def _decode(stored: StoredObject) -> Claim | None:
    """Return the claim, or ``None`` for content that is not one."""
    try:
        return Claim(**cbor2.loads(stored.content or b''))
    except (TypeError, ValueError):
        return None
