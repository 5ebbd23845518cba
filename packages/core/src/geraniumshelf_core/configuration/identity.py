"""Identity and order of configuration entries."""

from typing import Any, Final

from attrs import evolve

from geraniumshelf_core.configuration.model import (
    ClientBlock,
    Configuration,
    Key,
    Link,
    TrafficWeight,
    WithdrawnKey,
)

COLLECTIONS: Final = (
    'services',
    'regions',
    'zones',
    'servers',
    'links',
    'accounts',
    'keys',
    'weights',
    'blocks',
    'withdrawn',
)


def identity_of(entry: Any) -> tuple[str, ...]:
    """Return the values that identify an entry within its collection."""
    match entry:
        case Key():
            return (entry.label,)
        case WithdrawnKey():
            return (entry.digest,)
        case Link():
            return entry.regions
        case TrafficWeight():
            return (entry.service, entry.source, entry.destination)
        case ClientBlock():
            return (entry.network,)
        case _:
            return (entry.name,)


def sort_entries(configuration: Configuration) -> Configuration:
    """Return the configuration with all collections sorted by identity."""
    entries: dict[str, Any] = {
        kind: tuple(sorted(getattr(configuration, kind), key=identity_of))
        for kind in COLLECTIONS
    }
    return evolve(
        configuration,
        drained=tuple(sorted(configuration.drained)),
        lowered=tuple(sorted(configuration.lowered)),
        **entries,
    )
