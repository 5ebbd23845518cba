"""Regions whose backend servers of a service are gone."""

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

# Covers a restart of all servers of an upstream.
_ABSENT_S: Final = 10


class UpstreamSilences:
    """Finds upstreams without a working server.

    An upstream counts as failed only while the entry instances of its region
    report traffic: without them nothing is known about the region.
    """

    def __init__(self, load_table: LoadTable) -> None:
        """Start with no failed upstreams."""
        self._book = load_table
        self._since: dict[tuple[str, str], Nanoseconds] = {}

    def refresh(
        self,
        configuration: Configuration,
        service: str,
        entries: Sequence[EntryInstance],
        now: Nanoseconds,
    ) -> frozenset[str]:
        """Look again and return the regions whose upstream failed.

        Args:
            configuration: The configuration in force.
            service: Service name.
            entries: The live entry instances.
            now: Current time, nanoseconds.
        """
        supplies = region_supplies(self._book, configuration, service, now)
        working = {
            region for region, supply in supplies.items() if supply.capacity
        }
        declared = declared_capacities(configuration, service).keys()
        silent = declared & self._heard(entries, now) - working
        self._note(service, silent, declared - silent, now)
        return frozenset(
            region
            for region in silent
            if now - self._since[service, region] >= _ABSENT_S * SECOND_NS
        )

    def _note(
        self,
        service: str,
        silent: Iterable[str],
        others: Iterable[str],
        now: Nanoseconds,
    ) -> None:
        for name in silent:
            self._since.setdefault((service, name), now)
        for other in others:
            self._since.pop((service, other), None)

    def _heard(
        self, entries: Sequence[EntryInstance], now: Nanoseconds
    ) -> set[str]:
        demands = self._book.demands
        return {
            entry.region
            for entry in entries
            if entry.instance in demands
            and is_recent(demands[entry.instance].received_at, now)
        }
