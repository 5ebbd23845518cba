"""Limits how long a pooled connection may be idle and still be reused.

Each daemon sends few requests to each of many servers, some of them far away.
Opening a connection costs a network round trip, a tenth to a third of the
target latency. But some servers drop idle connections without closing them,
and the next request on such a connection is lost.
"""

from typing import Final

from attrs import define, field

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Used if a server does not announce a keep-alive timeout.
_DEFAULT_IDLE_S: Final = 4
_DEFAULT_IDLE_NS: Final[Nanoseconds] = _DEFAULT_IDLE_S * SECOND_NS
# Usable fraction of an announced keep-alive timeout; the rest covers the
# network delay to the server.
_USABLE_FRACTION: Final = 0.6
_MAX_IDLE_S: Final = 10
_MAX_IDLE_NS: Final[Nanoseconds] = _MAX_IDLE_S * SECOND_NS
# After the loss of an idle connection the limit of its service is half of that
# idle time. It doubles after each of these intervals without another loss.
_RECOVERY_S: Final = 20
_RECOVERY_NS: Final[Nanoseconds] = _RECOVERY_S * SECOND_NS
_MAX_DOUBLINGS: Final = 10


@define
class IdleLimit:
    """Limit that follows from the last lost connection to a service.

    Attributes:
        max_idle: Idle time up to which connections are reused after the loss.
        last_loss_at: Time of the loss.
    """

    max_idle: Nanoseconds
    last_loss_at: Nanoseconds


@define
class IdleLimits:
    """Limits of the services that have lost idle connections, by service."""

    limits: dict[str, IdleLimit] = field(factory=dict)


def max_idle_time(
    state: IdleLimits,
    service: str,
    announced: Nanoseconds | None,
    now: Nanoseconds,
) -> Nanoseconds:
    """Return the idle time up to which a connection is reused.

    Args:
        state: Limits by service.
        service: Service of the server.
        announced: Keep-alive timeout that the server announced, ``None`` if it
            announced none.
        now: Current time.
    """
    max_idle = _DEFAULT_IDLE_NS
    if announced is not None:
        max_idle = min(round(announced * _USABLE_FRACTION), _MAX_IDLE_NS)
    limit = state.limits.get(service)
    if limit is None:
        return max_idle
    doublings = min((now - limit.last_loss_at) // _RECOVERY_NS, _MAX_DOUBLINGS)
    return min(max_idle, limit.max_idle * int(2**doublings))


def record_loss(
    state: IdleLimits, service: str, idle: Nanoseconds, now: Nanoseconds
) -> None:
    """Lower the limit of a service after it lost an idle connection.

    Args:
        state: Limits by service.
        service: Service of the server.
        idle: Time for which the connection had been idle.
        now: Current time.
    """
    state.limits[service] = IdleLimit(idle // 2, now)
