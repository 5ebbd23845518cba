"""Messages that carry plans, loads and traffic between daemons."""

from attrs import frozen


@frozen
class PlanAnnouncement:
    """Tells a peer which plan revisions the sender has.

    A peer that has higher ones sends them.

    Attributes:
        revisions: Service names and revisions.
    """

    revisions: tuple[tuple[str, int], ...]


@frozen
class PlanContents:
    """Plans that the receiver may lack.

    Attributes:
        plans: Plans in their stored form.
    """

    plans: tuple[bytes, ...]


@frozen
class LoadReport:
    """Loads of the backend servers of one zone.

    Attributes:
        origin: Unique name of the run of the reporting daemon.
        sequence: Grows with each report of the origin.
        link_count: Peers that the origin is linked to; others have to send the
            report on if this is not all of them.
        age_ms: Time since the loads were measured, milliseconds.
        servers: Server name, requests in flight, slots, and 1 if leaving.
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
        sequence: Grows with each report of the origin.
        link_count: As in ``LoadReport``.
        requests: Service, source region and mean requests in flight,
            micro-requests.
    """

    instance: str
    origin: str
    sequence: int
    link_count: int
    requests: tuple[tuple[str, str, int], ...]
