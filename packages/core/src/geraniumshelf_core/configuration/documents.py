"""Configuration files as entries that are not yet read."""

import tomllib
from typing import Any, Final

from attrs import field, frozen

from geraniumshelf_core.configuration.entries import (
    KINDS,
    NETWORK_PATTERN,
    NETWORK_RULE,
)
from geraniumshelf_core.configuration.tables import (
    NAME_PATTERN,
    Table,
    Where,
    refusal,
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
    top = Table(Where(source.file, 'top level'), _parse(source))
    top.allow_only(*extra, *_SETTINGS, *KINDS)
    return Document(
        top, {kind: _entries(kind, top.tables(kind)) for kind in KINDS}
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
            raise refusal(
                ResultCode.DUPLICATE_NAME,
                named.where,
                ', '.join(KINDS[kind].identity),
                ' '.join(identity),
                'each entry once',
            )
        entries[identity] = named
    return entries


def _identity(kind: str, table: Table) -> Identity:
    return tuple(
        part
        for key in KINDS[kind].identity
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
    return Table(Where(table.where.file, f'{kind}[{label}]'), table.contents)
