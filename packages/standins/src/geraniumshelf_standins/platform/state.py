"""State of the simulated platform, in memory only."""

import asyncio
from collections import Counter, deque

from attrs import Factory, define, field, frozen

HISTORY_LIMIT = 10_000


@frozen
class Entry:
    """An object of the store.

    Attributes:
        name: Full name.
        version: Version of the store at its last change.
        content: The value, ``None`` for a deleted object.
    """

    name: str
    version: int
    content: bytes | None


@frozen
class Change:
    """A change of one object.

    Attributes:
        at: Time of the change, nanoseconds.
        entry: The object after the change.
        previous: The object before the change, if there was one.
    """

    at: int
    entry: Entry
    previous: Entry | None


@frozen
class Instance:
    """A declared entry instance."""

    name: str
    zone: str
    peer_address: str
    is_leaving: bool = False


@frozen
class InstanceList:
    """The declared instances from a time on, nanoseconds."""

    at: int
    instances: tuple[Instance, ...]


@define
class Fault:
    """Faults for callers from some source addresses.

    Attributes:
        only_from: IP addresses of the callers concerned; empty for all.
        down: ``refuse`` closes connections without a response,
            ``unavailable`` responds with 503, empty for neither.
        delay_s: Delay before each response, seconds.
        lose_answers: Number of further writes that take effect while their
            response is lost.
        stale_s: Age of the state that reads return, seconds.
        stale_versions: Number of store versions by which reads lag.
        stall_watches: Whether watches never respond.
    """

    only_from: tuple[str, ...] = ()
    down: str = ''
    delay_s: float = 0
    lose_answers: int = 0
    stale_s: float = 0
    stale_versions: int = 0
    stall_watches: bool = False


@define
class PlatformState:
    """Everything that the simulated platform holds.

    Attributes:
        history_limit: Number of changes that are kept for watches.
        instance_lag_s: Lag of the instance list, seconds.
        calls: Number of calls by kind.
        caller_calls: Number of calls by kind for each source IP address.
    """

    history_limit: int = HISTORY_LIMIT
    instance_lag_s: float = 0
    version: int = 0
    objects: dict[str, Entry] = Factory(dict)
    changes: deque[Change] = Factory(deque)
    instance_lists: list[InstanceList] = Factory(list)
    faults: tuple[Fault, ...] = ()
    calls: Counter[str] = Factory(Counter)
    caller_calls: dict[str, Counter[str]] = Factory(dict)
    changed: asyncio.Event = field(factory=asyncio.Event)
