"""Run records of a decider and its verdicts about requests.

The decider of a request id is the daemon that keeps the records of the issuer
of the id: the issuer itself, or the peer that took its records over.
"""

from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.idempotency.request_id import RequestId
from geraniumshelf_core.units import Nanoseconds

KEPT_WINDOWS: Final = 10
MAX_KEPT_BODY_BYTES: Final = 4096

Issuer = tuple[str, int]
HeaderPairs = tuple[tuple[str, str], ...]
RecordKey = tuple[str, RequestId]


@frozen
class Running:
    """Record of a granted run that has not ended.

    Attributes:
        granted_to: Instance that runs the request and the nonce of its query.
    """

    granted_to: str


@frozen
class Lost:
    """Record of a granted run whose outcome is unknown."""


@frozen
class Finished:
    """Record of a run that ended with a response.

    Attributes:
        status: HTTP status.
        headers: Headers needed to repeat the response.
        body: The body, ``None`` if it was too large or the table had no room
            for it.
    """

    status: int
    headers: HeaderPairs = ()
    body: bytes | None = None


@frozen
class NotRun:
    """Outcome of a granted run that never began; another may be granted."""


RunRecord = Running | Lost | Finished
RecordsByWindow = dict[int, dict[RecordKey, RunRecord]]
RunOutcome = Lost | Finished | NotRun


@frozen
class Run:
    """Verdict: the requester may run it and must report the outcome."""


@frozen
class InProgress:
    """Verdict: the request is being run."""


@frozen
class Done:
    """Verdict: the request was run; its response may be repeated."""

    answer: Finished


@frozen
class Unknown:
    """Verdict: it is unknown whether the request ran; it must not be run."""

    reason: str


@frozen
class Full:
    """Verdict: the request did not run, and the table of records is full."""


@frozen
class Moved:
    """Verdict: another daemon decides for the issuer now."""

    instance: str


Verdict = Run | InProgress | Done | Unknown | Full | Moved


@frozen
class Adoption:
    """The start of this daemon's decisions for an issuer.

    Attributes:
        window: The issuer's window at the time of adoption.
        adopted_at: Time of adoption on this daemon's clock.
    """

    window: int
    adopted_at: Nanoseconds


@define
class RunTable:
    """The records of one decider.

    Attributes:
        max_records: Largest number of records.
        max_kept_bytes: Largest total size of the kept bodies, bytes.
        issuers: Issuers that this daemon decides for, at first only itself.
        moved: Instance name of the peer that took over, by issuer; empty
            while the handover is in progress.
        records: Records by issuer, window and key.
        kept_bytes: Total size of the kept bodies, bytes.
    """

    max_records: int
    max_kept_bytes: int
    issuers: dict[Issuer, Adoption] = field(factory=dict)
    moved: dict[Issuer, str] = field(factory=dict)
    records: dict[Issuer, RecordsByWindow] = field(factory=dict)
    kept_bytes: int = 0
