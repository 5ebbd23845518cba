"""Daemons in virtual time that exchange limits and permits of servers."""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from attrs import define, evolve, field

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.placement.cold_starts import confirm_list
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    put_server,
)
from geraniumshelf_core.placement.limited_servers import has_permit, use_permit
from geraniumshelf_core.placement.queries import (
    choose_server,
    preferred_limited_servers,
)
from geraniumshelf_core.placement.server_limits import NamedLimit, NoLimit
from geraniumshelf_core.placement.state import PlacementRequest, PlacementState
from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
)
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.limit_owners import LimitOwners
from geraniumshelf_daemon.edge.messages import decode_message
from geraniumshelf_daemon.edge.permits import ServerPermits
from geraniumshelf_daemon.edge.server_limits import ServerLimits

DELAY_NS = 5 * MILLISECOND_NS
WORK_NS = 100 * MILLISECOND_NS
WINDOW_NS = 4 * SECOND_NS
_STEP_NS = 200 * MILLISECOND_NS
# A peer that is silent for this time counts as lost.
_SILENCE_NS = 2 * SECOND_NS
_START_NS = 1000 * SECOND_NS


@define(eq=False)
class LimitNode:
    """One daemon."""

    name: str
    placement: PlacementState
    presence: PresenceState
    port: DatagramPort
    limits: ServerLimits
    permits: ServerPermits


@define(eq=False)
class LimitServer:
    """A server that may name a limit, and the times of its requests."""

    name: str
    rate: float | None = None
    arrivals: list[Nanoseconds] = field(factory=list)


class _Port(DatagramPort):
    def __init__(self, send: Callable[[str, bytes], None]) -> None:
        super().__init__(0)
        self._send = send

    def send_encoded(self, ip: str, datagram: bytes) -> None:
        self._send(ip, datagram)

    def receive(self, datagram: bytes) -> None:
        message = decode_message(datagram)
        self._handlers[type(message)](message)


