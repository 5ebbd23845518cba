"""Decisions about the claim of a slot."""

from typing import Final

from attrs import frozen

from geraniumshelf_core.allowance.state import QUARANTINE_NS
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

RENEWAL_PERIOD_NS: Final[Nanoseconds] = 60 * 60 * SECOND_NS

# A holder stops this much before others may take over, so that all it has
# lent has ended; the divisor covers clocks that differ by 1,000 ppm.
_STOP_MARGIN: Final[Nanoseconds] = 2 * QUARANTINE_NS
_DRIFT_DIVISOR: Final = 1000


@frozen
class Claim:
    """The value of ``slots/<zone>/<n>``.

    Attributes:
        instance: Instance name.
        address: Peer address, IP address and port.
        incarnation: Random number of the run.
        epoch: Number that grows whenever the claim changes hands.
        renewals: Number of writes in this epoch after the first.
        layout: Digest of the layout of slots in force at the holder.
        revision: Revision in force at the holder when it wrote this.
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
    """A claim as first seen here with this content.

    Attributes:
        version: Version of the object on the platform.
        claim: Its content.
        observed: Time for which it was seen unchanged while the platform
            could be reached, nanoseconds.
        seen_at: Time of the last read, nanoseconds.
    """

    version: int
    claim: Claim
    observed: Nanoseconds
    seen_at: Nanoseconds


def observe_claim(
    before: ClaimObservation | None,
    version: int,
    claim: Claim,
    longest_gap: Nanoseconds,
    now: Nanoseconds,
) -> ClaimObservation:
    """Update a sighting after a read.

    A gap between reads longer than ``longest_gap`` means that the platform
    was out of reach; it adds nothing to the observed time.
    """
    if before is None or before.version != version:
        return ClaimObservation(version, claim, 0, now)
    gap = now - before.seen_at
    if gap > longest_gap:
        gap = 0
    return ClaimObservation(version, claim, before.observed + gap, now)


def may_take_over(
    sighting: ClaimObservation, address: str, hold_time: Nanoseconds
) -> bool:
    """Tell whether a claim may be replaced by one for an address."""
    return sighting.claim.address == address or sighting.observed > hold_time


def is_renewal_due(renewed_at: Nanoseconds, now: Nanoseconds) -> bool:
    """Tell whether a claim should be renewed."""
    return now - renewed_at >= RENEWAL_PERIOD_NS


def may_renew(
    renewed_at: Nanoseconds, hold_time: Nanoseconds, now: Nanoseconds
) -> bool:
    """Tell whether others still count a claim as in use.

    Args:
        renewed_at: When the last successful write was sent, nanoseconds.
        hold_time: Time after which others may take over, nanoseconds.
        now: Nanoseconds.
    """
    stop_after = hold_time - hold_time // _DRIFT_DIVISOR - _STOP_MARGIN
    return now - renewed_at < stop_after


def may_use_floor(
    claimed_at: Nanoseconds,
    renewed_at: Nanoseconds,
    hold_time: Nanoseconds,
    now: Nanoseconds,
) -> bool:
    """Tell whether the holder of a claim may use and lend its floor.

    Args:
        claimed_at: When the claim was known to be in place, nanoseconds.
        renewed_at: When the last successful write was sent, nanoseconds.
        hold_time: Time after which others may take over, nanoseconds.
        now: Nanoseconds.
    """
    is_ready = now - claimed_at >= QUARANTINE_NS
    return is_ready and may_renew(renewed_at, hold_time, now)
