"""Functions that read the member table."""

from collections.abc import Iterable, Mapping
from functools import reduce
from operator import xor
from typing import Any, Final

from attrs import astuple

from geraniumshelf_core.idempotency.request_id import WINDOW_NS, current_window
from geraniumshelf_core.membership.topology import rank_zone_instances
from geraniumshelf_core.messages.roster import MemberPull
from geraniumshelf_core.roster.state import MemberEntry, MemberRecord, Roster
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# Two clocks that are each wrong by 100 ppm drift apart by 17 s in the day for
# which an entry is used. The window must not be ahead of the issuer's.
_CLOCK_MARGIN_NS: Final[Nanoseconds] = WINDOW_NS // 3
_ZONE_ROOTS: Final = 2


def live_entries(roster: Roster) -> dict[str, MemberEntry]:
    """Return the entries that are not withdrawn, by instance."""
    return {
        name: record.entry
        for name, record in roster.records.items()
        if not record.entry.is_withdrawn
    }


def request_id_window(record: MemberRecord, now: Nanoseconds) -> int:
    """Return the request id window of a member, or the one before it."""
    return max(0, current_window(now + record.clock_offset - _CLOCK_MARGIN_NS))


def digest(roster: Roster) -> int:
    """Return the digest of all live entries."""
    return reduce(xor, roster.digests.values(), 0)


def build_pull(roster: Roster) -> MemberPull:
    """Return a request for the entries that differ from the own ones."""
    return MemberPull(tuple(roster.digests.items()))


def differing_instances(roster: Roster, pull: MemberPull) -> tuple[str, ...]:
    """Return the known instances of the zones whose digests differ."""
    peer_digests = dict(pull.digests)
    zones = {
        zone
        for zone, own_digest in roster.digests.items()
        if own_digest != peer_digests.get(zone, 0)
    }
    return tuple(
        name
        for name, record in roster.records.items()
        if record.entry.hello.zone in zones
    )


def export_rows(
    roster: Roster, instances: Iterable[str], now: Nanoseconds
) -> tuple[Any, ...]:
    """Return entries as rows of introduction, entry and the member's clock."""
    return tuple(
        _row(roster.records[name], now)
        for name in instances
        if name in roster.records
    )


def lost_zones(
    roster: Roster, own_zone: str, zones: Mapping[str, str]
) -> frozenset[str]:
    """Return the other zones whose links to the rest of the fleet are all lost.

    Only the two best-ranked daemons of a zone link to other zones. When both
    are withdrawn, no message from the other daemons of the zone arrives.

    Args:
        roster: Member table.
        own_zone: Zone of this daemon.
        zones: Zone of each instance that links are chosen from.
    """
    suspects = {
        record.entry.hello.zone
        for name, record in roster.records.items()
        if record.entry.is_withdrawn and name in zones
    }
    return frozenset(
        zone
        for zone in suspects - {own_zone}
        if all(
            _is_withdrawn(roster, name)
            for name in rank_zone_instances(zone, zones)[:_ZONE_ROOTS]
        )
    )


def _is_withdrawn(roster: Roster, name: str) -> bool:
    record = roster.records.get(name)
    return record is not None and record.entry.is_withdrawn


def _row(record: MemberRecord, now: Nanoseconds) -> tuple[Any, ...]:
    entry = record.entry
    return (
        *astuple(entry.hello),
        *astuple(entry, recurse=False)[1:],
        (now + record.clock_offset) // MILLISECOND_NS,
    )