class LimitFleet:
    """Daemons that serve requests of their callers at a constant rate.

    Attributes:
        nodes: The daemons by name, ``n0`` and so on.
        servers: The servers by name, ``s0`` and so on.
        is_lost: Whether a message from one daemon to another is lost.
        frozen: Names of daemons that do nothing.
        refused: Number of requests without a server.
    """

    def __init__(
        self, daemons: int, servers: int, regions: int = 1, seed: int = 1
    ) -> None:
        self.now = 0
        self.random = Random(seed)
        self.is_lost: Callable[[str, str], bool] = lambda _from, _to: False
        self.frozen: set[str] = set()
        self.refused = 0
        self._queue: list[tuple[Nanoseconds, int, Callable[[], None]]] = []
        self._sequence = count()
        self._zones = {f'z{index}': f'r{index}' for index in range(regions)}
        self._heard: dict[tuple[str, str], Nanoseconds] = {}
        self.heartbeats = {
            f'n{index}': PresenceHeartbeat(
                f'n{index}', 1, 1, f'z{index % regions}', f'n{index}', '', True
            )
            for index in range(daemons)
        }
        self.servers = {
            f's{index}': LimitServer(f's{index}') for index in range(servers)
        }
        self.nodes: dict[str, LimitNode] = {}
        for name in self.heartbeats:
            self.start_node(name)

    def clock(self) -> Nanoseconds:
        """Return the time as daemons read it."""
        return _START_NS + self.now

    def schedule(self, after: Nanoseconds, action: Callable[[], None]) -> None:
        """Call a function after a time."""
        item = (self.now + after, next(self._sequence), action)
        heapq.heappush(self._queue, item)

    def run_until(self, time: Nanoseconds) -> None:
        """Run until a time from the start."""
        while self._queue and self._queue[0][0] <= time:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = time

    def start_node(self, name: str) -> None:
        """Start a daemon, which knows nothing of before."""
        own = self.heartbeats[name]
        zone = own.zone
        placement = PlacementState(Place(zone, self._zones[zone]), self._zones)
        confirm_list(placement, 10**18)
        for number, server in enumerate(self.servers):
            entry = ListedServer(
                server,
                'desk',
                server,
                f'z{number % len(self._zones)}',
                40,
                started_at_ms=1,
            )
            put_server(placement, entry, self.clock())
        presence = PresenceState(name)
        for other, heartbeat in self.heartbeats.items():
            if other != name:
                presence.peers[other] = PeerPresence(heartbeat, self.clock())
                self._heard[name, other] = self.now
        port = _Port(lambda ip, datagram: self._send(name, ip, datagram))

        def own_heartbeat() -> PresenceHeartbeat:
            return own

        owners = LimitOwners(placement, presence, own_heartbeat, self._zones)
        limits = ServerLimits(
            placement, presence, owners, port, self.clock, self.random
        )
        permits = ServerPermits(
            placement,
            presence,
            owners,
            limits,
            port,
            own_heartbeat,
            self.clock,
        )
        node = LimitNode(name, placement, presence, port, limits, permits)
        is_first = name not in self.nodes
        self.nodes[name] = node
        if is_first:
            self.schedule(
                round(self.random.random() * _STEP_NS), lambda: self._step(name)
            )

    def send_requests(self, name: str, per_s: float) -> None:
        """Send requests of callers to a daemon, from now on."""

        def arrive() -> None:
            wait_s = self.random.expovariate(per_s)
            self.schedule(round(wait_s * SECOND_NS), arrive)
            if name not in self.frozen:
                self._serve(self.nodes[name], str(self.random.randrange(200)))

        self.schedule(0, arrive)

    def max_in_window(
        self, server: str, begin: Nanoseconds, end: Nanoseconds
    ) -> int:
        """Return the most requests that reached a server in a window."""
        arrivals = self.servers[server].arrivals
        counted = [at for at in arrivals if begin <= at < end]
        return max(
            (
                sum(first <= at < first + WINDOW_NS for at in counted)
                for first in counted
            ),
            default=0,
        )

    def count_between(
        self, server: str, begin: Nanoseconds, end: Nanoseconds
    ) -> int:
        """Return how many requests reached a server in a time."""
        arrivals = self.servers[server].arrivals
        return sum(begin <= at < end for at in arrivals)

    def _send(self, sender: str, receiver: str, datagram: bytes) -> None:
        if self.is_lost(sender, receiver) or sender in self.frozen:
            return

        def deliver() -> None:
            if receiver in self.frozen:
                # The datagram waits in the socket.
                self.schedule(DELAY_NS, deliver)
                return
            self.nodes[receiver].port.receive(datagram)

        self.schedule(DELAY_NS, deliver)

    def _step(self, name: str) -> None:
        self.schedule(_STEP_NS, lambda: self._step(name))
        if name in self.frozen:
            return
        node = self.nodes[name]
        for other, heartbeat in self.heartbeats.items():
            if other == name:
                continue
            if other not in self.frozen and not self.is_lost(other, name):
                self._heard[name, other] = self.now
                node.presence.peers.setdefault(
                    other, PeerPresence(evolve(heartbeat), self.clock())
                )
            elif self.now - self._heard[name, other] > _SILENCE_NS:
                node.presence.peers.pop(other, None)
        node.limits.step(self.clock())

    def _serve(self, node: LimitNode, object_name: str) -> None:
        request = PlacementRequest('desk', object_name)
        now = self.clock()
        views = preferred_limited_servers(node.placement, request, now)
        for view in tuple(views):
            view.notice.permits.needs += 1
            if has_permit(view, now):
                break
            if node.permits.request(view, now):
                self.schedule(
                    2 * DELAY_NS + 1, lambda: self._place(node, request)
                )
                return
        self._place(node, request)

    def _place(self, node: LimitNode, request: PlacementRequest) -> None:
        candidate = choose_server(node.placement, request, self.clock())
        if candidate is None:
            self.refused += 1
            return
        view = candidate.view
        assert use_permit(view, self.clock())
        begin_request(node.placement, view)
        sent_at = self.clock()
        server = self.servers[view.server.name]

        def respond() -> None:
            if node.name in self.frozen:
                self.schedule(DELAY_NS, respond)
                return
            end_request(
                node.placement, view, Outcome(work=WORK_NS), self.clock()
            )
            node.limits.record(view, statement, sent_at)

        def run() -> None:
            nonlocal statement
            if server.rate is not None:
                statement = NamedLimit(server.rate)
            self.schedule(DELAY_NS, respond)

        def arrive() -> None:
            server.arrivals.append(self.now)
            self.schedule(WORK_NS, run)

        statement: NamedLimit | NoLimit = NoLimit()
        self.schedule(DELAY_NS, arrive)
