"""Tests the discovery of daemons in a large fleet by heartbeats."""

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
_DAEMONS_PER_ZONE = 8
_LARGE_PER_ZONE = 3
_LARGE, _SMALL = 2.15, 0.43
_MAX_DELIVERIES = 100_000


class _Network:
    """Delivers datagrams in the order sent and counts those between zones."""

    def __init__(self) -> None:
        self.now = SECOND_NS
        self.ports: dict[str, DatagramPort] = {}
        self.between_zones = 0
        self._queue: deque[tuple[str, bytes]] = deque()

    def send(self, source: str, ip: str, datagram: bytes) -> None:
        """Queue a datagram."""
        self.between_zones += _zone_of(source) != _zone_of(ip)
        self._queue.append((ip, datagram))

    def deliver(self) -> None:
        """Deliver all datagrams, including those sent in the meantime."""
        for _ in range(_MAX_DELIVERIES):
            if not self._queue:
                return
            ip, datagram = self._queue.popleft()
            if ip in self.ports:
                self.ports[ip]._dispatch(datagram)
        raise AssertionError(
            f'more than {_MAX_DELIVERIES} datagrams were delivered'
        )


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
    """Daemons that have read the registry.

    Args:
        entries: Indices of the entries among the daemons of each zone.
    """

    def __init__(self, entries: tuple[int, ...]) -> None:
        self.network = _Network()
        self.daemons: dict[str, Heartbeats] = {}
        self.states: dict[str, PresenceState] = {}
        self.entries: set[str] = set()
        instances = {
            f'{zone}-{index}': RegisteredInstance(
                zone, _LARGE if index < _LARGE_PER_ZONE else _SMALL
            )
            for zone in _ZONES
            for index in range(_DAEMONS_PER_ZONE)
        }
        for name, instance in instances.items():
            if int(name[-1]) in entries:
                self.entries.add(name)
            self._add(name, instance, instances)

    def run(self, seconds: float) -> None:
        """Advance the time in steps of half a second."""
        for _ in range(round(seconds * 2)):
            self.network.now += SECOND_NS // 2
            for name, heartbeats in self.daemons.items():
                expire_silent_peers(self.states[name], self.network.now)
                heartbeats.send(self.network.now)
                self.network.deliver()

    def replace(self, entries: tuple[int, ...]) -> None:
        """Make other daemons of each zone entries; the former ones are lost."""
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
        """Return the entries that a daemon knows, itself included."""
        known_peers = self.states[name].peers.values()
        ready = {
            peer.heartbeat.name
            for peer in known_peers
            if peer.heartbeat.is_ready
        }
        return ready | ({name} & self.entries)

    def _add(
        self,
        name: str,
        instance: RegisteredInstance,
        instances: dict[str, RegisteredInstance],
    ) -> None:
        state = PresenceState(name, is_complete=True)
        for other, listed in instances.items():
            register_instance(state, other, listed, other)
        port = _Port(self.network, name)
        self.network.ports[name] = port
        is_entry = name in self.entries
        heartbeat = PresenceHeartbeat(
            name,
            1,
            0,
            instance.zone,
            name,
            f'{name}:80',
            is_ready=is_entry,
            is_standby=not is_entry,
            cores=instance.cores,
        )
        self.states[name] = state
        self.daemons[name] = Heartbeats(
            state, heartbeat, port, lambda: self.network.now, Random(1)
        )


def _check_after_replacement(entries: tuple[int, ...]) -> None:
    fleet = _Fleet((0, 1))
    fleet.run(6)
    fleet.replace(entries)
    fleet.run(12)
    for name in fleet.daemons:
        assert fleet.known_entries(name) == fleet.entries, name


def test_all_daemons_discover_the_usual_entries() -> None:
    """Guard against a directory without them and daemons without one owner."""
    _check_after_replacement((0, 1))


def test_entries_that_replace_others_discover_each_other() -> None:
    """Guard against share requests to an entry that is not the owner.

    Entries that did not know each other kept asking different ones for the
    pooled shares of an account.
    """
    _check_after_replacement((1, 5))
    _check_after_replacement((0, 6, 7))


def test_entries_discover_each_other_if_all_usual_ones_are_lost() -> None:
    """Guard against entries that nobody finds.

    The instances that usually are entries are lost, so heartbeats have to
    search the zones.
    """
    _check_after_replacement((5, 6))


def test_standbys_send_nothing_to_other_zones() -> None:
    """Guard against heartbeats of all daemons on links between zones."""
    fleet = _Fleet((0, 1))
    fleet.run(12)
    fleet.network.between_zones = 0
    fleet.run(30)
    entries = len(fleet.entries)
    others = (len(_ZONES) - 1) * _LARGE_PER_ZONE
    assert fleet.network.between_zones <= entries * others * 30 / 1.5


def test_standby_that_was_an_entry_notifies_the_others() -> None:
    """Guard against use of a former entry until it counts as lost.

    Directories would name it, and entries would ask it for tokens.
    """
    fleet = _Fleet((0, 1))
    fleet.run(12)
    demoted = 'a1-1'
    fleet.entries.discard(demoted)
    fleet.daemons[demoted].announce(is_ready=False, is_standby=True)
    fleet.network.deliver()
    for name in fleet.entries:
        assert fleet.known_entries(name) == fleet.entries


def test_relayed_heartbeat_that_comes_late_changes_nothing() -> None:
    """Guard against a relayed heartbeat that replaces a newer direct one."""
    fleet = _Fleet((0, 1))
    fleet.run(3)
    state = fleet.states['a1-0']
    newest = state.peers['b1-0'].heartbeat
    late_heartbeat = evolve(
        newest, sequence=newest.sequence - 1, is_ready=False
    )
    fleet.daemons['a1-0']._receive_heartbeat(late_heartbeat)
    assert state.peers['b1-0'].heartbeat == newest


def test_two_relays_do_not_pass_heartbeats_to_each_other_without_end() -> None:
    """Guard against two relays that forward heartbeats to each other forever.

    Neither of the two entries knows yet that the other one is ready.
    """
    fleet = _Fleet((0, 1))
    fleet.run(6)
    zone_peers = fleet.states['a1-1'].peers
    zone_peers['a1-0'].heartbeat = evolve(
        zone_peers['a1-0'].heartbeat, is_ready=False
    )
    fleet.daemons['b1-0'].send(fleet.network.now + 10 * SECOND_NS)
    fleet.network.deliver()
