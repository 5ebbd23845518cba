"""Parsing of configuration files into tables indexed by identity."""

import tomllib
from typing import Any, Final

from attrs import field, frozen

from geraniumshelf_core.configuration.entries import (
    ENTRY_KINDS,
    NETWORK_PATTERN,
    NETWORK_RULE,
)
from geraniumshelf_core.configuration.tables import (
    NAME_PATTERN,
    SourceLocation,
    Table,
    configuration_error,
)
from geraniumshelf_core.errors import ConfigurationError, ResultCode

Identity = tuple[str, ...]

_TOP_LEVEL_KEYS: Final = ('deployment', 'slot_hold_s')


@frozen
class SourceText:
    """The text of a configuration file.

    Attributes:
        file: File name, for messages.
        text: Content, TOML.
    """

    file: str
    text: str = field(repr=False)


@frozen
class Document:
    """A parsed configuration file.

    Attributes:
        top: Top-level table.
        entries: Tables of each kind of entry, by identity.
    """

    top: Table
    entries: dict[str, dict[Identity, Table]]


def read_document(source: SourceText, *extra: str) -> Document:
    """Parse a file; ``extra`` are further keys allowed at the top level.

    Raises:
        ConfigurationError: For invalid TOML, unknown keys and duplicates.
    """
    top = Table(SourceLocation(source.file, 'top level'), _parse(source))
    top.allow_only(*extra, *_TOP_LEVEL_KEYS, *ENTRY_KINDS)
    return Document(
        top,
        {kind: _index_entries(kind, top.tables(kind)) for kind in ENTRY_KINDS},
    )


def _parse(source: SourceText) -> dict[str, Any]:
    try:
        return tomllib.loads(source.text)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(
            ResultCode.CONFIGURATION_SYNTAX,
            f'{source.file}: invalid TOML: {str(error)[:100]!r}',
        ) from error


def _index_entries(
    kind: str, tables: tuple[Table, ...]
) -> dict[Identity, Table]:
    entries: dict[Identity, Table] = {}
    for table in tables:
        identity = _read_identity(kind, table)
        named = _with_named_location(kind, identity, table)
        if identity in entries:
            raise configuration_error(
                ResultCode.DUPLICATE_NAME,
                named.location,
                ', '.join(ENTRY_KINDS[kind].identity),
                ' '.join(identity),
                'each entry once',
            )
        entries[identity] = named
    return entries


def _read_identity(kind: str, table: Table) -> Identity:
    return tuple(
        part
        for key in ENTRY_KINDS[kind].identity
        for part in _read_identity_values(table, key)
    )


def _read_identity_values(table: Table, key: str) -> Identity:
    match key:
        case 'between':
            return tuple(sorted(table.texts(key, 'two regions')))
        case 'network':
            return (table.text(key, NETWORK_PATTERN, NETWORK_RULE),)
        case _:
            return (table.name(key),)


def _with_named_location(kind: str, identity: Identity, table: Table) -> Table:
    shown = [part for part in identity if NAME_PATTERN.fullmatch(part)]
    if len(shown) < len(identity):
        return table
    label = ' '.join(shown)
    return Table(
        SourceLocation(table.location.file, f'{kind}[{label}]'), table.contents
    )
