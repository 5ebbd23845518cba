"""Permits for requests to a server that has named a limit of its rate.

One daemon, the owner, grants permits at the rate that the server names, to the
daemons that have requests for it. A rate that is below one request a second for
each daemon is not split. A request asks for its permit when it needs one, which
takes a few milliseconds; permits kept in stock at daemons without requests
would be lost to the server. A daemon that gets none asks again about when it is
its turn.

A permit is valid for a short time from its request, so that a server gets in no
window more than the rate for that window and one such time. While the owner
does not reply, a deputy grants permits at a fraction of the rate, because the
owner may still grant permits to other daemons.
"""

from collections import deque
from collections.abc import Iterable
from math import floor
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.membership.ranking import rank_names
from geraniumshelf_core.shares.bucket import (
    ShareBucket,
    resize,
    time_to_token,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Time for which a permit is valid, from its request. Opening a connection takes
# less.
PERMIT_TIME_NS: Final[Nanoseconds] = SECOND_NS // 2
# The owner may be in another region and busy.
_OWNER_TIMEOUT_MS: Final = 300
_OWNER_TIMEOUT_NS: Final[Nanoseconds] = _OWNER_TIMEOUT_MS * MILLISECOND_NS
# Permits are requested for the needs of this time.
_AHEAD_MS: Final = 250
_AHEAD_NS: Final[Nanoseconds] = _AHEAD_MS * MILLISECOND_NS
# Permits that the owner keeps while no daemon asks: a number, and a time at the
# rate.
_MIN_CAPACITY: Final = 2
_BURST_S: Final = 0.3
# Requests per second to a server that names less: only its responses tell when
# the limit ends.
_MIN_RATE: Final = 0.25
# Fraction of the rate that a daemon grants if another may grant all of it.
_DEPUTY_FRACTION: Final = 0.3
# Factor by which the daemons on both sides of a cut together may exceed a rate.
_CUT_FACTOR: Final = 1.25
# Time for which a daemon counts as one of those that need permits.
_ASKER_TIME_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Fraction of its turn after which a daemon asks again, as others may not.
_TURN_FRACTION: Final = 0.7
_MAX_TURN_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Interval of requests while the owner is silent.
_SILENT_INTERVAL_MS: Final = 100
_SILENT_INTERVAL_NS: Final[Nanoseconds] = _SILENT_INTERVAL_MS * MILLISECOND_NS
# No daemon has use for more permits at once.
_MAX_PERMITS: Final = 1000


@frozen
class PermitRequest:
    """Message that requests permits of the owner.

    Attributes:
        name: Name of the daemon that requests.
        requested_at: Time of the request on its clock.
        server: Name of the server.
        started_at_ms: Start of the server, Unix milliseconds.
        rate: Limit of the server as the daemon knows it, requests per second.
        version: Version of that limit.
        wanted: Number of permits.
    """

    name: str
    requested_at: Nanoseconds
    server: str
    started_at_ms: int
    rate: float
    version: int
    wanted: int


@frozen
class PermitGrant:
    """Reply to a request for permits.

    Attributes:
        name: Name of the daemon that replies.
        requested_at: Time of the request, as it states it.
        server: Name of the server.
        started_at_ms: Start of the server, Unix milliseconds.
        granted: Number of permits.
        wait: Time after which it is of use to ask again.
    """

    name: str
    requested_at: Nanoseconds
    server: str
    started_at_ms: int
    granted: int
    wait: Nanoseconds


@define(eq=False)
class PermitStock:
    """Permits of one daemon for one server.

    Attributes:
        expiries: Times at which its permits expire, the first one first.
        needs: Requests that preferred the server since the last request for
            permits.
        asked_at: Time of that request.
        ask_after: Time before which it is of no use to ask.
        unanswered_since: Time of the first request for permits to which the
            owner has not replied, ``None`` if it has replied.
    """

    expiries: deque[Nanoseconds] = field(factory=deque)
    needs: int = 0
    asked_at: Nanoseconds = 0
    ask_after: Nanoseconds = 0
    unanswered_since: Nanoseconds | None = None


@define(eq=False)
class PermitBucket:
    """Permits for one server at a daemon that grants them.

    Attributes:
        bucket: Token bucket of the rate.
        askers: Time of the last request by name of the daemon.
    """

    bucket: ShareBucket
    askers: dict[str, Nanoseconds] = field(factory=dict)


@frozen
class Granters:
    """Daemons that grant the permits for a server.

    Attributes:
        owner: Name of the daemon that grants them.
        deputy: Name of the daemon that grants some while the owner is silent,
            ``None`` if there is no other daemon.
        is_remote: Whether they are in another region than the server, because
            no daemon of its region is known.
    """

    owner: str
    deputy: str | None
    is_remote: bool = False


def choose_granters(
    server: str, region_daemons: Iterable[str], all_daemons: Iterable[str]
) -> Granters | None:
    """Return the daemons that grant the permits for a server.

    Args:
        server: Name of the server.
        region_daemons: Names of the daemons in its region.
        all_daemons: Names of all daemons.

    Returns:
        ``None`` if no daemon is known.
    """
    in_region = tuple(region_daemons)
    ranked = rank_names(server, in_region or all_daemons)
    if not ranked:
        return None
    deputy = ranked[1] if len(ranked) > 1 else None
    return Granters(ranked[0], deputy, is_remote=not in_region)


def granted_fraction(
    granters: Granters, name: str, known: int, lost: int
) -> float:
    """Return the fraction of the rate that a daemon may grant.

    Args:
        granters: Daemons that grant the permits, as it knows them.
        name: Its name.
        known: Number of daemons of the server's region that it hears, itself
            included.
        lost: Number of daemons of that region that fell silent; they may have
            an owner of their own.
    """
    if name == granters.owner and not granters.is_remote:
        return min(1, _CUT_FACTOR * known / max(1, known + lost))
    if name in {granters.owner, granters.deputy}:
        return _DEPUTY_FRACTION
    return 0


def count_permits(stock: PermitStock, now: Nanoseconds) -> int:
    """Return how many permits are valid; drop the expired ones."""
    expiries = stock.expiries
    while expiries and expiries[0] <= now:
        expiries.popleft()
    return len(expiries)


def take_permit(stock: PermitStock, now: Nanoseconds) -> bool:
    """Use a permit; return whether there was one."""
    if not count_permits(stock, now):
        return False
    stock.expiries.popleft()
    return True


def drop_permits(stock: PermitStock) -> None:
    """Drop all permits, as the limit is lower than when they were granted."""
    stock.expiries.clear()


def plan_request(stock: PermitStock, now: Nanoseconds) -> int:
    """Return how many permits to request for a request that has none.

    The time of the request is recorded.

    Returns:
        0 if it is of no use to ask now.
    """
    if now < stock.ask_after:
        return 0
    elapsed = max(now - stock.asked_at, _AHEAD_NS)
    ahead = stock.needs * _AHEAD_NS // elapsed
    stock.needs = 0
    stock.asked_at = now
    if is_owner_silent(stock, now):
        stock.ask_after = now + _SILENT_INTERVAL_NS
    if stock.unanswered_since is None:
        stock.unanswered_since = now
    return min(1 + ahead, _MAX_PERMITS)


def is_owner_silent(stock: PermitStock, now: Nanoseconds) -> bool:
    """Return whether the owner has left a request unanswered for too long."""
    since = stock.unanswered_since
    return since is not None and now - since >= _OWNER_TIMEOUT_NS


def record_grant(
    stock: PermitStock,
    grant: PermitGrant,
    now: Nanoseconds,
    *,
    is_from_owner: bool,
) -> None:
    """Add granted permits, which are valid for a time from their request."""
    if is_from_owner:
        stock.unanswered_since = None
    stock.ask_after = now + min(max(0, grant.wait), _MAX_TURN_NS)
    expires_at = min(grant.requested_at, now) + PERMIT_TIME_NS
    granted = min(grant.granted, _MAX_PERMITS)
    stock.expiries = deque(
        sorted((*stock.expiries, *(expires_at for _ in range(granted))))
    )


def make_bucket(now: Nanoseconds) -> PermitBucket:
    """Return the bucket of a daemon that begins to grant permits."""
    return PermitBucket(ShareBucket(rate=0, capacity=0, filled_at=now))


def grant_permits(
    permits: PermitBucket, rate: float, request: PermitRequest, now: Nanoseconds
) -> tuple[int, Nanoseconds]:
    """Take permits out of the bucket for a daemon.

    Args:
        permits: Permits for the server.
        rate: Permits per second that this daemon may grant.
        request: The request for permits.
        now: Current time.

    Returns:
        The number of permits, and the time after which the daemon may ask
        again.
    """
    usable_rate = max(rate, _MIN_RATE)
    bucket = permits.bucket
    resize(bucket, usable_rate, _MIN_CAPACITY + usable_rate * _BURST_S, now)
    granted = max(0, min(request.wanted, floor(bucket.tokens)))
    bucket.tokens -= granted
    askers = permits.askers
    askers[request.name] = now
    for name in tuple(askers):
        if now - askers[name] > _ASKER_TIME_NS:
            del askers[name]
    if granted >= request.wanted:
        return granted, 0
    turn = round(_TURN_FRACTION * len(askers) / usable_rate * SECOND_NS)
    return granted, min(_MAX_TURN_NS, max(time_to_token(bucket), turn))
