"""What a daemon contributes to the table of members."""

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

# An entry is renewed daily, so that the clock of its member is known well
# enough and its revision does not stay behind for ever.
RENEWAL: Final[Nanoseconds] = WITHDRAWN_RETENTION_NS

# A link that was never up is dialed with a delay of up to 2 s and a time-out
# of 2 s.
_DIAL_LIMIT: Final[Nanoseconds] = 2 * SILENCE_LIMIT_NS


# Watches confirm contact each second. The next watchers must have contact,
# and the zone must hear of it, before the zone counts as cut off after 3 s.
CONTACT_LIMIT: Final[Nanoseconds] = SILENCE_LIMIT_NS // 2
MAX_FAILED_WATCHERS: Final = 4

# Each change of a watcher goes to the whole fleet. A platform that is slow
# everywhere must not make all zones change watchers all the time.
_PROBE_S: Final = 30
MIN_PROBE_WAIT_NS: Final[Nanoseconds] = _PROBE_S * SECOND_NS
_LONGEST_PROBE_S: Final = 960
_LONGEST_PROBE: Final[Nanoseconds] = _LONGEST_PROBE_S * SECOND_NS
_RESET: Final[Nanoseconds] = 4 * _LONGEST_PROBE


def refresh_own_entry(
    state: MembershipState, revision: int, now: Nanoseconds
) -> bool:
    """Publish the own entry if it is not, or no longer, the newest.

    Args:
        state: What is known.
        revision: Own configuration revision in force.
        now: Time.

    Returns:
        Whether there is a new entry.
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

    Two processes cannot listen at the same address, so they are gone.
    """
    for name, record in tuple(state.roster.records.items()):
        hello = record.entry.hello
        is_other = name != state.own.instance
        if is_other and hello.peer_address == state.own.peer_address:
            withdraw(state.roster, name, hello.incarnation, now)


def withdraw_lost_peers(state: MembershipState, now: Nanoseconds) -> None:
    """Withdraw daemons that this one should be linked to and does not hear."""
    state.link_targets_since = {
        name: state.link_targets_since.get(name, now)
        for name in link_targets(state, now)
    }
    for name, since in state.link_targets_since.items():
        record = state.roster.records.get(name)
        if record is not None and _is_lost(state, record, since, now):
            incarnation = record.entry.hello.incarnation
            withdraw(state.roster, name, incarnation, now)


def record_platform_contact(state: MembershipState, at: Nanoseconds) -> None:
    """Take in that this daemon itself reached the platform."""
    if state.platform_at is None or state.platform_at < at:
        state.platform_at = at
    if at >= state.probe_at:
        state.status.is_failed_watcher = False


def check_watcher_contact(state: MembershipState, now: Nanoseconds) -> None:
    """Step back from watching after a while without the platform.

    Once two pairs of watchers have stepped back, it is the platform that is
    lost, and the next pair goes on.
    """
    if state.own.instance not in zone_watchers(state, now):
        state.watching_since = None
        return
    if state.watching_since is None:
        state.watching_since = now
    last = max(state.watching_since, state.platform_at or 0)
    is_last_pair = len(failed_watchers(state, now)) >= MAX_FAILED_WATCHERS
    if (
        now - last <= CONTACT_LIMIT
        or is_last_pair
        or state.status.is_failed_watcher
    ):
        return
    state.status.is_failed_watcher = True
    is_repeated = now - state.probe_at < _RESET
    former = state.probe_wait if is_repeated else 0
    state.probe_wait = min(max(2 * former, MIN_PROBE_WAIT_NS), _LONGEST_PROBE)
    state.probe_at = now + state.probe_wait


def is_probe_due(state: MembershipState, now: Nanoseconds) -> bool:
    """Tell whether this daemon should try whether it reaches the platform."""
    probers = failed_watchers(state, now)[:WATCHERS_PER_ZONE]
    return state.own.instance in probers and now >= state.probe_at


def _is_outdated(
    state: MembershipState,
    known: MemberRecord,
    entry: MemberEntry,
    now: Nanoseconds,
) -> bool:
    said = known.entry
    if said.revision < state.status.confirmed_revision or said.is_withdrawn:
        return True
    if now - known.received_at > RENEWAL:
        return True
    return _contents(said) != _contents(entry)


def _contents(entry: MemberEntry) -> tuple[object, ...]:
    return (entry.hello, entry.slot, entry.is_leaving, entry.is_failed_watcher)


def _is_lost(
    state: MembershipState,
    record: MemberRecord,
    since: Nanoseconds,
    now: Nanoseconds,
) -> bool:
    peer = state.known_peers.get(record.entry.hello.instance)
    if peer is None:
        return now - max(since, record.received_at) > _DIAL_LIMIT
    return now - peer.last_heard_at > SILENCE_LIMIT_NS
