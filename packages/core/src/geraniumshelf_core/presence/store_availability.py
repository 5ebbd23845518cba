"""Since when the platform's store has answered, here or elsewhere.

Answers instances that are cut off from a store that others reach. Entries of
servers lapse while the store is away for all, and come back soon after its
return. An entry that is missing at any other time is that of a server that has
left, also at an instance that has just reached the store again.
"""

from typing import Final

from attrs import define, frozen

from geraniumshelf_core.presence.state import LONG_AGO_NS, PresenceState
from geraniumshelf_core.units import Nanoseconds

# A server writes its entry in each heartbeat interval, and it lapses three
# intervals after that, so the first one lapses two intervals into an outage.
_LAPSE_INTERVALS: Final = 2


@frozen
class OutageLimits:
    """How long the store may give no answer.

    Attributes:
        lapse: Time without an answer, while calls fail, in which no entry
            lapses.
        quiet: Time without an answer, while none fails, in which an outage
            would be noticed.
    """

    lapse: Nanoseconds
    quiet: Nanoseconds


@define
class StoreAvailability:
    """When the store has answered this daemon.

    Attributes:
        era: Era of the newest answer.
        latest: Time of the newest answer, ``None`` before the first.
        since: Time since which it has answered without an outage that was
            noticed.
        steady_since: Time since which it has answered often enough to notice
            each outage.
        is_failing: Whether a call has failed since the newest answer.
    """

    era: int = 0
    latest: Nanoseconds | None = None
    since: Nanoseconds = -LONG_AGO_NS
    steady_since: Nanoseconds = 0
    is_failing: bool = False


def make_outage_limits(
    heartbeat_interval: Nanoseconds, contact: Nanoseconds
) -> OutageLimits:
    """Return the limits.

    Args:
        heartbeat_interval: Time between two heartbeats of a server.
        contact: Time after a fault within which a daemon is in touch again;
            one that follows the store closely asks more often.
    """
    return OutageLimits(_LAPSE_INTERVALS * heartbeat_interval, contact)


def record_answer(
    state: StoreAvailability, era: int, limits: OutageLimits, now: Nanoseconds
) -> None:
    """Take over that the store has answered.

    Args:
        state: The state to change.
        era: Era of the answer.
        limits: How long it may give none.
        now: Current time.
    """
    if state.latest is None:
        # No entry is known yet that could be missing.
        state.steady_since = now
    else:
        gap = now - state.latest
        is_lapse = state.is_failing and gap >= limits.lapse
        if is_lapse or era != state.era:
            state.since = now
            state.steady_since = now
        elif gap >= limits.quiet:
            state.steady_since = now
    state.era = era
    state.latest = now
    state.is_failing = False


def record_failure(state: StoreAvailability) -> None:
    """Take over that a call of the store has failed."""
    state.is_failing = True


def store_available_for(
    state: StoreAvailability, limits: OutageLimits, now: Nanoseconds
) -> Nanoseconds:
    """Return for how long others may rely on it that no entry has lapsed.

    Returns:
        0 if they may not.
    """
    if state.latest is None or state.is_failing:
        return 0
    is_close = now - state.latest < limits.quiet
    return now - state.steady_since if is_close else 0


def store_available_since(
    state: StoreAvailability,
    presence: PresenceState,
    limits: OutageLimits,
    now: Nanoseconds,
) -> Nanoseconds:
    """Return since when no entry has lapsed, as this daemon or others know.

    Args:
        state: When the store has answered this daemon.
        presence: What the others tell.
        limits: How long it may give no answer.
        now: Current time.

    Returns:
        The current time if nobody knows.
    """
    known = [
        one.last_heard_at - one.heartbeat.store_available_for
        for one in presence.peers.values()
        if one.heartbeat.store_available_for
        and one.heartbeat.store_era == state.era
        and now - one.last_heard_at < limits.lapse
    ]
    if not state.is_failing and state.latest is not None:
        known.append(state.since)
    return min(known, default=now)
