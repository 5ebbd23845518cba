"""Heartbeats between daemons over UDP, encoded in CBOR."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, Final

import cbor2
from attrs import astuple, evolve

from geraniumshelf_core.presence.commands import forget_silent, record_beat
from geraniumshelf_core.presence.queries import beat_interval, silence_limit
from geraniumshelf_core.presence.state import Beat, PresenceState
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.observability.events import Event, log_event

_FORMAT: Final = 1
# Addresses in one datagram; more than fit are told by others.
_MOST_KNOWN: Final = 60
_FIELD_TYPES: Final = (str, int, int, str, str, str, bool, list)


def encode_beat(beat: Beat) -> bytes:
    """Return a beat as a datagram."""
    return cbor2.dumps((_FORMAT, *astuple(beat)))


def decode_beat(datagram: bytes) -> Beat | None:
    """Return the beat in a datagram, ``None`` if it holds none."""
    try:
        found = cbor2.loads(datagram)
    except Exception:
        return None
    if not isinstance(found, list) or len(found) != len(_FIELD_TYPES) + 1:
        return None
    version, *fields = found
    if version != _FORMAT or not all(map(isinstance, fields, _FIELD_TYPES)):
        return None
    *fields, known = fields
    return Beat(*fields, tuple(ip for ip in known if isinstance(ip, str)))


class Heartbeats:
    """Sends beats to all known instances and takes theirs."""

    def __init__(
        self,
        state: PresenceState,
        own: Beat,
        port: int,
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._state = state
        self._own = own
        self._port = port
        self._clock = clock
        self._random = random
        self._transport: asyncio.DatagramTransport | None = None

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
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._take), local_addr=(ip, self._port)
        )

    async def run(self) -> None:
        """Send beats until the task is cancelled."""
        while True:
            now = self._clock()
            silent = forget_silent(
                self._state, now - silence_limit(self._state)
            )
            for name in silent:
                log_event(Event.INSTANCE_LOST, name)
            self.send()
            interval = ns_to_seconds(beat_interval(self._state))
            await asyncio.sleep(interval * (0.9 + self._random.random() / 5))

    def set_ready(self, is_ready: bool) -> None:
        """Tell the others at once whether this daemon takes callers."""
        if is_ready != self._own.is_ready:
            self._own = evolve(self._own, is_ready=is_ready)
            self.send()

    def send(self) -> None:
        """Send a beat to all known instances."""
        self._own = evolve(
            self._own,
            sequence=self._own.sequence + 1,
            known=tuple(self._state.targets)[:_MOST_KNOWN],
        )
        datagram = encode_beat(self._own)
        for ip in tuple(self._state.targets):
            self._send_to(ip, datagram)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _send_to(self, ip: str, datagram: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (ip, self._port))

    def _take(self, datagram: bytes) -> None:
        beat = decode_beat(datagram)
        if beat is None:
            log_event(Event.PEER_FRAME_REFUSED, f'{len(datagram)} bytes')
        elif beat.name != self._own.name and record_beat(
            self._state, beat, self._clock()
        ):
            log_event(Event.INSTANCE_FOUND, beat.name, zone=beat.zone)
            self._send_to(beat.ip, encode_beat(self._own))


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self._take(data)

    def error_received(self, exc: Exception) -> None:
        # A closed port of an instance that is gone; its silence is noticed.
        return
