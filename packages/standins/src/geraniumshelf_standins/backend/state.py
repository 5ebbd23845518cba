"""State, request records and faults of a simulated backend server."""

import time
from enum import Enum, unique

from attrs import define, field


@unique
class LoadMisreport(Enum):
    """Wrong values that the load and health endpoints return.

    ``IDLE`` reports no load. ``HEALTHY`` reports a healthy server while it
    drains. ``SICK`` reports an unhealthy server.
    """

    NONE = 'none'
    IDLE = 'idle'
    HEALTHY = 'healthy'
    SICK = 'sick'


@define
class Faults:
    """Faults that a test can inject.

    Attributes:
        load_lie: Wrong values that the load and health endpoints return.
        lag_ms: Staleness of the reported load, milliseconds.
        late_ms: Delay added to each answer, milliseconds.
        cut_after: Bytes of an answer body after which the connection is
            closed; ``None`` for never.
        silence: Number of times that the open connections were silenced.
            Raising it leaves requests on the connections that are open at
            that time without an answer; later connections are served.
        drain: Whether the server reports that it is leaving.
        shed: Whether every request is answered with 503.
        service_ms: Service time of a request, milliseconds.
        cold_ms: Time after the start during which the service time is
            multiplied by ``cold_factor``, milliseconds.
        cold_factor: Factor of the service time during ``cold_ms``.
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
    """A request that arrived.

    Attributes:
        request_id: Request id from the headers, empty if there is none.
        account: Client account from the headers, empty if there is none.
        method: HTTP method.
        path: Path with query.
        headers: All header fields.
        started_ns: Arrival, nanoseconds of the monotonic clock.
        body_digest: SHA-256 of the request body, empty until all of it has
            arrived.
        ended_ns: End, nanoseconds of the monotonic clock; ``None`` while it
            runs.
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
    """State of one simulated backend server.

    Attributes:
        name: Name of the backend server.
        service: Service name.
        slots: Requests that it runs at once; further ones are shed.
        faults: Faults in force.
        records: Requests in order of their arrival.
        in_flight: Requests that are running.
        most_in_flight: Highest number of requests that ran at once.
        load_history: Times, nanoseconds of the monotonic clock, with the
            number of running requests from then on.
        started_ns: Start, nanoseconds of the monotonic clock.
    """

    name: str
    service: str
    slots: int
    faults: Faults = field(factory=Faults)
    records: list[RequestRecord] = field(factory=list)
    in_flight: int = 0
    most_in_flight: int = 0
    load_history: list[tuple[int, int]] = field(factory=list)
    started_ns: int = field(factory=time.monotonic_ns)
