"""Allowance services of nine simulated daemons in virtual time.

The zones, slots and network delays are those of the Association.
"""

import asyncio
from collections.abc import Callable, Mapping
from random import Random

from attrs import Factory, define

from geraniumshelf_core.allowance.layouts import DifferingClaims
from geraniumshelf_core.configuration.model import (
    ClientAccount,
    Configuration,
    Region,
    Zone,
)
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.allowances.service import AllowanceService
from geraniumshelf_standins.peer_network import MemoryLinks

REGIONS = ('addis', 'gondar', 'hawassa')
ZONE_SLOTS = {
    f'{region}-{letter}': 2 if letter == 'a' else 1
    for region in REGIONS
    for letter in 'ab'
}
WARM_UP_S = 15
DEADLINE_S = 5
SAME_ZONE_S = 0.0005
SAME_REGION_S = 0.005
OTHER_REGION_S = 0.035
JITTER_S = 0.002


def build_configuration(accounts: dict[str, tuple[int, int]]) -> Configuration:
    """Return a configuration with the Association's zones.

    Args:
        accounts: Rate per second and burst, by name of the client account.
    """
    return Configuration(
        'trial',
        regions=tuple(Region(name) for name in REGIONS),
        zones=tuple(
            Zone(name, name.split('-')[0], slots)
            for name, slots in ZONE_SLOTS.items()
        ),
        accounts=tuple(
            ClientAccount(name, rate, burst)
            for name, (rate, burst) in accounts.items()
        ),
    )


@define(eq=False)
class FixedConfigurationSource:
    """Source of a configuration that is in force on all daemons."""

    configuration: Configuration
    revision: int = 1
    listeners: list[Callable[[Configuration], None]] = Factory(list)

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Store a listener; it is never called."""
        self.listeners.append(listener)


@define(eq=False)
class FixedMembers:
    """Table of members in which all slots are held and confirmed."""

    holders: dict[str, str]
    revision: int = 1

    def slot_holders(self) -> Mapping[str, str]:
        """Return the holder of each slot."""
        return self.holders

    def confirmed_revisions(self, after: int) -> Mapping[str, int]:
        """Return the same confirmed revision for each slot."""
        return dict.fromkeys(self.holders, self.revision)


@define
class FixedSlots:
    """The slot claim of one daemon."""

    slots: tuple[str, ...]

    def usable_slots(self) -> tuple[str, ...]:
        """Return the slot of the daemon."""
        return self.slots

    def claim_identity(self) -> tuple[str, int]:
        """Return the identity of a claim that never changes."""
        return (self.slots[0], 1)

    def differing_claims(self, since: int) -> DifferingClaims:
        """Return no claims, because all daemons use the same layout."""
        return DifferingClaims({}, 0)


class AllowanceFleet:
    """Allowance services of nine daemons that are linked in memory."""

    def __init__(self, settings: Configuration, seed: int) -> None:
        loop = asyncio.get_running_loop()
        self.clock = lambda: round(loop.time() * SECOND_NS)
        self.random = Random(seed)
        self.links = MemoryLinks(self.delay, self.random)
        self.source = FixedConfigurationSource(settings)
        holders = {
            f'{zone}/{number}': f'{zone}.{number}'
            for zone, slots in ZONE_SLOTS.items()
            for number in range(slots)
        }
        self.members = FixedMembers(holders)
        self.names = list(holders.values())
        self.services = {
            name: AllowanceService(
                name,
                self.clock,
                self.links.create_network(name),
                self.source,
                self.members,
                FixedSlots((slot,)),
            )
            for slot, name in holders.items()
        }

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay between two instances in seconds."""
        zones = [name.split('.')[0] for name in (source, target)]
        regions = [zone.split('-')[0] for zone in zones]
        delay = OTHER_REGION_S
        if zones[0] == zones[1]:
            delay = SAME_ZONE_S
        elif regions[0] == regions[1]:
            delay = SAME_REGION_S
        return delay + self.random.random() * JITTER_S
