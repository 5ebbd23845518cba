"""Answers to look-ups."""

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
from geraniumshelf_daemon.lookups.interface import (
    EntrySource,
    LookupAnswer,
    PlanSource,
)
from geraniumshelf_daemon.lookups.sites import ClientSites, build_sites
from geraniumshelf_daemon.replication.interface import ConfigurationSource

_RETRY_AFTER_S: Final = 1

# Bounds the memory of prepared answers; they are small and quick to prepare.
_CACHE_LIMIT: Final = 10_000


@frozen
class _Answer:
    """What decides the content of an answer."""

    service: str
    destination: str
    source: str
    turn: EntryRotation


class LookupService:
    """Answers which entry instances a client should use."""

    def __init__(
        self,
        configurations: ConfigurationSource,
        plans: PlanSource,
        entries: EntrySource,
        home_region: str,
    ) -> None:
        """Start without prepared answers.

        Args:
            configurations: The configuration in force.
            plans: The plans in force.
            entries: The live entry instances.
            home_region: Region of this daemon, taken for clients outside all
                declared blocks.
        """
        self._configurations = configurations
        self._plans = plans
        self._entries = entries
        self._home_region = home_region
        self._blocks: tuple[ClientBlock, ...] = ()
        self._sites: ClientSites = build_sites(())
        self._state = (0, 0, 0)
        self._ttls: dict[str, int] = {}
        self._members: tuple[EntryInstance, ...] = ()
        self._zones: dict[str, tuple[str, ...]] = {}
        self._prepared: dict[_Answer, LookupAnswer] = {}

    def answer(
        self, service: str, client: str, now: Nanoseconds
    ) -> LookupAnswer:
        """Return the answer for a client address.

        Args:
            service: Service name.
            client: IP address of the client; one that is not IPv4 counts as
                outside all blocks.
            now: Current time, nanoseconds.

        Raises:
            RequestRefused: ``UNKNOWN_SERVICE``, or ``NOT_READY`` while there
                is no configuration, plan or live entry instance.
        """
        self._refresh()
        if service not in self._ttls:
            raise RequestRefused(
                ResultCode.UNKNOWN_SERVICE, 'no service has this name'
            )
        source, block = self._locate(client)
        plan = self._plans.plan(service)
        if plan is None or not self._members:
            raise _not_ready('no plan or no live entry instance yet')
        point, turn = block_point(service, block)
        destination = region_at(plan.shares_of(source), point)
        order = choose_rotation(
            self._zones_of(destination), dict(plan.withdrawn), turn
        )
        return self._prepare(_Answer(service, destination, source, order))

    def region_of(self, client: str) -> str:
        """Return the region of a client address.

        Raises:
            RequestRefused: ``NOT_READY`` while there is no configuration.
        """
        self._refresh()
        return self._locate(client)[0]

    def _refresh(self) -> None:
        state = (
            self._configurations.revision,
            self._plans.version,
            self._entries.version,
        )
        configuration = self._configurations.configuration
        if configuration is None:
            raise _not_ready('no configuration yet')
        if state == self._state:
            return
        self._adopt(configuration)
        self._state = state

    def _adopt(self, configuration: Configuration) -> None:
        # Building the table takes long; most revisions leave blocks alone.
        if configuration.blocks != self._blocks:
            self._sites = build_sites(configuration.blocks)
            self._blocks = configuration.blocks
        self._ttls = {
            service.name: service.lookup_ttl_s
            for service in configuration.services
        }
        self._members = tuple(
            entry for entry in self._entries.entries() if not entry.is_leaving
        )
        self._zones.clear()
        self._prepared.clear()

    def _locate(self, client: str) -> tuple[str, bytes]:
        try:
            packed = socket.inet_pton(socket.AF_INET, client)
        except (OSError, ValueError):
            return self._home_region, client.encode('utf-8', 'replace')
        # The point is that of the address: a region may be one block.
        region = self._sites.region_of(int.from_bytes(packed, 'big'))
        return region or self._home_region, packed

    def _zones_of(self, destination: str) -> tuple[str, ...]:
        zones = self._zones.get(destination)
        if zones is None:
            zones = destination_zones(self._members, destination)
            self._zones[destination] = zones
        return zones

    def _prepare(self, content: _Answer) -> LookupAnswer:
        prepared = self._prepared.get(content)
        if prepared is None:
            if len(self._prepared) >= _CACHE_LIMIT:
                self._prepared.clear()
            prepared = _encode(
                content, self._members, self._ttls[content.service]
            )
            self._prepared[content] = prepared
        return prepared


def _encode(
    content: _Answer, members: tuple[EntryInstance, ...], ttl_s: int
) -> LookupAnswer:
    turn = content.turn
    kept = [entry for entry in members if entry.zone not in turn.omitted]
    ordered = order_entries(
        kept or members, content.destination, content.source, turn.rotation
    )
    document = {
        'service': content.service,
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
    return LookupAnswer(json.dumps(document).encode(), ttl_s)


def _not_ready(detail: str) -> RequestRefused:
    return RequestRefused(
        ResultCode.NOT_READY, detail, retry_after_s=_RETRY_AFTER_S
    )
