"""Handover of the run records of a stopping daemon to a peer."""

from collections.abc import Callable
from typing import Final

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.idempotency.commands import (
    adopt,
    begin_handover,
    complete_handover,
)
from geraniumshelf_core.idempotency.queries import (
    Row,
    export_rows,
    issuer_window,
)
from geraniumshelf_core.idempotency.state import Issuer
from geraniumshelf_core.messages.idempotency import (
    DeciderMoved,
    HandoverAccepted,
    RecordsHandover,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.idempotency.decider import RunDecider
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.peers.interface import PeerNetwork

# 100 rows with the largest bodies that are kept take less than 0.5 MB.
_ROWS_PER_PART: Final = 100
_REQUEST_TIMEOUT_NS: Final[Nanoseconds] = 2 * SECOND_NS
_MAX_ATTEMPTS: Final = 3

Parts = dict[int, tuple[Row, ...]]


class HandoverService:
    """Sends the run records at a stop and takes over those of peers."""

    def __init__(
        self,
        instance: str,
        peers: PeerNetwork,
        decider: RunDecider,
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._instance = instance
        self._peers = peers
        self._decider = decider
        self._clock = clock
        self._received_parts: dict[Issuer, Parts] = {}
        peers.register(RecordsHandover, self._accept_part)

    async def hand_over(self, candidates: tuple[str, ...]) -> str | None:
        """Hand all issuers over to the first candidate that accepts them.

        Args:
            candidates: Instance names of peers, best first.

        Returns:
            The peer that decides now. ``None`` if no peer confirmed; the
            verdicts about the ids of this daemon are unknown from now on.
        """
        table = self._decider.table
        issuers = [
            active_issuer
            for active_issuer in table.issuers
            if active_issuer not in table.moved
        ]
        for issuer in issuers:
            begin_handover(table, issuer)
        for instance in candidates:
            is_sent, is_accepted = await self._offer_issuers(instance, issuers)
            if is_accepted:
                log_event(Event.RECORDS_HANDED_OVER, instance)
                return instance
            if is_sent:
                # This peer may have taken over without a confirmation, so no
                # other peer may take over as well.
                return None
        return None

    async def _offer_issuers(
        self, instance: str, issuers: list[Issuer]
    ) -> tuple[bool, bool]:
        is_sent = False
        for issuer in issuers:
            for message in self._build_parts(issuer):
                was_sent, is_accepted = await self._send_part(instance, message)
                is_sent = is_sent or was_sent
                if not is_accepted:
                    return is_sent, False
            self._announce_decider(issuer, instance)
        return is_sent, True

    async def _send_part(
        self, instance: str, message: RecordsHandover
    ) -> tuple[bool, bool]:
        is_sent = False
        for _ in range(_MAX_ATTEMPTS):
            try:
                reply = await self._peers.request(
                    instance, message, _REQUEST_TIMEOUT_NS
                )
            except PeerError as error:
                is_sent |= error.code is not ResultCode.PEER_UNREACHABLE
                continue
            return True, _is_accepted(message, reply)
        return is_sent, False

    def _build_parts(self, issuer: Issuer) -> list[RecordsHandover]:
        table = self._decider.table
        rows = export_rows(table, issuer)
        window = issuer_window(table.issuers[issuer], self._clock())
        parts = max(1, -(-len(rows) // _ROWS_PER_PART))
        return [
            RecordsHandover(
                *issuer,
                window,
                part,
                parts,
                rows[part * _ROWS_PER_PART : (part + 1) * _ROWS_PER_PART],
            )
            for part in range(parts)
        ]

    def _announce_decider(self, issuer: Issuer, instance: str) -> None:
        if instance != self._instance:
            complete_handover(self._decider.table, issuer, instance)
            self._decider.record_decider(issuer, instance)
        for peer in self._peers.connected_peers():
            self._peers.notify(peer, DeciderMoved(*issuer, instance))

    async def _accept_part(
        self, instance: str, message: RecordsHandover
    ) -> HandoverAccepted:
        issuer = (message.slot, message.incarnation)
        issuers = self._decider.table.issuers
        # A part that is sent again must not adopt an issuer a second time,
        # which may have been handed over to another peer since.
        if issuer not in issuers:
            received_parts = self._received_parts.setdefault(issuer, {})
            received_parts[message.part] = message.rows
            # Adopt only with all parts: a request whose record is missing
            # could run again.
            if len(received_parts) == message.parts:
                self._adopt(issuer, message.window)
                log_event(Event.RECORDS_RECEIVED, instance)
        return HandoverAccepted(*issuer, issuer in issuers)

    def _adopt(self, issuer: Issuer, window: int) -> None:
        parts = self._received_parts.pop(issuer)
        rows = [row for part in parts.values() for row in part]
        adopt(self._decider.table, issuer, window, rows, self._clock())
        self._announce_decider(issuer, self._instance)


def _is_accepted(message: RecordsHandover, reply: object) -> bool:
    if not isinstance(reply, HandoverAccepted):
        return False
    # A peer that restarted between two parts has lost the earlier ones, so
    # the last reply must confirm that all parts arrived.
    is_last = message.part + 1 == message.parts
    return reply.is_complete or not is_last
