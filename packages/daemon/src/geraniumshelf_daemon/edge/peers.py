"""Messages between daemons over UDP, encoded in CBOR."""

import asyncio
import heapq
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Final

from attrs import evolve

from geraniumshelf_core.presence.commands import forget_silent, record_beat
from geraniumshelf_core.presence.queries import (
    beat_interval,
    sponsored_standbys,
)
from geraniumshelf_core.presence.state import Beat, PresenceState
from geraniumshelf_core.shares.holding import (
    borrow_whole,
    held_shares,
    lend_whole,
)
from geraniumshelf_core.shares.loans import wanted_loans
from geraniumshelf_core.shares.messages import (
    ShareLoan,
    ShareRequest,
    TokenGrant,
    TokenRequest,
    WholeShareLoan,
    WholeShareRequest,
)
from geraniumshelf_core.shares.quotas import (
    Quotas,
    borrow_share,
    lend_share,
    measure_needs,
)
from geraniumshelf_core.shares.transfers import Reach, hand_out
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.messages import (
    decode_message,
    encode_message,
)
from geraniumshelf_daemon.edge.tokens import TokenQuestion
from geraniumshelf_daemon.observability.events import Event, log_event

# Addresses in one datagram, chosen at random; the registry holds all of them.
_MOST_KNOWN: Final = 16
# Time between two rounds of beats; not all instances get one in each.
_ROUND_S: Final = 0.5
# Accounts in one datagram; the others are asked for with a later beat.
_MOST_ACCOUNTS: Final = 60
# Entries that are asked for the same tokens; what comes twice is lost.
_ASKED_ENTRIES: Final = 2
# Beats of all daemons must not fall together.
_INTERVAL_SPREAD: Final = 0.2
# A beat that would be due before the middle of the next round goes out now.
_EARLY_MS: Final = 250
_EARLY_NS: Final[Nanoseconds] = _EARLY_MS * MILLISECOND_NS


