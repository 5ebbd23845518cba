"""Detects regions in which a service has no working backend server."""

from collections.abc import Iterable, Sequence
from typing import Final

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.loads.queries import (
    declared_capacities,
    region_supplies,
)
from geraniumshelf_core.loads.state import LoadTable
from geraniumshelf_core.lookup.answer import EntryInstance
from geraniumshelf_core.plan.headroom import is_recent
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Time without a working server after which an upstream counts as failed. It
# covers a restart of all its servers.
_FAILURE_DELAY_S: Final = 10


class UpstreamFailureDetector:
    """Detects upstreams without a working server.

    An upstream is all backend servers of a service in a region. It counts as
    failed only while an entry instance of the region reports traffic: without
    such reports nothing is known about the region.
    """

    def __init__(self, load_table: LoadTable) -> None:
        """Start with no failed upstreams."""
        self._load_table = load_table
        self._silent_since: dict[tuple[str, str], Nanoseconds] = {}

    def refresh(
        self,
        configuration: Configuration,
        service: str,
        entries: Sequence[EntryInstance],
        now: Nanoseconds,
    ) -> frozenset[str]:
        """Update the state and return the regions whose upstream has failed.

        Args:
            configuration: The configuration in force.
            service: Service name.
            entries: The live entry instances.
            now: Current time, nanoseconds.
        """
        supplies = region_supplies(
            self._load_table, configuration, service, now
        )
        working = {
            region for region, supply in supplies.items() if supply.capacity
        }
        declared = declared_capacities(configuration, service).keys()
        silent = declared & self._reporting_regions(entries, now) - working
        self._record_silence(service, silent, declared - silent, now)
        return frozenset(
            region
            for region in silent
            if now - self._silent_since[service, region]
            >= _FAILURE_DELAY_S * SECOND_NS
        )

    def _record_silence(
        self,
        service: str,
        silent: Iterable[str],
        not_silent: Iterable[str],
        now: Nanoseconds,
    ) -> None:
        for name in silent:
            self._silent_since.setdefault((service, name), now)
        for other in not_silent:
            self._silent_since.pop((service, other), None)

    def _reporting_regions(
        self, entries: Sequence[EntryInstance], now: Nanoseconds
    ) -> set[str]:
        demands = self._load_table.demands
        return {
            entry.region
            for entry in entries
            if entry.instance in demands
            and is_recent(demands[entry.instance].received_at, now)
        }
