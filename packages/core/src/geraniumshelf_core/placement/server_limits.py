"""Limits that backend servers name for the rate of their requests.

A server in need names in its responses how many requests a second it takes
from all daemons together. The limit holds for as long as its responses name it.

Responses may arrive in another order than the server wrote them in. So a
response lifts or raises a limit only if its request was sent after the daemon
had learned of the limit; a lower limit is in force at once.

Daemons tell each other of changes. Each change that a daemon sees in a response
gets the next version, and the latest version is in force at all daemons.
"""

import re
from collections.abc import Collection
from math import inf
from typing import Final

from attrs import define, frozen

from geraniumshelf_core.units import Nanoseconds

# A plain decimal number. More digits make no difference.
_RATE_PATTERN: Final = re.compile(
    r'(?:\d{1,9}(?:\.\d{0,9})?|\.\d{1,9})', re.ASCII
)
# Characters of an unreadable limit that are kept.
_MAX_TEXT_LENGTH: Final = 40


@frozen
class NamedLimit:
    """A response names a limit.

    Attributes:
        rate: Requests per second from all daemons together.
    """

    rate: float


@frozen
class NoLimit:
    """A response names no limit."""


@frozen
class UnreadableLimit:
    """A response names something that is no limit; it says nothing.

    Attributes:
        text: Beginning of what it names.
    """

    text: str


LimitStatement = NamedLimit | NoLimit | UnreadableLimit


@define(eq=False)
class ServerLimit:
    """The limit of one start of a server, as this daemon knows it.

    Attributes:
        rate: Requests per second from all daemons together, ``None`` if no
            limit is in force.
        version: Number of changes up to this one, 0 if it was never limited.
        confirmed_at: Time at which this daemon last heard of the limit.
    """

    rate: float | None = None
    version: int = 0
    confirmed_at: Nanoseconds = 0


@frozen
class LimitNotice:
    """Message to other daemons about the limit of a server.

    Attributes:
        server: Name of the server.
        started_at_ms: Time of its start, Unix milliseconds.
        rate: Requests per second from all daemons together, ``None`` if the
            limit has ended.
        version: Version of the limit.
    """

    server: str
    started_at_ms: int
    rate: float | None
    version: int


def read_limit(texts: Collection[str]) -> LimitStatement:
    """Read the values of all headers that name a limit.

    >>> read_limit(['5.6']), read_limit([])
    (NamedLimit(rate=5.6), NoLimit())
    >>> read_limit(['-1']), read_limit(['5', '6'])
    (UnreadableLimit(text='-1'), UnreadableLimit(text='5, 6'))
    """
    if not texts:
        return NoLimit()
    distinct = list(dict.fromkeys(text.strip() for text in texts))
    if len(distinct) == 1 and _RATE_PATTERN.fullmatch(distinct[0]):
        return NamedLimit(float(distinct[0]))
    return UnreadableLimit(', '.join(distinct)[:_MAX_TEXT_LENGTH])


def record_statement(
    limit: ServerLimit,
    statement: LimitStatement,
    sent_at: Nanoseconds,
    now: Nanoseconds,
) -> bool:
    """Record what a response says; return whether the limit has changed.

    Args:
        limit: Limit of the server that responded.
        statement: What its response says.
        sent_at: Time at which the request was sent.
        now: Current time.
    """
    is_later = sent_at >= limit.confirmed_at
    match statement:
        case NamedLimit(rate):
            is_raised = limit.rate is not None and rate > limit.rate
            if is_raised and not is_later:
                return False
            is_changed = rate != limit.rate
            limit.rate = rate
            limit.confirmed_at = now
        case NoLimit() if limit.rate is not None and is_later:
            is_changed = True
            limit.rate = None
        case _:
            return False
    if is_changed:
        limit.version += 1
    return is_changed


def record_notice(
    limit: ServerLimit, notice: LimitNotice, now: Nanoseconds
) -> bool:
    """Record what another daemon knows; return whether the limit has changed.

    Of two changes with the same version the lower limit is in force.
    """
    is_valid = notice.rate is None or 0 <= notice.rate < inf
    if notice.version < limit.version or not is_valid:
        return False
    is_higher = _comparable(notice.rate) > _comparable(limit.rate)
    if notice.version == limit.version and is_higher:
        return False
    is_changed = notice.rate != limit.rate
    if is_changed:
        limit.confirmed_at = now
    limit.rate = notice.rate
    limit.version = notice.version
    return is_changed


def _comparable(rate: float | None) -> float:
    return inf if rate is None else rate
