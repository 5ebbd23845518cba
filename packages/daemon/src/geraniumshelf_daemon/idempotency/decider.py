"""Decisions about runs, made here or by the daemon that issued the id."""

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
    build_verdict_message,
    parse_outcome,
    parse_verdict,
)
from geraniumshelf_daemon.peers.interface import PeerNetwork

# 100,000 records of about 300 bytes and 8 MiB of kept bodies fit into the
# memory of the control plane.
MAX_RECORDS: Final = 100_000
MAX_KEPT_BYTES: Final = 8388608

_QUERY_TIMEOUT_NS: Final[Nanoseconds] = SECOND_NS
_MAX_MOVES: Final = 3


class RunDecider:
    """Decides whether a request of an account may run."""

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
        self._table = RunTable(MAX_RECORDS, MAX_KEPT_BYTES)
        self._successors: dict[Issuer, str] = {}
        self._reports = OutcomeReports(
            peers, self._find_decider, self._record_locally
        )
        peers.register(RunQuery, self._handle_query)
        peers.register(RunFinished, self._record_outcome)
        peers.register(DeciderMoved, self._record_move)

    @property
    def table(self) -> RunTable:
        """Return the run records of this daemon."""
        return self._table

    @property
    def reports(self) -> OutcomeReports:
        """Return the outcome reports to other deciders."""
        return self._reports

    def add_issuer(self, slot: str, incarnation: int) -> None:
        """Start deciding for ids issued with a slot and an incarnation."""
        issuer = (slot, incarnation)
        if issuer not in self._table.issuers:
            become_issuer(self._table, issuer, self._clock())

    async def decide(
        self, account: str, request_id_text: str
    ) -> tuple[RunGrant, Verdict]:
        """Return the verdict about a request, with the grant to report on.

        Raises:
            RequestRefused: ``MALFORMED_REQUEST_ID`` if the id can't be
                parsed.
        """
        request_id = parse_request_id(request_id_text)
        issuer = issuer_of(request_id)
        if issuer in self._table.issuers and issuer not in self._table.moved:
            grant = RunGrant(account, request_id, '')
            requester = _build_requester(self._instance, grant.nonce)
            verdict = decide(
                self._table, account, request_id, requester, self._clock()
            )
            return grant, verdict
        return await self._query_decider(account, request_id)

    def report_outcome(self, grant: RunGrant, outcome: RunOutcome) -> None:
        """Record the outcome of a granted run at the daemon that decides."""
        if not self._record_locally(grant, outcome):
            self._reports.send(grant, outcome)

    def record_decider(self, issuer: Issuer, instance: str) -> None:
        """Record which instance decides for an issuer that has stopped."""
        self._successors[issuer] = instance

    def _find_decider(self, grant: RunGrant) -> str:
        return self._successors.get(issuer_of(grant.request_id), grant.decider)

    def _record_locally(self, grant: RunGrant, outcome: RunOutcome) -> bool:
        issuer = issuer_of(grant.request_id)
        is_own = issuer in self._table.issuers
        if not is_own or issuer in self._table.moved:
            return False
        finish(
            self._table,
            grant.account,
            grant.request_id,
            _build_requester(self._instance, grant.nonce),
            outcome,
        )
        return True

    async def _query_decider(
        self, account: str, request_id: RequestId
    ) -> tuple[RunGrant, Verdict]:
        issuer = issuer_of(request_id)
        decider = self._successors.get(issuer) or self._directory.find(*issuer)
        grant = RunGrant(account, request_id, decider or '')
        for _ in range(_MAX_MOVES):
            if not grant.decider or grant.decider == self._instance:
                return grant, Unknown(
                    'no live daemon decides about the request id'
                )
            verdict = await self._send_query(grant)
            if not isinstance(verdict, Moved):
                return grant, verdict
            self._successors[issuer] = verdict.instance
            grant.decider = verdict.instance
        return grant, Unknown(
            f'no verdict after {_MAX_MOVES} moves of the deciding daemon'
        )

    async def _send_query(self, grant: RunGrant) -> Verdict:
        query = RunQuery(grant.account, str(grant.request_id), grant.nonce)
        try:
            reply = await self._peers.request(
                grant.decider, query, _QUERY_TIMEOUT_NS
            )
        except PeerError as error:
            if error.code is not ResultCode.PEER_UNREACHABLE:
                # The run may have been granted, but it will not begin here.
                self.report_outcome(grant, Lost())
            return Unknown(
                'the daemon that decides about the request id did not reply'
            )
        if not isinstance(reply, RunVerdict):
            return Unknown(
                'the daemon that decides about the request id sent a reply '
                'of the wrong type'
            )
        return parse_verdict(reply)

    async def _handle_query(self, instance: str, query: RunQuery) -> RunVerdict:
        verdict = decide(
            self._table,
            query.account,
            parse_request_id(query.request_id),
            _build_requester(instance, query.nonce),
            self._clock(),
        )
        return build_verdict_message(verdict)

    async def _record_outcome(
        self, instance: str, message: RunFinished
    ) -> RunAcknowledged:
        finish(
            self._table,
            message.account,
            parse_request_id(message.request_id),
            _build_requester(instance, message.nonce),
            parse_outcome(message),
        )
        return RunAcknowledged(message.nonce)

    async def _record_move(self, instance: str, message: DeciderMoved) -> None:
        self._successors[(message.slot, message.incarnation)] = message.instance


def _build_requester(instance: str, nonce: int) -> str:
    return f'{instance}#{nonce:x}'
