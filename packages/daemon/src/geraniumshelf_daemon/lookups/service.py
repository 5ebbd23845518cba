"""Serves look-ups of callers."""

import json
import socket
from typing import Final

from attrs import frozen

from geraniumshelf_core.configuration.model import ClientBlock, Configuration
from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.lookup.answer import (
    EntryInstance,
    destination_zones,
    order_entries,
)
from geraniumshelf_core.lookup.point import block_point
from geraniumshelf_core.lookup.shares import region_at
from geraniumshelf_core.lookup.withdrawal import EntryRotation, choose_rotation
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.lookups.client_regions import (
    ClientRegions,
    build_client_regions,
)
from geraniumshelf_daemon.lookups.interface import (
    EntrySource,
    LookupResponse,
    PlanSource,
)
from geraniumshelf_daemon.replication.interface import ConfigurationSource

_RETRY_AFTER_S: Final = 1

# Limits the memory of cached responses. They are small and quick to encode, so
# all of them are removed when the limit is reached.
_MAX_CACHED_RESPONSES: Final = 10_000


@frozen
class _ResponseKey:
    """The values that determine the content of a response."""

    service: str
    destination: str
    source: str
    rotation: EntryRotation


class LookupService:
    """Selects the entry instances that clients should use."""

    def __init__(
        self,
        configurations: ConfigurationSource,
        plans: PlanSource,
        entries: EntrySource,
        home_region: str,
    ) -> None:
        """Start without cached responses.

        Args:
            configurations: Source of the configuration in force.
            plans: Source of the plans in force.
            entries: Source of the live entry instances.
            home_region: Region of this daemon. Clients outside all declared
                blocks count as clients of this region.
        """
        self._configurations = configurations
        self._plans = plans
        self._entries = entries
        self._home_region = home_region
        self._blocks: tuple[ClientBlock, ...] = ()
        self._client_regions: ClientRegions = build_client_regions(())
        self._source_versions = (0, 0, 0)
        self._ttls_s: dict[str, int] = {}
        self._usable_entries: tuple[EntryInstance, ...] = ()
        self._zones_by_region: dict[str, tuple[str, ...]] = {}
        self._cached_responses: dict[_ResponseKey, LookupResponse] = {}

    def look_up(
        self, service: str, client: str, now: Nanoseconds
    ) -> LookupResponse:
        """Return the response for a client address.

        Args:
            service: Service name.
            client: IP address of the client. Addresses other than IPv4 count
                as outside all blocks.
            now: Current time, nanoseconds.

        Raises:
            RequestRefused: ``UNKNOWN_SERVICE``, or ``NOT_READY`` while there
                is no configuration, plan or live entry instance.
        """
        self._refresh()
        if service not in self._ttls_s:
            raise RequestRefused(
                ResultCode.UNKNOWN_SERVICE,
                'the configuration has no service of this name',
            )
        source, block = self._locate_client(client)
        plan = self._plans.plan(service)
        if plan is None or not self._usable_entries:
            raise _not_ready('no plan received or no live entry instance known')
        point, client_number = block_point(service, block)
        destination = region_at(plan.shares_of(source), point)
        rotation = choose_rotation(
            self._zones_of(destination), dict(plan.withdrawn), client_number
        )
        return self._find_or_encode(
            _ResponseKey(service, destination, source, rotation)
        )

    def region_of(self, client: str) -> str:
        """Return the region of a client address.

        Raises:
            RequestRefused: ``NOT_READY`` while there is no configuration.
        """
        self._refresh()
        return self._locate_client(client)[0]

    def _refresh(self) -> None:
        versions = (
            self._configurations.revision,
            self._plans.version,
            self._entries.version,
        )
        configuration = self._configurations.configuration
        if configuration is None:
            raise _not_ready('no configuration received')
        if versions == self._source_versions:
            return
        self._rebuild(configuration)
        self._source_versions = versions

    def _rebuild(self, configuration: Configuration) -> None:
        # Building the block table takes long, and most configuration
        # revisions don't change the blocks.
        if configuration.blocks != self._blocks:
            self._client_regions = build_client_regions(configuration.blocks)
            self._blocks = configuration.blocks
        self._ttls_s = {
            service.name: service.lookup_ttl_s
            for service in configuration.services
        }
        self._usable_entries = tuple(
            entry for entry in self._entries.entries() if not entry.is_leaving
        )
        self._zones_by_region.clear()
        self._cached_responses.clear()

    def _locate_client(self, client: str) -> tuple[str, bytes]:
        try:
            packed = socket.inet_pton(socket.AF_INET, client)
        except (OSError, ValueError):
            return self._home_region, client.encode('utf-8', 'replace')
        # The share point is derived from the address, not from the block: a
        # region may be declared as a single block, which would move as a
        # whole.
        region = self._client_regions.region_of(int.from_bytes(packed, 'big'))
        return region or self._home_region, packed

    def _zones_of(self, destination: str) -> tuple[str, ...]:
        zones = self._zones_by_region.get(destination)
        if zones is None:
            zones = destination_zones(self._usable_entries, destination)
            self._zones_by_region[destination] = zones
        return zones

    def _find_or_encode(self, key: _ResponseKey) -> LookupResponse:
        cached = self._cached_responses.get(key)
        if cached is None:
            if len(self._cached_responses) >= _MAX_CACHED_RESPONSES:
                self._cached_responses.clear()
            cached = _encode(
                key, self._usable_entries, self._ttls_s[key.service]
            )
            self._cached_responses[key] = cached
        return cached


def _encode(
    key: _ResponseKey, entries: tuple[EntryInstance, ...], ttl_s: int
) -> LookupResponse:
    omitted = key.rotation.omitted
    kept = [entry for entry in entries if entry.zone not in omitted]
    ordered = order_entries(
        kept or entries, key.destination, key.source, key.rotation.rotation
    )
    document = {
        'service': key.service,
        'ttl_s': ttl_s,
        'entries': [
            {
                'address': entry.caller_address,
                'zone': entry.zone,
                'region': entry.region,
                'request_id_prefix': entry.request_id_prefix,
            }
            for entry in ordered
        ],
    }
    return LookupResponse(json.dumps(document).encode(), ttl_s)


def _not_ready(detail: str) -> RequestRefused:
    return RequestRefused(
        ResultCode.NOT_READY, detail, retry_after_s=_RETRY_AFTER_S
    )
