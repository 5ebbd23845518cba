"""Configuration files as entries that are not yet read."""

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

_SETTINGS: Final = ('deployment', 'slot_hold_s')


@frozen
class SourceText:
    """The text of a configuration file.

    Attributes:
        file: File name, for messages.
        text: TOML.
    """

    file: str
    text: str = field(repr=False)


@frozen
class Document:
    """A file whose entries are known by their identities.

    Attributes:
        top: The top level.
        entries: The entries of each kind.
    """

    top: Table
    entries: dict[str, dict[Identity, Table]]


def read_document(source: SourceText, *extra: str) -> Document:
    """Parse a file; ``extra`` are further keys allowed at the top level.

    Raises:
        ConfigurationError: For syntax, unknown keys and duplicates.
    """
    top = Table(SourceLocation(source.file, 'top level'), _parse(source))
    top.allow_only(*extra, *_SETTINGS, *ENTRY_KINDS)
    return Document(
        top, {kind: _entries(kind, top.tables(kind)) for kind in ENTRY_KINDS}
    )


def _parse(source: SourceText) -> dict[str, Any]:
    try:
        return tomllib.loads(source.text)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(
            ResultCode.CONFIGURATION_SYNTAX,
            f'{source.file}: not TOML: {str(error)[:100]!r}',
        ) from error


def _entries(kind: str, tables: tuple[Table, ...]) -> dict[Identity, Table]:
    entries: dict[Identity, Table] = {}
    for table in tables:
        identity = _identity(kind, table)
        named = _named(kind, identity, table)
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


def _identity(kind: str, table: Table) -> Identity:
    return tuple(
        part
        for key in ENTRY_KINDS[kind].identity
        for part in _identity_part(table, key)
    )


def _identity_part(table: Table, key: str) -> Identity:
    match key:
        case 'between':
            return tuple(sorted(table.texts(key, 'two regions')))
        case 'network':
            return (table.text(key, NETWORK_PATTERN, NETWORK_RULE),)
        case _:
            return (table.name(key),)


def _named(kind: str, identity: Identity, table: Table) -> Table:
    shown = [part for part in identity if NAME_PATTERN.fullmatch(part)]
    if len(shown) < len(identity):
        return table
    label = ' '.join(shown)
    return Table(
        SourceLocation(table.location.file, f'{kind}[{label}]'), table.contents
    )
