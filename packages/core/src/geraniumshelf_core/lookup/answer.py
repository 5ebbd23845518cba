"""The order of entry instances in a look-up response."""

from collections.abc import Iterable, Sequence
from itertools import chain, zip_longest
from typing import Any, Final

from attrs import frozen

# A caller needs only a few fallback addresses. The limits bound the size of
# responses in large fleets.
MAX_PREFERRED: Final = 8
MAX_FALLBACK: Final = 8


@frozen
class EntryInstance:
    """An entry instance that callers may use.

    Attributes:
        instance: Instance name.
        zone: Its availability zone.
        region: Its region.
        caller_address: IP address and port for callers.
        request_id_prefix: Prefix of the request ids that it decides on.
        is_leaving: Whether it is shutting down.
    """

    instance: str
    zone: str
    region: str
    caller_address: str
    request_id_prefix: str
    is_leaving: bool = False


def order_entries(
    entries: Iterable[EntryInstance],
    destination: str,
    client_region: str,
    rotation: int,
) -> tuple[EntryInstance, ...]:
    """Return the entries of a response in order of preference.

    Args:
        entries: All live entries; leaving ones are left out.
        destination: Region that the plan has selected.
        client_region: Region nearest to the client, the first fallback.
        rotation: Number of places by which to rotate, which spreads the load.
    """
    by_region: dict[str, list[EntryInstance]] = {}
    for entry in sorted(entries, key=_sort_key):
        if not entry.is_leaving:
            by_region.setdefault(entry.region, []).append(entry)
    preferred = _rotate(by_region.pop(destination, []), rotation)
    near = _rotate(by_region.pop(client_region, []), rotation)
    far = [_rotate(group, rotation) for _, group in sorted(by_region.items())]
    rows = zip_longest(*_rotate(far, rotation))
    mixed = filter(None, chain.from_iterable(rows))
    return (*preferred[:MAX_PREFERRED], *[*near, *mixed][:MAX_FALLBACK])


def destination_zones(
    entries: Iterable[EntryInstance], destination: str
) -> tuple[str, ...]:
    """Return the zone of each usable entry of a region, in order."""
    return tuple(
        sorted(
            entry.zone
            for entry in entries
            if not entry.is_leaving and entry.region == destination
        )
    )


def _sort_key(entry: EntryInstance) -> tuple[str, str]:
    return entry.zone, entry.instance


def _rotate(group: Sequence[Any], rotation: int) -> list[Any]:
    if not group:
        return []
    cut = rotation % len(group)
    return [*group[cut:], *group[:cut]]
