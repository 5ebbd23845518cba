"""Contact of the zone with the platform and with other zones."""

from geraniumshelf_core.membership.queries import zones_by_instance
from geraniumshelf_core.membership.state import (
    CONTACT_GAP_NS,
    CONTACT_STEP_NS,
    SILENCE_LIMIT_NS,
    MembershipState,
)
from geraniumshelf_core.membership.topology import is_full_mesh
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds


def is_cut_off(state: MembershipState, now: Nanoseconds) -> bool:
    """Return whether the zone has had no contact within the silence limit.

    Withdrawals of keys may not reach such a zone.
    """
    if state.contact_at is None:
        return True
    return now - state.contact_at > SILENCE_LIMIT_NS


def contact_age_ms(state: MembershipState, now: Nanoseconds) -> int:
    """Return the milliseconds since the last contact, -1 without any.

    The time is rounded up.
    """
    if state.contact_at is None:
        return -1
    return -((state.contact_at - now) // MILLISECOND_NS)


def is_contact_announcement_due(
    state: MembershipState, now: Nanoseconds
) -> bool:
    """Return whether to announce the last contact to peers at once.

    In a tree, waiting for the next heartbeat at each level would add up to
    more than the time after which a zone counts as cut off. In a full mesh
    this applies only to a daemon that takes over as a watcher.
    """
    announced_at = state.announced_contact_at
    if state.contact_at is None:
        return False
    if is_full_mesh(zones_by_instance(state, now)):
        is_own = state.contact_at == state.platform_at
        is_late = announced_at is not None and (
            state.contact_at - announced_at > CONTACT_GAP_NS
        )
        return is_own and is_late
    if announced_at is None:
        return True
    return state.contact_at - announced_at >= CONTACT_STEP_NS