class Heartbeats:
    """Sends beats to all known instances and takes theirs."""

    def __init__(
        self,
        state: PresenceState,
        own: Beat,
        port: int,
        clock: Callable[[], Nanoseconds],
        random: Random,
        quotas: Quotas,
        regions: Mapping[str, str],
    ) -> None:
        self._state = state
        self._quotas = quotas
        self._regions = regions
        # Takes tokens that were asked for; set by whoever asks.
        self.take_grant: Callable[[str, int, Nanoseconds], None] = _drop
        self._own = own
        self._port = port
        self._clock = clock
        self._random = random
        self._transport: asyncio.DatagramTransport | None = None
        # Time of the next beat by IP address.
        self._due: dict[str, Nanoseconds] = {}

    @property
    def own(self) -> Beat:
        """Return the newest beat of this daemon."""
        return self._own

    async def listen(self, ip: str) -> None:
        """Open the socket.

        Raises:
            OSError: If the address is in use.
        """
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._take), local_addr=(ip, self._port)
        )
        self._transport = opened[0]

    async def run(self) -> None:
        """Send beats until the task is cancelled."""
        while True:
            now = self._clock()
            for name in forget_silent(self._state, now):
                log_event(Event.INSTANCE_LOST, name)
            self.send(now)
            if not self._own.is_standby:
                self._ask_accounts(now)
                self._ask_standbys(now)
            spread = 1 + _INTERVAL_SPREAD * (self._random.random() - 0.5)
            await asyncio.sleep(_ROUND_S * spread)

    def announce(
        self, *, is_ready: bool, is_standby: bool, rate: float = 0
    ) -> None:
        """Tell all others at once whether this daemon takes callers.

        Args:
            is_ready: Whether it takes callers.
            is_standby: Whether it would.
            rate: Requests a second that come to it; told with the next beat.
        """
        own = evolve(self._own, rate=float(rate))
        self._own = own
        if (is_ready, is_standby) != (own.is_ready, own.is_standby):
            self._own = evolve(own, is_ready=is_ready, is_standby=is_standby)
            self._due.clear()
            self.send(self._clock())

    def send(self, now: Nanoseconds) -> None:
        """Send a beat to all known instances whose turn it is."""
        targets = self._state.targets
        known = tuple(targets)
        if len(known) > _MOST_KNOWN:
            known = tuple(self._random.sample(known, _MOST_KNOWN))
        self._own = evolve(
            self._own, sequence=self._own.sequence + 1, known=known
        )
        datagrams: dict[Nanoseconds, bytes] = {}
        for ip, name in tuple(targets.items()):
            if self._due.get(ip, 0) > now + _EARLY_NS:
                continue
            interval = beat_interval(self._state, self._own, name)
            if interval not in datagrams:
                beat = evolve(self._own, next_in=interval)
                datagrams[interval] = encode_message(beat)
            self._due[ip] = now + interval
            self._send_to(ip, datagrams[interval])

    def ask_tokens(self, question: TokenQuestion, now: Nanoseconds) -> None:
        """Ask other entries for tokens of an account."""
        datagram = encode_message(
            TokenRequest(self._own.name, now, question.account, question.wanted)
        )
        region = self._regions.get(self._own.zone)
        is_near = question.reach is Reach.REGION
        entries = [
            neighbour.beat
            for neighbour in self._state.neighbours.values()
            if neighbour.beat.is_ready
            and (self._regions.get(neighbour.beat.zone) == region) is is_near
        ]
        asked = min(len(entries), _ASKED_ENTRIES)
        for beat in self._random.sample(entries, asked):
            self._send_to(beat.ip, datagram)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _send_to(self, ip: str, datagram: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (ip, self._port))

    def _ask_accounts(self, now: Nanoseconds) -> None:
        needs = measure_needs(self._quotas, now)
        entries = [
            neighbour.beat
            for neighbour in self._state.neighbours.values()
            if not neighbour.beat.is_standby
        ]
        held = held_shares(self._quotas.holding, now)
        wanted = wanted_loans(needs, held, len(entries))
        if not wanted:
            return
        most = heapq.nlargest(_MOST_ACCOUNTS, wanted, key=wanted.__getitem__)
        datagram = encode_message(
            ShareRequest(
                self._own.name, now, {name: wanted[name] for name in most}
            )
        )
        for beat in entries:
            self._send_to(beat.ip, datagram)

    def _ask_standbys(self, now: Nanoseconds) -> None:
        datagram = encode_message(WholeShareRequest(self._own.name, now))
        for beat in sponsored_standbys(self._state, self._own):
            self._send_to(beat.ip, datagram)

    def _take(self, datagram: bytes) -> None:
        message = decode_message(datagram)
        match message:
            case None:
                log_event(Event.PEER_FRAME_REFUSED, f'{len(datagram)} bytes')
            case Beat():
                self._take_beat(message)
            case ShareRequest():
                self._lend(message)
            case ShareLoan(name, asked_at, lent):
                for account, part in lent.items():
                    borrow_share(self._quotas, account, name, part, asked_at)
            case WholeShareRequest():
                self._lend_whole(message)
            case TokenRequest():
                self._hand_out(message)
            case TokenGrant(asked_at, name, granted):
                self.take_grant(name, granted, asked_at)
            case WholeShareLoan(name, asked_at):
                borrow_whole(self._quotas.holding, name, asked_at)

    def _take_beat(self, beat: Beat) -> None:
        if beat.name != self._own.name and record_beat(
            self._state, beat, self._clock()
        ):
            log_event(Event.INSTANCE_FOUND, beat.name, zone=beat.zone)
            interval = beat_interval(self._state, self._own, beat.name)
            answer = evolve(self._own, next_in=interval)
            self._send_to(beat.ip, encode_message(answer))

    def _lend_whole(self, request: WholeShareRequest) -> None:
        neighbour = self._state.neighbours.get(request.name)
        if neighbour is None or not self._own.is_standby:
            return
        if lend_whole(self._quotas.holding, request.name, self._clock()):
            loan = WholeShareLoan(self._own.name, request.asked_at)
            self._send_to(neighbour.beat.ip, encode_message(loan))

    def _hand_out(self, request: TokenRequest) -> None:
        neighbour = self._state.neighbours.get(request.name)
        if neighbour is None:
            return
        granted = hand_out(
            self._quotas, request.account, request.wanted, self._clock()
        )
        if granted:
            grant = TokenGrant(request.asked_at, request.account, granted)
            self._send_to(neighbour.beat.ip, encode_message(grant))

    def _lend(self, request: ShareRequest) -> None:
        neighbour = self._state.neighbours.get(request.name)
        if neighbour is None:
            return
        now = self._clock()
        lent = {
            account: part
            for account, wanted in request.wanted.items()
            if (
                part := lend_share(
                    self._quotas, account, request.name, wanted, now
                )
            )
        }
        if lent:
            loan = ShareLoan(self._own.name, request.asked_at, lent)
            self._send_to(neighbour.beat.ip, encode_message(loan))


def _drop(_account: str, _tokens: int, _asked_at: Nanoseconds) -> None:
    """Drop tokens that nobody waits for."""


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self._take(data)

    def error_received(self, exc: Exception) -> None:
        """Do nothing: the silence of an instance that is gone is noticed."""
