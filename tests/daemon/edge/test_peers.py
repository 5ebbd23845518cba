"""Guards what the daemons of a large fleet know of each other."""

from collections import deque
from random import Random

from attrs import evolve

from geraniumshelf_core.presence.commands import (
    expire_silent_peers,
    register_instance,
)
from geraniumshelf_core.presence.state import (
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
)
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.heartbeats import Heartbeats

_ZONES = ('a1', 'a2', 'b1', 'b2')
_IN_ZONE = 8
_USUAL = 3
_LARGE, _SMALL = 2.15, 0.43
_MOST_DELIVERIES = 100_000


class _Network:
    """Delivers datagrams in the order of their sending, and counts them."""

    def __init__(self) -> None:
        self.now = SECOND_NS
        self.ports: dict[str, DatagramPort] = {}
        self.between_zones = 0
        self._waiting: deque[tuple[str, bytes]] = deque()

    def send(self, source: str, ip: str, datagram: bytes) -> None:
        """Take a datagram."""
        self.between_zones += _zone_of(source) != _zone_of(ip)
        self._waiting.append((ip, datagram))

    def deliver(self) -> None:
        """Deliver all datagrams, also those that are sent meanwhile."""
        for _ in range(_MOST_DELIVERIES):
            if not self._waiting:
                return
            ip, datagram = self._waiting.popleft()
            if ip in self.ports:
                self.ports[ip]._take(datagram)
        raise AssertionError('datagrams cause each other without end')


class _Port(DatagramPort):
    def __init__(self, network: _Network, ip: str) -> None:
        super().__init__(0)
        self._network = network
        self._ip = ip

    def send_encoded(self, ip: str, datagram: bytes) -> None:
        self._network.send(self._ip, ip, datagram)


def _zone_of(ip: str) -> str:
    return ip.split('-')[0]


class _Fleet:
    """Daemons that know the registry.

    Args:
        entries: Places of the entries in the order of their zone.
    """

    def __init__(self, entries: tuple[int, ...]) -> None:
        self.network = _Network()
        self.daemons: dict[str, Heartbeats] = {}
        self.states: dict[str, PresenceState] = {}
        self.entries: set[str] = set()
        members = {
            f'{zone}-{place}': RegisteredInstance(
                zone, _LARGE if place < _USUAL else _SMALL
            )
            for zone in _ZONES
            for place in range(_IN_ZONE)
        }
        for name, member in members.items():
            if int(name[-1]) in entries:
                self.entries.add(name)
            self._add(name, member, members)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds * 2)):
            self.network.now += SECOND_NS // 2
            for name, heartbeats in self.daemons.items():
                expire_silent_peers(self.states[name], self.network.now)
                heartbeats.send(self.network.now)
                self.network.deliver()

    def replace(self, entries: tuple[int, ...]) -> None:
        """Let other daemons of each zone take callers; the others die."""
        for name in sorted(self.daemons):
            is_entry = int(name[-1]) in entries
            if name in self.entries and not is_entry:
                self.entries.discard(name)
                del self.daemons[name], self.network.ports[name]
            elif is_entry and name not in self.entries:
                self.entries.add(name)
                self.daemons[name].announce(is_ready=True, is_standby=False)
        self.network.deliver()

    def known_entries(self, name: str) -> set[str]:
        """Return the entries that a daemon hears, itself included."""
        heard = self.states[name].peers.values()
        found = {one.heartbeat.name for one in heard if one.heartbeat.is_ready}
        return found | ({name} & self.entries)

    def _add(
        self,
        name: str,
        member: RegisteredInstance,
        members: dict[str, RegisteredInstance],
    ) -> None:
        state = PresenceState(name, is_complete=True)
        for other, found in members.items():
            register_instance(state, other, found, other)
        port = _Port(self.network, name)
        self.network.ports[name] = port
        is_entry = name in self.entries
        own = PresenceHeartbeat(
            name,
            1,
            0,
            member.zone,
            name,
            f'{name}:80',
            is_ready=is_entry,
            is_standby=not is_entry,
            cores=member.cores,
        )
        self.states[name] = state
        self.daemons[name] = Heartbeats(
            state, own, port, lambda: self.network.now, Random(1)
        )


def _check(entries: tuple[int, ...]) -> None:
    fleet = _Fleet((0, 1))
    fleet.run(6)
    fleet.replace(entries)
    fleet.run(12)
    for name in fleet.daemons:
        assert fleet.known_entries(name) == fleet.entries, name


def test_all_daemons_hear_of_the_usual_entries() -> None:
    """A directory would not name them, and owners would differ."""
    _check((0, 1))


def test_entries_that_replace_others_hear_of_each_other() -> None:
    """Shares that one gathers were asked for at another one, for good."""
    _check((1, 5))
    _check((0, 6, 7))


def test_entries_hear_of_each_other_if_all_usual_ones_are_lost() -> None:
    """Nobody expects an entry there, so zones are searched."""
    _check((5, 6))


def test_standbys_send_nothing_to_other_zones() -> None:
    """Links between zones carry beats of few daemons only."""
    fleet = _Fleet((0, 1))
    fleet.run(12)
    fleet.network.between_zones = 0
    fleet.run(30)
    entries = len(fleet.entries)
    others = (len(_ZONES) - 1) * _USUAL
    assert fleet.network.between_zones <= entries * others * 30 / 1.5


def test_standby_that_was_an_entry_tells_the_others() -> None:
    """They would name it, and ask it for tokens, until it counts as lost."""
    fleet = _Fleet((0, 1))
    fleet.run(12)
    left = 'a1-1'
    fleet.entries.discard(left)
    fleet.daemons[left].announce(is_ready=False, is_standby=True)
    fleet.network.deliver()
    for name in fleet.entries:
        assert fleet.known_entries(name) == fleet.entries


def test_relayed_beat_that_comes_late_changes_nothing() -> None:
    """It may come after a newer one that its sender has sent itself."""
    fleet = _Fleet((0, 1))
    fleet.run(3)
    state = fleet.states['a1-0']
    newest = state.peers['b1-0'].heartbeat
    old = evolve(newest, sequence=newest.sequence - 1, is_ready=False)
    fleet.daemons['a1-0']._take_beat(old)
    assert state.peers['b1-0'].heartbeat == newest


def test_two_relays_do_not_pass_beats_to_each_other_without_end() -> None:
    """Each of two entries may not have heard yet that the other is ready."""
    fleet = _Fleet((0, 1))
    fleet.run(6)
    near = fleet.states['a1-1'].peers
    near['a1-0'].heartbeat = evolve(near['a1-0'].heartbeat, is_ready=False)
    fleet.daemons['b1-0'].send(fleet.network.now + 10 * SECOND_NS)
    fleet.network.deliver()
