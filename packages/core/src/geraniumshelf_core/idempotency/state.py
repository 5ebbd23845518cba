"""Run records of a decider, and verdicts about requests."""

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
    """A run was granted and has not ended.

    Attributes:
        granted_to: Instance that runs it and the number of its query.
    """

    granted_to: str


@frozen
class Lost:
    """A run was granted and nobody knows how it ended."""


@frozen
class Finished:
    """A run ended with an answer.

    Attributes:
        status: HTTP status.
        headers: Headers needed to repeat the answer.
        body: The body, ``None`` if it was too large to keep.
    """

    status: int
    headers: HeaderPairs = ()
    body: bytes | None = None


@frozen
class NotRun:
    """A granted run never began, so another may be granted."""


RunRecord = Running | Lost | Finished
Windows = dict[int, dict[RecordKey, RunRecord]]
RunOutcome = Lost | Finished | NotRun


@frozen
class Run:
    """Verdict: run it; the asker must report the outcome."""


@frozen
class InProgress:
    """Verdict: it is being run."""


@frozen
class Done:
    """Verdict: it was run; the answer may be repeated."""

    answer: Finished


@frozen
class Unknown:
    """Verdict: nobody knows whether it ran; it must not be run."""

    reason: str


@frozen
class Full:
    """Verdict: it did not run, and there is no room to record a run."""


@frozen
class Moved:
    """Verdict: another daemon has taken over the decision."""

    instance: str


Verdict = Run | InProgress | Done | Unknown | Full | Moved


@frozen
class Adoption:
    """An issuer whose ids this daemon decides.

    Attributes:
        window: The issuer's window at the time of adoption.
        since: Time of adoption on this daemon's clock.
    """

    window: int
    since: Nanoseconds


@define
class RunTable:
    """The records of one decider.

    Attributes:
        limit: Largest number of records.
        issuers: Issuers that this daemon decides for; a daemon begins with
            itself.
        moved: Issuers whose records went to a peer, with its instance name,
            empty while the handover runs.
        records: Records by window and key.
        kept_bytes: Bytes of all kept bodies.
        byte_limit: Largest sum of kept bodies, bytes.
    """

    limit: int
    byte_limit: int
    issuers: dict[Issuer, Adoption] = field(factory=dict)
    moved: dict[Issuer, str] = field(factory=dict)
    records: dict[Issuer, Windows] = field(factory=dict)
    kept_bytes: int = 0
