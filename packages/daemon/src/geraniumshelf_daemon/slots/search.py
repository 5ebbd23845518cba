"""The search for a slot that may be claimed."""

from typing import Final

from attrs import Factory, define

from geraniumshelf_core.allowance.claims import (
    ClaimObservation,
    may_take_over,
    observe_claim,
)
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.platform.interface import Platform, StoredObject
from geraniumshelf_daemon.slots.objects import (
    PREFIX,
    decode_claim,
    object_name,
)

# Three checks a minute apart; a longer gap was an outage.
_LONGEST_GAP_S: Final = 180


@define(eq=False)
class SlotSearch:
    """Remembers the claims of the own zone."""

    _zone: str
    _address: str
    _platform: Platform
    _sightings: dict[str, ClaimObservation] = Factory(dict)

    async def candidates(
        self, configuration: Configuration, now: Nanoseconds
    ) -> list[tuple[str, StoredObject | None]]:
        """Return the slots that may be claimed, with their objects.

        The slot of the own address comes first, then free ones.

        Raises:
            PlatformError: The platform failed.
        """
        snapshot = await self._platform.list_objects(f'{PREFIX}{self._zone}/')
        claims = {stored.name: stored for stored in snapshot.objects}
        slots = [
            f'{zone.name}/{number}'
            for zone in configuration.zones
            if zone.name == self._zone
            for number in range(zone.slots)
        ]
        found = [(slot, claims.get(object_name(slot))) for slot in slots]
        hold_time = configuration.slot_hold_s * SECOND_NS
        return sorted(
            (
                (slot, stored)
                for slot, stored in found
                if self._may_claim(slot, stored, hold_time, now)
            ),
            key=lambda pair: self._order(pair[1]),
        )

    def _order(self, stored: StoredObject | None) -> int:
        claim = decode_claim(stored)
        if claim is None:
            return 1
        return 0 if claim.address == self._address else 2

    def _may_claim(
        self,
        slot: str,
        stored: StoredObject | None,
        hold_time: Nanoseconds,
        now: Nanoseconds,
    ) -> bool:
        claim = decode_claim(stored)
        if stored is None or claim is None:
            return stored is None
        sighting = observe_claim(
            self._sightings.get(slot),
            stored.version,
            claim,
            _LONGEST_GAP_S * SECOND_NS,
            now,
        )
        self._sightings[slot] = sighting
        return may_take_over(sighting, self._address, hold_time)
