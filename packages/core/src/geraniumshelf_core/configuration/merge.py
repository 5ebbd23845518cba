"""Merging of overlay files into the base file."""

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

_MAX_SHOWN_LENGTH: Final = 80
_OVERLAY_KINDS: Final = frozenset(('zones', 'servers', 'links', 'blocks'))


@frozen
class MergedEntry:
    """An entry and the file that defines it.

    Attributes:
        location: Location of its definition.
        entry: The entry.
        site: Region of the overlay that defined it; empty for the base file.
    """

    location: SourceLocation
    entry: Any
    site: str = ''


@define
class MergedDocuments:
    """The merged entries of all files.

    Attributes:
        top: Top-level table of the base file.
        entries: Entries of each kind, by identity.
    """

    top: Table
    entries: dict[str, dict[Identity, MergedEntry]] = field(factory=dict)


def merge_documents(
    base: Document, overlays: Sequence[Document]
) -> MergedDocuments:
    """Merge overlays into the base file.

    Raises:
        ConfigurationError: ``OVERLAY_CONTRADICTS_BASE``, ``OVERLAYS_CLASH``
            or the code of a value that cannot be read.
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
        _check_same_value(base.top, overlay.top, key)
    for kind, tables in overlay.entries.items():
        for identity, table in tables.items():
            base_table = base.entries[kind].get(identity)
            if base_table is None:
                _add_overlay_entry(
                    merged.entries[kind], kind, identity, table, site
                )
            else:
                _check_restatement(kind, base_table, table)


def _check_restatement(kind: str, base_table: Table, table: Table) -> None:
    # An overlay may repeat some keys of an entry; the base file supplies the
    # others.
    combined = Table(table.location, {**base_table.contents, **table.contents})
    if ENTRY_KINDS[kind].read(combined) == ENTRY_KINDS[kind].read(base_table):
        return
    for key in table.contents:
        _check_same_value(base_table, table, key)


def _check_same_value(base_table: Table, table: Table, key: str) -> None:
    found = table.contents.get(key)
    expected = base_table.contents.get(key)
    if found is None or found == expected:
        return
    raise configuration_error(
        ResultCode.OVERLAY_CONTRADICTS_BASE,
        table.location,
        key,
        found,
        f'the value in {base_table.location.file}, '
        f'{_format_expected(table, expected)}',
    )


def _format_expected(table: Table, expected: object) -> str:
    if table.location.table.startswith('keys'):
        return 'which is hidden'
    return repr(expected)[:_MAX_SHOWN_LENGTH]


def _add_overlay_entry(
    entries: dict[Identity, MergedEntry],
    kind: str,
    identity: Identity,
    table: Table,
    site: str,
) -> None:
    if kind not in _OVERLAY_KINDS:
        raise configuration_error(
            ResultCode.OVERLAY_CONTRADICTS_BASE,
            table.location,
            ', '.join(ENTRY_KINDS[kind].identity),
            ' '.join(identity),
            'entries of the base file, or new entries of '
            f'{sorted(_OVERLAY_KINDS)}',
        )
    added = MergedEntry(table.location, ENTRY_KINDS[kind].read(table), site)
    existing = entries.setdefault(identity, added)
    if existing.entry != added.entry:
        raise configuration_error(
            ResultCode.OVERLAYS_CLASH,
            table.location,
            ', '.join(ENTRY_KINDS[kind].identity),
            added.entry,
            f'the same as in {existing.location.file}, {existing.entry}',
        )
