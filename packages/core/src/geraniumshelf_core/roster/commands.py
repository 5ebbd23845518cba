"""Functions that modify the member table."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Any, Final

from attrs import evolve

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.messages.membership import Hello
from geraniumshelf_core.roster.state import (
    WITHDRAWN_RETENTION_NS,
    MemberEntry,
    MemberRecord,
    Roster,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

_HELLO_TYPES: Final = (str, str, str, str, str, int)
_ENTRY_TYPES: Final = (int, str, int, bool, bool, bool)
_ROW_TYPES: Final = (*_HELLO_TYPES, *_ENTRY_TYPES, int)
_DIGEST_BYTES: Final = 8


def publish(roster: Roster, entry: MemberEntry, now: Nanoseconds) -> None:
    """Publish the own entry as the newest one of this instance.

    Args:
        roster: Member table.
        entry: The own entry; its counter is replaced.
        now: Time on the own clock.
    """
    known = roster.records.get(entry.hello.instance)
    counter = known.entry.counter + 1 if known else 1
    _store(roster, MemberRecord(evolve(entry, counter=counter), 0, now), '')


def merge_rows(
    roster: Roster, rows: Iterable[Any], source: str, now: Nanoseconds
) -> tuple[str, ...]:
    """Merge entries received from a peer.

    Args:
        roster: Member table.
        rows: Entries as returned by ``export_rows``.
        source: Name of the peer.
        now: Time on the own clock.

    Returns:
        The instances for which this daemon has a newer entry.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` for rows of another form.
    """
    outdated = []
    records = [_read_row(row, now) for row in rows]
    for record in records:
        name = record.entry.hello.instance
        known = roster.records.get(name)
        if known is None or known.entry.version < record.entry.version:
            _store(roster, record, source)
        elif known.entry.version > record.entry.version:
            outdated.append(name)
    return tuple(outdated)


def withdraw(
    roster: Roster, instance: str, incarnation: int, now: Nanoseconds
) -> None:
    """Mark the entry of a lost incarnation as withdrawn."""
    known = roster.records.get(instance)
    if known is None or known.entry.is_withdrawn:
        return
    if known.entry.hello.incarnation == incarnation:
        entry = evolve(known.entry, is_withdrawn=True)
        _store(roster, MemberRecord(entry, known.clock_offset, now), '')


def expire_withdrawn(roster: Roster, now: Nanoseconds) -> None:
    """Remove withdrawn entries after their retention time."""
    for name, record in tuple(roster.records.items()):
        age = now - record.received_at
        if record.entry.is_withdrawn and age > WITHDRAWN_RETENTION_NS:
            roster.records.pop(name)


def take_changes(roster: Roster) -> dict[str, str]:
    """Return and clear the unsent changes: source by instance."""
    changes = roster.changes
    roster.changes = {}
    return changes


def _store(roster: Roster, record: MemberRecord, source: str) -> None:
    name = record.entry.hello.instance
    former = roster.records.get(name)
    # Adding an entry to the exclusive or a second time removes it.
    for member_record in (former, record):
        if member_record is not None and not member_record.entry.is_withdrawn:
            zone = member_record.entry.hello.zone
            digest = roster.digests.get(zone, 0) ^ _digest(member_record.entry)
            roster.digests[zone] = digest
    roster.records[name] = record
    roster.changes[name] = source
    roster.version += 1


def _digest(entry: MemberEntry) -> int:
    hello = entry.hello
    content = f'{hello.instance} {hello.incarnation} {entry.counter}'.encode()
    return int.from_bytes(blake2b(content, digest_size=_DIGEST_BYTES).digest())


def _read_row(row: Any, now: Nanoseconds) -> MemberRecord:
    cells = row if isinstance(row, tuple) else ()
    if tuple(type(cell) for cell in cells) != _ROW_TYPES:
        raise PeerError(
            ResultCode.PEER_FRAME_MALFORMED,
            'wrong number or types of fields in a member row',
        )
    hello_length = len(_HELLO_TYPES)
    entry = MemberEntry(Hello(*cells[:hello_length]), *cells[hello_length:-1])
    return MemberRecord(entry, cells[-1] * MILLISECOND_NS - now, now)
