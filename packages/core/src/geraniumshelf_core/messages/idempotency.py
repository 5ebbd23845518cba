"""Messages about the at-most-once execution of requests."""

from typing import Any

from attrs import frozen


@frozen
class RunQuery:
    """A query to the decider whether a request may run.

    The decider is the daemon that keeps the run records of the daemon that
    issued the request id.

    Attributes:
        account: Client account, empty on open routes.
        request_id: The request id.
        nonce: Random number that the report of the end of a granted run
            repeats.
    """

    account: str
    request_id: str
    nonce: int


@frozen
class RunVerdict:
    """The reply to a run query.

    The verdict ``run`` grants one run to the sender of the query.

    Attributes:
        verdict: ``run``, ``in-progress``, ``done``, ``unknown``, ``full`` or
            ``moved``.
        detail: Reason of the verdict; for ``moved``, the name of the instance
            that decides now.
        status: HTTP status of a finished run, 0 for none.
        headers: Names and values needed to repeat the response.
        has_body: Whether the body was kept.
        body: The kept body.
    """

    verdict: str
    detail: str
    status: int
    headers: tuple[Any, ...]
    has_body: bool
    body: bytes


@frozen
class RunFinished:
    """A report of how a granted run ended.

    Attributes:
        account: Client account, empty on open routes.
        request_id: The request id.
        nonce: Random number of the query by which the run was granted.
        outcome: ``not-run``, ``lost`` or ``finished``.
        status: HTTP status of a finished run, 0 for none.
        headers: Names and values needed to repeat the response.
        has_body: Whether the body is small enough to be kept.
        body: The body.
    """

    account: str
    request_id: str
    nonce: int
    outcome: str
    status: int
    headers: tuple[Any, ...]
    has_body: bool
    body: bytes


@frozen
class RunAcknowledged:
    """The confirmation of a report of how a run ended."""

    nonce: int


@frozen
class RecordsHandover:
    """A part of the run records that a stopping daemon hands over.

    Attributes:
        slot: Slot of the issuer.
        incarnation: Incarnation of the issuer.
        window: Current window of the issuer.
        part: Number of this part, from 0.
        parts: Number of parts; the last part completes the handover.
        rows: Rows as ``idempotency.queries.export_rows`` returns them.
    """

    slot: str
    incarnation: int
    window: int
    part: int
    parts: int
    rows: tuple[Any, ...]


@frozen
class HandoverAccepted:
    """The confirmation of a part of a handover.

    Attributes:
        slot: Slot of the issuer.
        incarnation: Incarnation of the issuer.
        is_complete: Whether the sender decides for the issuer from now on.
    """

    slot: str
    incarnation: int
    is_complete: bool


@frozen
class DeciderMoved:
    """A notice to peers that another daemon decides for an issuer.

    Attributes:
        slot: Slot of the issuer.
        incarnation: Incarnation of the issuer.
        instance: Instance name of the daemon that decides.
    """

    slot: str
    incarnation: int
    instance: str
