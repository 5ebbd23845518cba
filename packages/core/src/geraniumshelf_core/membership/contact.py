"""Contact of the zone with the platform and with other zones."""

from geraniumshelf_core.membership.queries import zones_by_instance
from geraniumshelf_core.membership.state import (
    CONTACT_STEP,
    LATE_CONTACT,
    SILENCE_LIMIT_NS,
    MembershipState,
)
from geraniumshelf_core.membership.topology import is_full_mesh
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds


def is_cut_off(state: MembershipState, now: Nanoseconds) -> bool:
    """Tell whether no withdrawal can reach the zone."""
    if state.contact_at is None:
        return True
    return now - state.contact_at > SILENCE_LIMIT_NS


def contact_age_ms(state: MembershipState, now: Nanoseconds) -> int:
    """Return the time since the last contact, rounded up, -1 for never."""
    if state.contact_at is None:
        return -1
    return -((state.contact_at - now) // MILLISECOND_NS)


def is_contact_announcement_due(
    state: MembershipState, now: Nanoseconds
) -> bool:
    """Tell whether peers should hear of the last contact at once.

    In a tree, waiting for the next heartbeat at each level would add up to
    more than the time after which a zone counts as cut off. In a mesh this is
    so only for a daemon that takes over watching.
    """
    told_at = state.announced_contact_at
    if state.contact_at is None:
        return False
    if is_full_mesh(zones_by_instance(state, now)):
        is_own = state.contact_at == state.platform_at
        is_late = told_at is not None and (
            state.contact_at - told_at > LATE_CONTACT
        )
        return is_own and is_late
    if told_at is None:
        return True
    return state.contact_at - told_at >= CONTACT_STEP
