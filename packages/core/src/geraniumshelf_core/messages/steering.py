"""Messages that carry plans, loads and traffic between daemons."""

from attrs import frozen


@frozen
class PlanAnnouncement:
    """An announcement of the plan revisions that the sender has.

    A peer that has newer plans sends them in return.

    Attributes:
        revisions: Pairs of service name and revision.
    """

    revisions: tuple[tuple[str, int], ...]


@frozen
class PlanContents:
    """Plans that the receiver may lack.

    Attributes:
        plans: Plans, encoded as in the store.
    """

    plans: tuple[bytes, ...]


@frozen
class LoadReport:
    """Loads of the backend servers of one zone.

    Attributes:
        origin: Unique name of the run of the reporting daemon.
        sequence: Number that increases with each report of the origin.
        link_count: Number of peers that the origin is linked to. If these are
            not all, receivers have to relay the report.
        age_ms: Time since the loads were measured, milliseconds.
        servers: Rows of server name, requests in flight, slots, and 1 if the
            server is leaving.
    """

    origin: str
    sequence: int
    link_count: int
    age_ms: int
    servers: tuple[tuple[str, int, int, int], ...]


@frozen
class DemandReport:
    """Requests in flight at one entry instance.

    Attributes:
        instance: Instance name.
        origin: Unique name of the run of the reporting daemon.
        sequence: Number that increases with each report of the origin.
        link_count: As in ``LoadReport``.
        requests: Rows of service, source region and mean requests in flight,
            micro-requests.
    """

    instance: str
    origin: str
    sequence: int
    link_count: int
    requests: tuple[tuple[str, str, int], ...]
