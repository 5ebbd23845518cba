"""Messages that decide whether a request runs."""

from typing import Any

from attrs import frozen


@frozen
class RunQuery:
    """Asks the decider about a request.

    Attributes:
        account: Client account, empty on open routes.
        request_id: The request id.
        nonce: Random number; a run that is granted is ended by it.
    """

    account: str
    request_id: str
    nonce: int


@frozen
class RunVerdict:
    """The decider's answer; ``run`` grants one run to the asker.

    Attributes:
        verdict: ``run``, ``in-progress``, ``done``, ``unknown``, ``full`` or
            ``moved``.
        detail: Reason or, when moved, the instance that decides now.
        status: HTTP status of a finished run, 0 for none.
        headers: Names and values needed to repeat the answer.
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
    """Reports how a granted run ended.

    Attributes:
        account: Client account, empty on open routes.
        request_id: The request id.
        nonce: Number of the query by which the run was granted.
        outcome: ``not-run``, ``lost`` or ``finished``.
        status: HTTP status of a finished run, 0 for none.
        headers: Names and values needed to repeat the answer.
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
    """Confirms a report of how a run ended."""

    nonce: int


@frozen
class RecordsHandover:
    """A part of the records of a daemon that stops.

    Attributes:
        slot: Slot of the issuer.
        incarnation: Incarnation of the issuer.
        window: Current window of the issuer.
        part: Number of this part, from 0.
        parts: Number of all parts; the last one completes the handover.
        rows: Records in the form of ``export_rows``.
    """

    slot: str
    incarnation: int
    window: int
    part: int
    parts: int
    rows: tuple[Any, ...]


@frozen
class HandoverAccepted:
    """Confirms a part of a handover.

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
    """Tells peers who decides for an issuer now.

    Attributes:
        slot: Slot of the issuer.
        incarnation: Incarnation of the issuer.
        instance: Instance name of the daemon that decides.
    """

    slot: str
    incarnation: int
    instance: str
