"""Decides locally or asks the daemon that issued the id."""

from collections.abc import Callable
from typing import Final

from attrs import define

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.idempotency.commands import (
    become_issuer,
    decide,
    finish,
)
from geraniumshelf_core.idempotency.queries import issuer_of
from geraniumshelf_core.idempotency.request_id import (
    RequestId,
    parse_request_id,
)
from geraniumshelf_core.idempotency.state import (
    Issuer,
    Lost,
    Moved,
    RunOutcome,
    RunTable,
    Unknown,
    Verdict,
)
from geraniumshelf_core.messages.idempotency import (
    DeciderMoved,
    RunFinished,
    RunQuery,
    RunVerdict,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.idempotency.interface import DeciderDirectory
from geraniumshelf_daemon.idempotency.wire import (
    outcome_message,
    read_outcome,
    read_verdict,
    verdict_message,
)
from geraniumshelf_daemon.peers.interface import PeerNetwork

# 100,000 records of about 300 bytes and 8 MiB of bodies stay below the
# memory of the control plane.
RECORD_LIMIT: Final = 100_000
BODY_LIMIT: Final = 8388608

_ASK_TIMEOUT: Final[Nanoseconds] = SECOND_NS
_MOST_MOVES: Final = 3


@define
class Grant:
    """A run that was granted to this daemon.

    Attributes:
        decider: Instance that granted it, empty for this daemon.
    """

    account: str
    request_id: RequestId
    decider: str


class RunDecider:
    """Answers whether a request may run on behalf of an account."""

    def __init__(
        self,
        instance: str,
        peers: PeerNetwork,
        directory: DeciderDirectory,
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._instance = instance
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._table = RunTable(RECORD_LIMIT, BODY_LIMIT)
        self._moved: dict[Issuer, str] = {}
        peers.register(RunQuery, self._answer_query)
        peers.register(RunFinished, self._record_outcome)
        peers.register(DeciderMoved, self._note_move)

    @property
    def table(self) -> RunTable:
        """Return the records."""
        return self._table

    def issue(self, slot: str, incarnation: int) -> None:
        """Begin to decide for ids of the own slot and incarnation."""
        issuer = (slot, incarnation)
        if issuer not in self._table.issuers:
            become_issuer(self._table, issuer, self._clock())

    async def decide(self, account: str, text: str) -> tuple[Grant, Verdict]:
        """Return the verdict about a request.

        Raises:
            RequestRefused: ``MALFORMED_REQUEST_ID``.
        """
        request_id = parse_request_id(text)
        issuer = issuer_of(request_id)
        if issuer in self._table.issuers and issuer not in self._table.moved:
            verdict = decide(
                self._table, account, request_id, self._instance, self._clock()
            )
            return Grant(account, request_id, ''), verdict
        return await self._ask(account, request_id)

    def finished(self, grant: Grant, outcome: RunOutcome) -> None:
        """Report how a granted run ended to whoever granted it."""
        issuer = issuer_of(grant.request_id)
        is_local = issuer in self._table.issuers
        if is_local and issuer not in self._table.moved:
            finish(
                self._table,
                grant.account,
                grant.request_id,
                self._instance,
                outcome,
            )
            return
        decider = self._moved.get(issuer, grant.decider)
        if decider and decider != self._instance:
            self._peers.notify(
                decider,
                outcome_message(grant.account, str(grant.request_id), outcome),
            )

    def note_decider(self, issuer: Issuer, instance: str) -> None:
        """Remember who decides for an issuer that has stopped."""
        self._moved[issuer] = instance

    async def _ask(
        self, account: str, request_id: RequestId
    ) -> tuple[Grant, Verdict]:
        issuer = issuer_of(request_id)
        decider = self._moved.get(issuer) or self._directory.find(*issuer)
        grant = Grant(account, request_id, decider or '')
        for _ in range(_MOST_MOVES):
            if not grant.decider or grant.decider == self._instance:
                return grant, Unknown('the daemon that decides is gone')
            verdict = await self._request(grant)
            if not isinstance(verdict, Moved):
                return grant, verdict
            self._moved[issuer] = verdict.instance
            grant.decider = verdict.instance
        return grant, Unknown('the daemon that decides could not be found')

    async def _request(self, grant: Grant) -> Verdict:
        query = RunQuery(grant.account, str(grant.request_id))
        try:
            answer = await self._peers.request(
                grant.decider, query, _ASK_TIMEOUT
            )
        except PeerError as error:
            if error.code is not ResultCode.PEER_UNREACHABLE:
                # A run may have been granted that will never begin.
                self.finished(grant, Lost())
            return Unknown('the daemon that decides does not answer')
        if not isinstance(answer, RunVerdict):
            return Unknown('the daemon that decides gave another answer')
        return read_verdict(answer)

    async def _answer_query(self, instance: str, query: RunQuery) -> RunVerdict:
        verdict = decide(
            self._table,
            query.account,
            parse_request_id(query.request_id),
            instance,
            self._clock(),
        )
        return verdict_message(verdict)

    async def _record_outcome(
        self, instance: str, message: RunFinished
    ) -> None:
        finish(
            self._table,
            message.account,
            parse_request_id(message.request_id),
            instance,
            read_outcome(message),
        )

    async def _note_move(self, instance: str, message: DeciderMoved) -> None:
        self._moved[(message.slot, message.incarnation)] = message.instance
