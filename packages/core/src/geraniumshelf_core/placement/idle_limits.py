"""How long a connection may have been idle before a request goes out on it.

Answers a load in which each daemon sends few requests to each of many servers,
some of them far away: a new connection takes as long as the way to the server
and back, a tenth to a third of the time within which an answer is on time. Some
servers forget idle connections without a word, and what is sent next is lost.
"""

from typing import Final

from attrs import define, field

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Used if a server does not say how long it keeps idle connections.
_USUAL_S: Final = 4
_USUAL_NS: Final[Nanoseconds] = _USUAL_S * SECOND_NS
# Part of the time that a server says; the rest covers the way to it.
_STATED_PART: Final = 0.6
_LONGEST_S: Final = 10
_LONGEST_NS: Final[Nanoseconds] = _LONGEST_S * SECOND_NS
# A connection that was lost while idle halves the time for its service; the
# limit doubles again after each of these times without a further loss.
_RECOVERY_S: Final = 20
_RECOVERY_NS: Final[Nanoseconds] = _RECOVERY_S * SECOND_NS
_MOST_DOUBLINGS: Final = 10


@define
class IdleLimit:
    """What was learnt of the connections to a service.

    Attributes:
        max_idle: Idle time up to which connections are used again.
        last_loss_at: Time of the last loss.
    """

    max_idle: Nanoseconds
    last_loss_at: Nanoseconds


@define
class IdleLimits:
    """What was learnt of idle connections, by service."""

    limits: dict[str, IdleLimit] = field(factory=dict)


def max_idle_time(
    state: IdleLimits,
    service: str,
    stated: Nanoseconds | None,
    now: Nanoseconds,
) -> Nanoseconds:
    """Return the idle time up to which a connection is used again.

    Args:
        state: What was learnt.
        service: Service of the server.
        stated: Time for which the server says that it keeps idle connections.
        now: Current time.
    """
    usual = _USUAL_NS
    if stated is not None:
        usual = min(round(stated * _STATED_PART), _LONGEST_NS)
    learnt = state.limits.get(service)
    if learnt is None:
        return usual
    doublings = min(
        (now - learnt.last_loss_at) // _RECOVERY_NS, _MOST_DOUBLINGS
    )
    return min(usual, learnt.max_idle * int(2**doublings))


def record_loss(
    state: IdleLimits, service: str, idle: Nanoseconds, now: Nanoseconds
) -> None:
    """Learn from a connection that was lost after an idle time."""
    state.limits[service] = IdleLimit(idle // 2, now)
