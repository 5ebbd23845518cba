"""Updates of the table of members that a daemon makes itself."""

from typing import Final

from geraniumshelf_core.membership.queries import (
    WATCHERS_PER_ZONE,
    failed_watchers,
    link_targets,
    zone_watchers,
)
from geraniumshelf_core.membership.state import (
    SILENCE_LIMIT_NS,
    MembershipState,
)
from geraniumshelf_core.roster.commands import publish, withdraw
from geraniumshelf_core.roster.state import (
    WITHDRAWN_RETENTION_NS,
    MemberEntry,
    MemberRecord,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# An entry is renewed daily, so that the recorded clock offset of its member
# stays accurate enough and its revision does not stay outdated for ever.
RENEWAL_PERIOD_NS: Final[Nanoseconds] = WITHDRAWN_RETENTION_NS

# A link that has not been established yet is dialed with a delay of up to 2 s
# and a timeout of 2 s.
_DIAL_LIMIT_NS: Final[Nanoseconds] = 2 * SILENCE_LIMIT_NS


# Watch streams of the platform confirm contact each second. After a watcher
# gives up, the next ones must get contact and announce it to the zone before
# the zone counts as cut off after 3 s.
CONTACT_LIMIT_NS: Final[Nanoseconds] = SILENCE_LIMIT_NS // 2
# Once two pairs of watchers have failed, no further pair gives up.
MAX_FAILED_WATCHERS: Final = 4

# Failed watchers probe the platform with exponential backoff, because each
# change of a watcher is sent to the whole fleet: a platform that is slow for
# all zones must not make them change watchers all the time. A watcher that
# fails again within the reset time after its last probe doubles the wait.
_MIN_PROBE_WAIT_S: Final = 30
MIN_PROBE_WAIT_NS: Final[Nanoseconds] = _MIN_PROBE_WAIT_S * SECOND_NS
_MAX_PROBE_WAIT_S: Final = 960
_MAX_PROBE_WAIT_NS: Final[Nanoseconds] = _MAX_PROBE_WAIT_S * SECOND_NS
_PROBE_RESET_NS: Final[Nanoseconds] = 4 * _MAX_PROBE_WAIT_NS


def refresh_own_entry(
    state: MembershipState, revision: int, now: Nanoseconds
) -> bool:
    """Publish the own entry if the published one is missing or outdated.

    Args:
        state: Membership state of this daemon.
        revision: Own configuration revision in force.
        now: Current time.

    Returns:
        Whether a new entry was published.
    """
    status = state.status
    known = state.roster.records.get(state.own.instance)
    counter = known.entry.counter if known else 0
    entry = MemberEntry(
        state.own,
        counter,
        status.slot,
        revision,
        status.is_leaving,
        status.is_failed_watcher,
    )
    if known is not None and not _is_outdated(state, known, entry, now):
        return False
    publish(state.roster, entry, now)
    return True


def withdraw_predecessors(state: MembershipState, now: Nanoseconds) -> None:
    """Withdraw other instances at the own peer address.

    Two processes cannot listen at the same address, so those instances have
    ended.
    """
    for name, record in tuple(state.roster.records.items()):
        hello = record.entry.hello
        is_other = name != state.own.instance
        if is_other and hello.peer_address == state.own.peer_address:
            withdraw(state.roster, name, hello.incarnation, now)


def withdraw_lost_peers(state: MembershipState, now: Nanoseconds) -> None:
    """Withdraw link targets that are silent or cannot be dialed."""
    state.link_targets_since = {
        name: state.link_targets_since.get(name, now)
        for name in link_targets(state, now)
    }
    for name, wanted_since in state.link_targets_since.items():
        record = state.roster.records.get(name)
        if record is not None and _is_lost(state, record, wanted_since, now):
            incarnation = record.entry.hello.incarnation
            withdraw(state.roster, name, incarnation, now)


def record_platform_contact(state: MembershipState, at: Nanoseconds) -> None:
    """Record that this daemon itself reached the platform."""
    if state.platform_at is None or state.platform_at < at:
        state.platform_at = at
    if at >= state.probe_at:
        state.status.is_failed_watcher = False


def check_watcher_contact(state: MembershipState, now: Nanoseconds) -> None:
    """Mark this daemon as a failed watcher if it cannot reach the platform.

    Another daemon of the zone then takes over as a watcher. Once two pairs of
    watchers have failed, the platform itself is presumed unreachable, and the
    next pair stays.
    """
    if state.own.instance not in zone_watchers(state, now):
        state.watching_since = None
        return
    if state.watching_since is None:
        state.watching_since = now
    last_contact_at = max(state.watching_since, state.platform_at or 0)
    is_last_pair = len(failed_watchers(state, now)) >= MAX_FAILED_WATCHERS
    if (
        now - last_contact_at <= CONTACT_LIMIT_NS
        or is_last_pair
        or state.status.is_failed_watcher
    ):
        return
    state.status.is_failed_watcher = True
    is_repeated = now - state.probe_at < _PROBE_RESET_NS
    previous_wait = state.probe_wait if is_repeated else 0
    state.probe_wait = min(
        max(2 * previous_wait, MIN_PROBE_WAIT_NS), _MAX_PROBE_WAIT_NS
    )
    state.probe_at = now + state.probe_wait


def is_probe_due(state: MembershipState, now: Nanoseconds) -> bool:
    """Return whether this failed watcher should probe the platform now."""
    probers = failed_watchers(state, now)[:WATCHERS_PER_ZONE]
    return state.own.instance in probers and now >= state.probe_at


def _is_outdated(
    state: MembershipState,
    known: MemberRecord,
    entry: MemberEntry,
    now: Nanoseconds,
) -> bool:
    published = known.entry
    if (
        published.revision < state.status.confirmed_revision
        or published.is_withdrawn
    ):
        return True
    if now - known.received_at > RENEWAL_PERIOD_NS:
        return True
    return _contents(published) != _contents(entry)


def _contents(entry: MemberEntry) -> tuple[object, ...]:
    return (entry.hello, entry.slot, entry.is_leaving, entry.is_failed_watcher)


def _is_lost(
    state: MembershipState,
    record: MemberRecord,
    wanted_since: Nanoseconds,
    now: Nanoseconds,
) -> bool:
    peer = state.known_peers.get(record.entry.hello.instance)
    if peer is None:
        return now - max(wanted_since, record.received_at) > _DIAL_LIMIT_NS
    return now - peer.last_heard_at > SILENCE_LIMIT_NS
