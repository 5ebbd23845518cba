"""Availability of the platform's store at this daemon and at others.

An instance may be cut off from the store while others reach it. During an
outage of the store for all daemons, the entries of backend servers expire and
are written again soon after it ends. An entry that is missing at any other time
belongs to a server that has left, also for an instance that has just reached
the store again.
"""

from typing import Final

from attrs import define, frozen

from geraniumshelf_core.presence.state import INITIAL_AGE_NS, PresenceState
from geraniumshelf_core.units import Nanoseconds

# A server writes its entry in each heartbeat interval, and an entry expires
# three intervals after it was written. So the first entry expires two
# intervals after the begin of an outage.
_LAPSE_INTERVALS: Final = 2


@frozen
class OutageLimits:
    """Limits on the time between two responses of the store.

    Attributes:
        max_failure_gap: Time without a response, while calls fail, below which
            no entry can have expired.
        max_idle_gap: Time without a response, while no call fails, below which
            an outage would have been noticed.
    """

    max_failure_gap: Nanoseconds
    max_idle_gap: Nanoseconds


@define
class StoreAvailability:
    """Responses of the store to this daemon.

    Attributes:
        era: Era of the newest response.
        last_response_at: Time of the newest response, ``None`` before the
            first.
        available_since: Time since which no outage has been noticed.
        monitored_since: Time since which the responses have been frequent
            enough to notice every outage.
        is_failing: Whether a call has failed since the newest response.
    """

    era: int = 0
    last_response_at: Nanoseconds | None = None
    available_since: Nanoseconds = -INITIAL_AGE_NS
    monitored_since: Nanoseconds = 0
    is_failing: bool = False


def make_outage_limits(
    heartbeat_interval: Nanoseconds, contact: Nanoseconds
) -> OutageLimits:
    """Return the limits for an interval of heartbeats.

    Args:
        heartbeat_interval: Time between two heartbeats of a server.
        contact: Time after a fault within which a daemon must reach the store
            again; a daemon that follows the store closely calls it more often.
    """
    return OutageLimits(_LAPSE_INTERVALS * heartbeat_interval, contact)


def record_response(
    state: StoreAvailability, era: int, limits: OutageLimits, now: Nanoseconds
) -> None:
    """Record a response of the store.

    Args:
        state: The state to change.
        era: Era of the response.
        limits: Limits on the time between two responses.
        now: Current time.
    """
    if state.last_response_at is None:
        # No entry is known yet, so none can be missing.
        state.monitored_since = now
    else:
        gap = now - state.last_response_at
        is_outage = state.is_failing and gap >= limits.max_failure_gap
        if is_outage or era != state.era:
            state.available_since = now
            state.monitored_since = now
        elif gap >= limits.max_idle_gap:
            state.monitored_since = now
    state.era = era
    state.last_response_at = now
    state.is_failing = False


def record_failure(state: StoreAvailability) -> None:
    """Record a failed call to the store."""
    state.is_failing = True


def store_available_for(
    state: StoreAvailability, limits: OutageLimits, now: Nanoseconds
) -> Nanoseconds:
    """Return the time for which certainly no entry has expired.

    The other daemons receive it with the heartbeats of this one.

    Returns:
        The time up to now, 0 if it isn't certain.
    """
    if state.last_response_at is None or state.is_failing:
        return 0
    is_recent = now - state.last_response_at < limits.max_idle_gap
    return now - state.monitored_since if is_recent else 0


def store_available_since(
    state: StoreAvailability,
    presence: PresenceState,
    limits: OutageLimits,
    now: Nanoseconds,
) -> Nanoseconds:
    """Return the time since which no entry has expired.

    Args:
        state: Responses of the store to this daemon.
        presence: State of the other daemons, which report how long the store
            has been available to them.
        limits: Limits on the time between two responses.
        now: Current time.

    Returns:
        The earliest time that this daemon or another one knows, the current
        time if none does.
    """
    known = [
        peer.last_heard_at - peer.heartbeat.store_available_for
        for peer in presence.peers.values()
        if peer.heartbeat.store_available_for
        and peer.heartbeat.store_era == state.era
        and now - peer.last_heard_at < limits.max_failure_gap
    ]
    if not state.is_failing and state.last_response_at is not None:
        known.append(state.available_since)
    return min(known, default=now)
