"""Detects regions that have failed as a whole."""

from typing import Final

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.lookups.interface import EntrySource
from geraniumshelf_daemon.platform.interface import Platform

# Time without a live instance after which a region may count as failed. It
# covers a restart of the region's daemons or of this daemon.
_FAILURE_DELAY_S: Final = 10


class RegionFailureDetector:
    """Detects regions that have no live instance.

    A region counts as failed only if neither this daemon nor the platform has
    a live instance there. Otherwise two regions that have only lost contact
    with each other would each take over the other's traffic.
    """

    def __init__(self, entries: EntrySource, platform: Platform) -> None:
        """Start with no failed regions."""
        self._entries = entries
        self._platform = platform
        self._absent_since: dict[str, Nanoseconds] = {}
        self._failed: frozenset[str] = frozenset()

    @property
    def failed(self) -> frozenset[str]:
        """Return the regions that had failed at the last refresh."""
        return self._failed

    async def refresh(
        self, configuration: Configuration, now: Nanoseconds
    ) -> None:
        """Update the failed regions.

        Raises:
            PlatformError: If the platform's list of instances is needed and
                not available. The failed regions stay unchanged.
        """
        present = {entry.region for entry in self._entries.entries()}
        expected = {
            zone.region for zone in configuration.zones if zone.slots > 0
        }
        self._absent_since = {
            region: self._absent_since.get(region, now)
            for region in expected - present
        }
        absent = {
            region
            for region, since in self._absent_since.items()
            if now - since >= _FAILURE_DELAY_S * SECOND_NS
        }
        if absent:
            absent -= await self._listed_regions(configuration)
        self._failed = frozenset(absent)

    async def _listed_regions(self, configuration: Configuration) -> set[str]:
        regions = {zone.name: zone.region for zone in configuration.zones}
        listed = await self._platform.list_instances()
        return {
            regions[instance.zone]
            for instance in listed
            if instance.zone in regions
        }
