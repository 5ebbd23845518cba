"""The rules by which overlays extend the base file."""

from collections.abc import Sequence
from typing import Any, Final

from attrs import define, field, frozen

from geraniumshelf_core.configuration.documents import Document, Identity
from geraniumshelf_core.configuration.entries import ENTRY_KINDS
from geraniumshelf_core.configuration.tables import (
    SourceLocation,
    Table,
    configuration_error,
)
from geraniumshelf_core.errors import ResultCode

_SHOWN_LENGTH: Final = 80
_SITE_KINDS: Final = frozenset(('zones', 'servers', 'links', 'blocks'))


@frozen
class MergedEntry:
    """An entry, where it was defined, and the region of the overlay.

    Attributes:
        location: Place of its definition.
        entry: The entry.
        site: Region of the overlay that defined it; empty for the base file.
    """

    location: SourceLocation
    entry: Any
    site: str = ''


@define
class MergedDocuments:
    """The entries of all files.

    Attributes:
        top: Top level of the base file.
        entries: The entries of each kind.
    """

    top: Table
    entries: dict[str, dict[Identity, MergedEntry]] = field(factory=dict)


def merge_documents(
    base: Document, overlays: Sequence[Document]
) -> MergedDocuments:
    """Merge overlays into the base.

    Raises:
        ConfigurationError: ``OVERLAY_CONTRADICTS_BASE``, ``OVERLAYS_CLASH``
            or the error of a value that cannot be read.
    """
    merged = MergedDocuments(base.top)
    for kind, tables in base.entries.items():
        merged.entries[kind] = {
            identity: MergedEntry(table.location, ENTRY_KINDS[kind].read(table))
            for identity, table in tables.items()
        }
    for overlay in overlays:
        _merge_overlay(merged, base, overlay)
    return merged


def _merge_overlay(
    merged: MergedDocuments, base: Document, overlay: Document
) -> None:
    site = overlay.top.name('site')
    for key in ('deployment', 'slot_hold_s'):
        _compare_value(base.top, overlay.top, key)
    for kind, tables in overlay.entries.items():
        for identity, table in tables.items():
            stated = base.entries[kind].get(identity)
            if stated is None:
                _add(merged.entries[kind], kind, identity, table, site)
            else:
                _restate(kind, stated, table)


def _restate(kind: str, stated: Table, table: Table) -> None:
    # An overlay may restate a part of an entry; the rest is the base's.
    combined = Table(table.location, {**stated.contents, **table.contents})
    if ENTRY_KINDS[kind].read(combined) == ENTRY_KINDS[kind].read(stated):
        return
    for key in table.contents:
        _compare_value(stated, table, key)


def _compare_value(stated: Table, table: Table, key: str) -> None:
    found = table.contents.get(key)
    expected = stated.contents.get(key)
    if found is None or found == expected:
        return
    raise configuration_error(
        ResultCode.OVERLAY_CONTRADICTS_BASE,
        table.location,
        key,
        found,
        f'the value of {stated.location.file}, {_printable(table, expected)}',
    )


def _printable(table: Table, expected: object) -> str:
    if table.location.table.startswith('keys'):
        return 'which is hidden'
    return repr(expected)[:_SHOWN_LENGTH]


def _add(
    entries: dict[Identity, MergedEntry],
    kind: str,
    identity: Identity,
    table: Table,
    site: str,
) -> None:
    if kind not in _SITE_KINDS:
        raise configuration_error(
            ResultCode.OVERLAY_CONTRADICTS_BASE,
            table.location,
            ', '.join(ENTRY_KINDS[kind].identity),
            ' '.join(identity),
            f'entries of the base file, or new {sorted(_SITE_KINDS)}',
        )
    added = MergedEntry(table.location, ENTRY_KINDS[kind].read(table), site)
    known = entries.setdefault(identity, added)
    if known.entry != added.entry:
        raise configuration_error(
            ResultCode.OVERLAYS_CLASH,
            table.location,
            ', '.join(ENTRY_KINDS[kind].identity),
            added.entry,
            f'the same as in {known.location.file}, {known.entry}',
        )
