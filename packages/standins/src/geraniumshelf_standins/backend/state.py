"""What a backend server records and which faults it shows."""

import time
from enum import Enum, unique

from attrs import define, field


@unique
class LoadMisreport(Enum):
    """How the load and health endpoints mislead."""

    NONE = 'none'
    IDLE = 'idle'
    HEALTHY = 'healthy'
    SICK = 'sick'


@define
class Faults:
    """Faults that a test can set.

    Attributes:
        load_lie: How the load and health endpoints mislead.
        lag_ms: Age of the load that is reported, milliseconds.
        late_ms: Time added before each answer, milliseconds.
        cut_after: Bytes of an answer body after which the connection is
            closed; ``None`` for never.
        silence: Number of times that open connections went silent; raising
            it silences the connections that are open now.
        drain: Whether the server is leaving.
        shed: Whether every request is shed.
        service_ms: Time that a request takes, milliseconds.
        cold_ms: Time after the start during which requests are slower,
            milliseconds.
        cold_factor: How many times slower requests are while cold.
    """

    load_lie: LoadMisreport = field(
        default=LoadMisreport.NONE, converter=LoadMisreport
    )
    lag_ms: int = 0
    late_ms: int = 0
    cut_after: int | None = None
    silence: int = 0
    drain: bool = False
    shed: bool = False
    service_ms: int = 0
    cold_ms: int = 0
    cold_factor: int = 4


@define
class RequestRecord:
    """One request that arrived.

    Attributes:
        started_ns: Arrival, nanoseconds of the monotonic clock.
        ended_ns: End, ``None`` while it runs.
        outcome: ``running``, ``done``, ``shed``, ``cancelled``, ``deadline``,
            ``cut`` or ``silent``.
    """

    request_id: str
    account: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    started_ns: int
    body_digest: str = ''
    ended_ns: int | None = None
    outcome: str = 'running'


@define
class BackendState:
    """The state of one backend server."""

    name: str
    service: str
    slots: int
    faults: Faults = field(factory=Faults)
    records: list[RequestRecord] = field(factory=list)
    in_flight: int = 0
    most_in_flight: int = 0
    load_history: list[tuple[int, int]] = field(factory=list)
    started_ns: int = field(factory=time.monotonic_ns)
