"""Hands the records of a stopping daemon to a peer."""

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

# 100 rows with full bodies stay below half a megabyte.
_ROWS_PER_PART: Final = 100
_TIMEOUT: Final[Nanoseconds] = 2 * SECOND_NS
_ATTEMPTS: Final = 3

Parts = dict[int, tuple[Row, ...]]


class HandoverService:
    """Sends the records at a stop and takes over those of peers."""

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
        self._arriving: dict[Issuer, Parts] = {}
        peers.register(RecordsHandover, self._accept_part)

    async def hand_over(self, candidates: tuple[str, ...]) -> str | None:
        """Give all issuers to the first candidate that takes them.

        Args:
            candidates: Instance names of peers, best first.

        Returns:
            The peer that decides now; ``None`` if none confirmed, and the
            ids are unknown from now on.
        """
        table = self._decider.table
        issuers = [one for one in table.issuers if one not in table.moved]
        for issuer in issuers:
            begin_handover(table, issuer)
        for instance in candidates:
            is_sent, is_accepted = await self._offer(instance, issuers)
            if is_accepted:
                log_event(Event.RECORDS_HANDED_OVER, instance)
                return instance
            if is_sent:
                # It may have taken over; a second peer must not.
                return None
        return None

    async def _offer(
        self, instance: str, issuers: list[Issuer]
    ) -> tuple[bool, bool]:
        is_sent = False
        for issuer in issuers:
            for message in self._messages(issuer):
                was_sent, is_accepted = await self._send(instance, message)
                is_sent = is_sent or was_sent
                if not is_accepted:
                    return is_sent, False
            self._announce(issuer, instance)
        return is_sent, True

    async def _send(
        self, instance: str, message: RecordsHandover
    ) -> tuple[bool, bool]:
        is_sent = False
        for _ in range(_ATTEMPTS):
            try:
                answer = await self._peers.request(instance, message, _TIMEOUT)
            except PeerError as error:
                is_sent |= error.code is not ResultCode.PEER_UNREACHABLE
                continue
            return True, _is_accepted(message, answer)
        return is_sent, False

    def _messages(self, issuer: Issuer) -> list[RecordsHandover]:
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

    def _announce(self, issuer: Issuer, instance: str) -> None:
        if instance != self._instance:
            complete_handover(self._decider.table, issuer, instance)
            self._decider.note_decider(issuer, instance)
        for peer in self._peers.connected():
            self._peers.notify(peer, DeciderMoved(*issuer, instance))

    async def _accept_part(
        self, instance: str, message: RecordsHandover
    ) -> HandoverAccepted:
        issuer = (message.slot, message.incarnation)
        issuers = self._decider.table.issuers
        # A repeated part must not take back an issuer that has moved on.
        if issuer not in issuers:
            arriving = self._arriving.setdefault(issuer, {})
            arriving[message.part] = message.rows
            # Missing records would let their requests run again.
            if len(arriving) == message.parts:
                self._adopt(issuer, message.window)
                log_event(Event.RECORDS_RECEIVED, instance)
        return HandoverAccepted(*issuer, issuer in issuers)

    def _adopt(self, issuer: Issuer, window: int) -> None:
        parts = self._arriving.pop(issuer)
        rows = [row for part in parts.values() for row in part]
        adopt(self._decider.table, issuer, window, rows, self._clock())
        self._announce(issuer, self._instance)


def _is_accepted(message: RecordsHandover, answer: object) -> bool:
    if not isinstance(answer, HandoverAccepted):
        return False
    # A peer that restarted between two parts has lost the first ones.
    is_last = message.part + 1 == message.parts
    return answer.is_complete or not is_last
