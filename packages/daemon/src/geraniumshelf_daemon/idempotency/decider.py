"""Decides locally or asks the daemon that issued the id."""

from collections.abc import Callable
from typing import Final

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
    RunAcknowledged,
    RunFinished,
    RunQuery,
    RunVerdict,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.idempotency.grant import RunGrant
from geraniumshelf_daemon.idempotency.interface import DeciderDirectory
from geraniumshelf_daemon.idempotency.reports import OutcomeReports
from geraniumshelf_daemon.idempotency.wire import (
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
        self._reports = OutcomeReports(
            peers, self._decider_of, self._finish_here
        )
        peers.register(RunQuery, self._answer_query)
        peers.register(RunFinished, self._record_outcome)
        peers.register(DeciderMoved, self._note_move)

    @property
    def table(self) -> RunTable:
        """Return the records."""
        return self._table

    @property
    def reports(self) -> OutcomeReports:
        """Return the reports to other deciders."""
        return self._reports

    def add_issuer(self, slot: str, incarnation: int) -> None:
        """Begin to decide for ids of the own slot and incarnation."""
        issuer = (slot, incarnation)
        if issuer not in self._table.issuers:
            become_issuer(self._table, issuer, self._clock())

    async def decide(self, account: str, text: str) -> tuple[RunGrant, Verdict]:
        """Return the verdict about a request.

        Raises:
            RequestRefused: ``MALFORMED_REQUEST_ID``.
        """
        request_id = parse_request_id(text)
        issuer = issuer_of(request_id)
        if issuer in self._table.issuers and issuer not in self._table.moved:
            grant = RunGrant(account, request_id, '')
            asker = _asker(self._instance, grant.nonce)
            verdict = decide(
                self._table, account, request_id, asker, self._clock()
            )
            return grant, verdict
        return await self._ask(account, request_id)

    def report_outcome(self, grant: RunGrant, outcome: RunOutcome) -> None:
        """Report how a granted run ended to whoever granted it."""
        if not self._finish_here(grant, outcome):
            self._reports.send(grant, outcome)

    def note_decider(self, issuer: Issuer, instance: str) -> None:
        """Remember who decides for an issuer that has stopped."""
        self._moved[issuer] = instance

    def _decider_of(self, grant: RunGrant) -> str:
        return self._moved.get(issuer_of(grant.request_id), grant.decider)

    def _finish_here(self, grant: RunGrant, outcome: RunOutcome) -> bool:
        issuer = issuer_of(grant.request_id)
        is_own = issuer in self._table.issuers
        if not is_own or issuer in self._table.moved:
            return False
        finish(
            self._table,
            grant.account,
            grant.request_id,
            _asker(self._instance, grant.nonce),
            outcome,
        )
        return True

    async def _ask(
        self, account: str, request_id: RequestId
    ) -> tuple[RunGrant, Verdict]:
        issuer = issuer_of(request_id)
        decider = self._moved.get(issuer) or self._directory.find(*issuer)
        grant = RunGrant(account, request_id, decider or '')
        for _ in range(_MOST_MOVES):
            if not grant.decider or grant.decider == self._instance:
                return grant, Unknown('the daemon that decides is gone')
            verdict = await self._request(grant)
            if not isinstance(verdict, Moved):
                return grant, verdict
            self._moved[issuer] = verdict.instance
            grant.decider = verdict.instance
        return grant, Unknown('the daemon that decides could not be found')

    async def _request(self, grant: RunGrant) -> Verdict:
        query = RunQuery(grant.account, str(grant.request_id), grant.nonce)
        try:
            answer = await self._peers.request(
                grant.decider, query, _ASK_TIMEOUT
            )
        except PeerError as error:
            if error.code is not ResultCode.PEER_UNREACHABLE:
                # A run may have been granted that will never begin.
                self.report_outcome(grant, Lost())
            return Unknown('the daemon that decides does not answer')
        if not isinstance(answer, RunVerdict):
            return Unknown('the daemon that decides gave another answer')
        return read_verdict(answer)

    async def _answer_query(self, instance: str, query: RunQuery) -> RunVerdict:
        verdict = decide(
            self._table,
            query.account,
            parse_request_id(query.request_id),
            _asker(instance, query.nonce),
            self._clock(),
        )
        return verdict_message(verdict)

    async def _record_outcome(
        self, instance: str, message: RunFinished
    ) -> RunAcknowledged:
        finish(
            self._table,
            message.account,
            parse_request_id(message.request_id),
            _asker(instance, message.nonce),
            read_outcome(message),
        )
        return RunAcknowledged(message.nonce)

    async def _note_move(self, instance: str, message: DeciderMoved) -> None:
        self._moved[(message.slot, message.incarnation)] = message.instance


def _asker(instance: str, nonce: int) -> str:
    return f'{instance}#{nonce:x}'
