"""Changes of the instance list, sent to peers instead of the whole list."""

from collections.abc import Mapping
from hashlib import blake2b
from typing import Final

from attrs import astuple

from geraniumshelf_core.membership.commands import replace_instance_list
from geraniumshelf_core.membership.state import ListedMember, MembershipState
from geraniumshelf_core.messages.membership import MemberListChange
from geraniumshelf_core.messages.rows import check_rows
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

_DIGEST_BYTES: Final = 8


def digest_instance_list(listed: Mapping[str, ListedMember]) -> int:
    """Return a digest of an instance list."""
    rows = sorted(astuple(member) for member in listed.values())
    encoded = repr(rows).encode()
    return int.from_bytes(blake2b(encoded, digest_size=_DIGEST_BYTES).digest())


def build_list_change(
    state: MembershipState,
    base_list: Mapping[str, ListedMember],
    now: Nanoseconds,
) -> MemberListChange | None:
    """Return how the known instance list differs from a base list.

    Returns:
        The change, ``None`` if no instance list is known.
    """
    if state.listed_at is None:
        return None
    changed = (
        astuple(member)
        for name, member in state.listed.items()
        if base_list.get(name) != member
    )
    removed = (name for name in base_list if name not in state.listed)
    return MemberListChange(
        -((state.listed_at - now) // MILLISECOND_NS),
        digest_instance_list(base_list),
        tuple(changed),
        tuple(removed),
    )


def is_newer_list(
    state: MembershipState, change: MemberListChange, now: Nanoseconds
) -> bool:
    """Return whether a change leads to a newer list than the known one."""
    listed_at = now - change.age_ms * MILLISECOND_NS
    return state.listed_at is None or state.listed_at < listed_at


def apply_list_change(
    state: MembershipState, change: MemberListChange, now: Nanoseconds
) -> bool:
    """Apply a change; return whether its base is the known list.

    A change with another base is not applied.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` for malformed rows.
    """
    check_rows(change.changed, (str, str, str, bool))
    if change.base != digest_instance_list(state.listed):
        return False
    members = {
        name: member
        for name, member in state.listed.items()
        if name not in change.removed
    }
    for row in change.changed:
        member = ListedMember(*row)
        members[member.instance] = member
    listed_at = now - max(0, change.age_ms) * MILLISECOND_NS
    replace_instance_list(state, members.values(), listed_at)
    return True
