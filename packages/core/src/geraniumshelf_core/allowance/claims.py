"""Rules for claiming, renewing and taking over slots."""

from typing import Final

from attrs import frozen

from geraniumshelf_core.allowance.state import QUARANTINE_NS
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

RENEWAL_PERIOD_NS: Final[Nanoseconds] = 60 * 60 * SECOND_NS

# A holder stops using its claim this long before others may take it over, so
# that all of its loans have ended. The divisor allows for clocks that differ by
# 1,000 ppm.
_STOP_MARGIN_NS: Final[Nanoseconds] = 2 * QUARANTINE_NS
_DRIFT_DIVISOR: Final = 1000


@frozen
class Claim:
    """Value of the object ``slots/<zone>/<n>``.

    Attributes:
        instance: Instance name.
        address: Peer address, IP address and port.
        incarnation: Random number of this run of the instance.
        epoch: Number that grows whenever the claim changes its holder.
        renewals: Number of writes in this epoch after the first.
        layout: Digest of the layout of slots in force at the holder.
        revision: Configuration revision in force at the holder at the time of
            the write.
    """

    instance: str
    address: str
    incarnation: int
    epoch: int
    renewals: int = 0
    layout: str = ''
    revision: int = 0


@frozen
class ClaimObservation:
    """A claim and the time for which it has not changed.

    Attributes:
        version: Version of the object on the platform.
        claim: Content of that version.
        unchanged_for: Time for which the version was read unchanged while the
            platform was reachable, nanoseconds.
        read_at: Time of the last read, nanoseconds.
    """

    version: int
    claim: Claim
    unchanged_for: Nanoseconds
    read_at: Nanoseconds


def observe_claim(
    previous: ClaimObservation | None,
    version: int,
    claim: Claim,
    max_gap: Nanoseconds,
    now: Nanoseconds,
) -> ClaimObservation:
    """Return the observation of a claim after another read.

    A gap between reads longer than ``max_gap`` means that the platform was
    unreachable; such a gap does not count as unchanged time.
    """
    if previous is None or previous.version != version:
        return ClaimObservation(version, claim, 0, now)
    gap = now - previous.read_at
    if gap > max_gap:
        gap = 0
    return ClaimObservation(version, claim, previous.unchanged_for + gap, now)


def may_take_over(
    observation: ClaimObservation, address: str, hold_time: Nanoseconds
) -> bool:
    """Return whether an instance at an address may replace a claim."""
    return (
        observation.claim.address == address
        or observation.unchanged_for > hold_time
    )


def is_renewal_due(renewed_at: Nanoseconds, now: Nanoseconds) -> bool:
    """Return whether a claim should be renewed."""
    return now - renewed_at >= RENEWAL_PERIOD_NS


def may_renew(
    renewed_at: Nanoseconds, hold_time: Nanoseconds, now: Nanoseconds
) -> bool:
    """Return whether other daemons still treat a claim as held.

    Args:
        renewed_at: Time at which the last successful write was sent,
            nanoseconds.
        hold_time: Time after which others may take over, nanoseconds.
        now: Current time, nanoseconds.
    """
    stop_after = hold_time - hold_time // _DRIFT_DIVISOR - _STOP_MARGIN_NS
    return now - renewed_at < stop_after


def may_use_floor(
    claimed_at: Nanoseconds,
    renewed_at: Nanoseconds,
    hold_time: Nanoseconds,
    now: Nanoseconds,
) -> bool:
    """Return whether the holder of a claim may use and lend its floor.

    Args:
        claimed_at: Time at which the claim was known to be written,
            nanoseconds.
        renewed_at: Time at which the last successful write was sent,
            nanoseconds.
        hold_time: Time after which others may take over, nanoseconds.
        now: Current time, nanoseconds.
    """
    is_ready = now - claimed_at >= QUARANTINE_NS
    return is_ready and may_renew(renewed_at, hold_time, now)
