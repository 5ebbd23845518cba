"""Search for a slot that may be claimed."""

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
    CLAIM_PREFIX,
    decode_claim,
    object_name,
)

# Three check intervals of a minute. A longer gap between two reads means that
# the platform was out of reach, and isn't counted as time without a renewal.
_MAX_OBSERVATION_GAP_S: Final = 180


@define(eq=False)
class SlotSearch:
    """Observes the claims of the own zone and finds claimable slots."""

    _zone: str
    _address: str
    _platform: Platform
    _observations: dict[str, ClaimObservation] = Factory(dict)

    async def find_candidates(
        self, configuration: Configuration, now: Nanoseconds
    ) -> list[tuple[str, StoredObject | None]]:
        """Return the slots that may be claimed, with their stored objects.

        A slot last claimed by the own address comes first, then free slots,
        then slots whose claims may be taken over.

        Raises:
            PlatformError: The claims could not be listed.
        """
        snapshot = await self._platform.list_objects(
            f'{CLAIM_PREFIX}{self._zone}/'
        )
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
            key=lambda pair: self._claim_rank(pair[1]),
        )

    def _claim_rank(self, stored: StoredObject | None) -> int:
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
        observation = observe_claim(
            self._observations.get(slot),
            stored.version,
            claim,
            _MAX_OBSERVATION_GAP_S * SECOND_NS,
            now,
        )
        self._observations[slot] = observation
        return may_take_over(observation, self._address, hold_time)
