"""Validation rules that involve several entries of a configuration."""

import ipaddress
from collections import defaultdict
from collections.abc import Collection
from itertools import pairwise
from typing import Any, Final

from geraniumshelf_core.configuration.merge import MergedDocuments, MergedEntry
from geraniumshelf_core.configuration.tables import (
    SourceLocation,
    configuration_error,
)
from geraniumshelf_core.errors import ResultCode
from geraniumshelf_core.units import PARTS_PER_MILLION

_REFERENCES = (
    ('zones', 'region', 'regions'),
    ('servers', 'service', 'services'),
    ('servers', 'zone', 'zones'),
    ('keys', 'account', 'accounts'),
    ('weights', 'service', 'services'),
    ('weights', 'source', 'regions'),
    ('weights', 'destination', 'regions'),
    ('blocks', 'region', 'regions'),
)

_MAX_SHOWN_LENGTH: Final = 120


def validate(merged: MergedDocuments) -> None:
    """Check references, duplicates, sites of overlays and sums of shares.

    Raises:
        ConfigurationError: For the first rule that is violated.
    """
    for kind, key, target in _REFERENCES:
        _check_references(merged, kind, key, target)
    _check_links(merged)
    _check_sites(merged)
    _check_unique(merged, 'servers', 'address')
    _check_unique(merged, 'keys', 'digest')
    _check_zone_names(merged)
    _check_regions_have_zones(merged)
    _check_prefixes(merged)
    _check_weights(merged)
    _check_blocks(merged)


def _entries_of_kind(
    merged: MergedDocuments, kind: str
) -> Collection[MergedEntry]:
    return merged.entries[kind].values()


def _check_references(
    merged: MergedDocuments, kind: str, key: str, target: str
) -> None:
    for item in _entries_of_kind(merged, kind):
        _check_reference(merged, item, key, getattr(item.entry, key), target)


def _check_reference(
    merged: MergedDocuments,
    entry: MergedEntry,
    key: str,
    found: str,
    target: str,
) -> None:
    if (found,) not in merged.entries[target]:
        known = ', '.join(' '.join(name) for name in merged.entries[target])
        raise configuration_error(
            ResultCode.DANGLING_REFERENCE,
            entry.location,
            key,
            found,
            f'a name in {target}: {known[:_MAX_SHOWN_LENGTH] or "none"}',
        )


def _check_links(merged: MergedDocuments) -> None:
    for item in _entries_of_kind(merged, 'links'):
        for region in item.entry.regions:
            _check_reference(merged, item, 'between', region, 'regions')


def _check_sites(merged: MergedDocuments) -> None:
    for kind, key in (
        ('zones', 'region'),
        ('servers', 'zone'),
        ('links', 'between'),
        ('blocks', 'region'),
    ):
        for item in _entries_of_kind(merged, kind):
            if item.site:
                _check_site(merged, item, kind, key)


def _check_site(
    merged: MergedDocuments, entry: MergedEntry, kind: str, key: str
) -> None:
    if entry.site not in _regions_of(merged, kind, entry.entry):
        raise configuration_error(
            ResultCode.OUT_OF_RANGE,
            entry.location,
            key,
            _regions_of(merged, kind, entry.entry),
            f'the region of the overlay, {entry.site}',
        )


def _regions_of(
    merged: MergedDocuments, kind: str, entry: Any
) -> tuple[str, ...]:
    match kind:
        case 'links':
            return tuple(entry.regions)
        case 'servers':
            return (merged.entries['zones'][(entry.zone,)].entry.region,)
        case _:
            return (entry.region,)


def _check_unique(merged: MergedDocuments, kind: str, key: str) -> None:
    seen: dict[str, MergedEntry] = {}
    for item in _entries_of_kind(merged, kind):
        first = seen.setdefault(getattr(item.entry, key), item)
        if first is not item:
            raise _duplicate_error(
                item.location, key, getattr(item.entry, key), first
            )


def _check_zone_names(merged: MergedDocuments) -> None:
    # A drain accepts the name of a region or of a zone, so no name may denote
    # both.
    for identity, zone in merged.entries['zones'].items():
        region = merged.entries['regions'].get(identity)
        if region is not None:
            raise _duplicate_error(zone.location, 'name', identity[0], region)


def _check_regions_have_zones(merged: MergedDocuments) -> None:
    # Without this check, applying files without the overlay of a region would
    # remove all zones of the region.
    regions_with_zones = {
        zone.entry.region for zone in _entries_of_kind(merged, 'zones')
    }
    for region in _entries_of_kind(merged, 'regions'):
        if region.entry.name not in regions_with_zones:
            raise configuration_error(
                ResultCode.MISSING_KEY,
                region.location,
                'zones',
                'nothing',
                'at least one zone, in the base file or the overlay',
            )


def _check_prefixes(merged: MergedDocuments) -> None:
    for service in _entries_of_kind(merged, 'services'):
        prefixes = [route.prefix for route in service.entry.routes]
        for index, prefix in enumerate(prefixes):
            if prefix in prefixes[:index]:
                raise _duplicate_error(
                    service.location, 'prefix', prefix, service
                )


def _check_weights(merged: MergedDocuments) -> None:
    sums: defaultdict[tuple[str, str], int] = defaultdict(int)
    for weight in _entries_of_kind(merged, 'weights'):
        entry = weight.entry
        sums[entry.service, entry.source] += entry.share_ppm
    for service in _entries_of_kind(merged, 'services'):
        for region in _entries_of_kind(merged, 'regions'):
            names = (service.entry.name, region.entry.name)
            _check_sum(service, ' '.join(names), sums[names])


def _check_sum(service: MergedEntry, source: str, found: int) -> None:
    if found != PARTS_PER_MILLION:
        raise configuration_error(
            ResultCode.OUT_OF_RANGE,
            SourceLocation(service.location.file, f'weights[{source}]'),
            'share_ppm',
            f'a sum of {found}',
            f'a sum of {PARTS_PER_MILLION} for each service and source',
        )


def _check_blocks(merged: MergedDocuments) -> None:
    ranges = sorted(
        (_address_range(block.entry.network), identity)
        for identity, block in merged.entries['blocks'].items()
    )
    blocks = merged.entries['blocks']
    for (earlier, first), (later, second) in pairwise(ranges):
        if later[0] <= earlier[1]:
            raise _duplicate_error(
                blocks[second].location, 'network', second[0], blocks[first]
            )


def _address_range(network: str) -> tuple[int, int]:
    parsed = ipaddress.IPv4Network(network)
    return int(parsed.network_address), int(parsed.broadcast_address)


def _duplicate_error(
    location: SourceLocation, key: str, found: str, first: MergedEntry
) -> Exception:
    place = f'{first.location.file}: {first.location.table}'
    return configuration_error(
        ResultCode.DUPLICATE_NAME,
        location,
        key,
        found,
        f'a value that is not in use by {place}',
    )
