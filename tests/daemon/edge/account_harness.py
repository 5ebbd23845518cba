"""Daemons in virtual time that exchange shares and tokens of an account."""

import asyncio
import heapq
from collections.abc import Callable, Sequence
from itertools import count
from random import Random
from selectors import SelectSelector
from typing import Any

from attrs import define, field

from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
)
from geraniumshelf_core.shares.quotas import AccountQuotas, divide_quotas
from geraniumshelf_core.shares.whole_shares import withdraw_share
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.messages import decode_message
from geraniumshelf_daemon.edge.owners import OwnerView
from geraniumshelf_daemon.edge.share_exchange import ShareExchange
from geraniumshelf_daemon.edge.token_exchange import TokenExchange
from geraniumshelf_daemon.edge.tokens import AccountTokens

OVERSHOOT = 0.1
SLACK = 20.0
WINDOW_S = 5
_STEP_NS = 20 * MILLISECOND_NS
_START_NS = 1000 * SECOND_NS
_TARGET_NS = SECOND_NS
_REGIONS = 3
# Daemons that are registered make a fleet large; the others are not modelled.
_LARGE_FLEET = 20


class _Selector(SelectSelector):
    def select(self, timeout: float | None = None) -> list[Any]:
        return []


class _Loop(asyncio.SelectorEventLoop):
    """Event loop of one daemon, which stands still while it is suspended."""

    def __init__(self, clock: Callable[[], Nanoseconds]) -> None:
        self._clock = clock
        super().__init__(_Selector())

    def time(self) -> float:
        return self._clock() / SECOND_NS

    def run_due(self) -> None:
        """Run what is due now, and what follows from it at once."""
        for _ in range(4):
            self.call_soon(self.stop)
            self.run_forever()


class _Port(DatagramPort):
    def __init__(self, send: Callable[[str, bytes], None]) -> None:
        super().__init__(0)
        self._send = send

    def send_encoded(self, ip: str, datagram: bytes) -> None:
        self._send(ip, datagram)

    def receive(self, datagram: bytes) -> None:
        self._handlers[type(decode_message(datagram))](decode_message(datagram))


@define(eq=False)
class AccountNode:
    """One run of a daemon."""

    heartbeat: PresenceHeartbeat
    loop: _Loop
    quotas: AccountQuotas
    presence: PresenceState
    port: _Port
    tokens: AccountTokens
    inbox: list[bytes] = field(factory=list)
    tasks: set[asyncio.Task[Any]] = field(factory=set)


class AccountFleet:
    """Daemons whose callers ask for more than the limit of an account.

    Attributes:
        nodes: The daemons by name; entries are ``e0`` and so on, standbys
            ``s0`` and so on.
        granted: Times at which requests got a token.
        suspended: End of the suspension of each daemon.
        cut: End of the time in which a daemon gets and sends no datagram.
        delays: Additional delay of the datagrams that a daemon sends.
        repeats: Fraction of the datagrams that arrive twice.
        lost: Fraction of the datagrams that are lost.
        tries: Requests of callers at each entry in each step.
    """

    def __init__(
        self,
        account: SiteAccount,
        entries: int,
        standbys: int,
        seed: int = 1,
        tries: int = 2,
    ) -> None:
        self.account = account
        self.granted: list[Nanoseconds] = []
        self.suspended: dict[str, Nanoseconds] = {}
        self.cut: dict[str, Nanoseconds] = {}
        self.delays: dict[str, Nanoseconds] = {}
        self.repeats = 0.0
        self.lost = 0.0
        self._now = _START_NS
        self._random = Random(seed)
        self.tries = tries
        self._sequence = count()
        self._transit: list[tuple[Nanoseconds, int, str, bytes]] = []
        self._heartbeats = {
            name: PresenceHeartbeat(
                name,
                1,
                1,
                f'z{number % _REGIONS}',
                name,
                '',
                is_ready=name.startswith('e'),
                is_standby=name.startswith('s'),
            )
            for names in (
                [f'e{number}' for number in range(entries)],
                [f's{number}' for number in range(standbys)],
            )
            for number, name in enumerate(names)
        }
        self.nodes: dict[str, AccountNode] = {}
        for name in self._heartbeats:
            self.start_node(name)

    def start_node(self, name: str) -> None:
        """Start a run of a daemon, which knows nothing of earlier runs."""
        if name in self.nodes:
            self._end_tasks(self.nodes.pop(name))
        own = self._heartbeats[name]
        presence = PresenceState(name)
        for number in range(_LARGE_FLEET):
            presence.heartbeat_targets[f'x{number}'] = number
        for other, heartbeat in self._heartbeats.items():
            presence.registered[other] = RegisteredInstance(heartbeat.zone, 1)
            if other != name:
                presence.peers[other] = PeerPresence(heartbeat, self._now)
        quotas = AccountQuotas(OVERSHOOT, SLACK, WINDOW_S, started_at=self._now)
        if own.is_standby:
            withdraw_share(quotas.whole_shares, self._now)
        else:
            divide_quotas(
                quotas, [self.account], len(self._heartbeats), self._now
            )
        port = _Port(lambda ip, datagram: self._send(name, ip, datagram))
        regions = {f'z{index}': f'r{index}' for index in range(_REGIONS)}
        owners = OwnerView(presence, lambda: own, regions)
        owners.update()
        seed = Random(self._random.random())
        common = (presence, owners, quotas, port, lambda: own, self._clock)
        shares = ShareExchange(*common, seed)
        exchange = TokenExchange(*common, seed)
        tokens = AccountTokens(
            quotas, self._clock, exchange.request_tokens, owners.has_other_owner
        )
        exchange.forward_grants(tokens.receive_grant)
        loop = _Loop(self._clock)
        node = AccountNode(own, loop, quotas, presence, port, tokens)
        self.nodes[name] = node
        self._create_task(node, shares.run())
        self._create_task(node, exchange.run())

    def run(self, duration: Nanoseconds) -> None:
        """Run all daemons for a time."""
        end = self._now + duration
        while self._now < end:
            self._now += _STEP_NS
            self._deliver()
            names = list(self.nodes)
            self._random.shuffle(names)
            for name in names:
                if self.suspended.get(name, 0) <= self._now:
                    self._run_node(self.nodes[name])

    def suspend(self, name: str, time: Nanoseconds) -> None:
        """Suspend a daemon; datagrams wait for it."""
        self.suspended[name] = self._now + time

    def suspend_entries(self, time: Nanoseconds) -> None:
        """Suspend all entries, as if they loaded for that time."""
        for name, node in self.nodes.items():
            if not node.heartbeat.is_standby:
                self.suspend(name, time)

    def cut_off(self, name: str, time: Nanoseconds) -> None:
        """Lose all datagrams from and to a daemon."""
        self.cut[name] = self._now + time

    def forget(self, name: str, seen_by: str) -> None:
        """Let a daemon take another one for lost."""
        self.nodes[seen_by].presence.peers.pop(name, None)

    def close(self) -> None:
        """End all daemons."""
        for node in self.nodes.values():
            self._end_tasks(node)

    def granted_in(self, start_s: float, end_s: float) -> int:
        """Return how many requests got a token in a time from the start."""
        start, end = start_s * SECOND_NS, end_s * SECOND_NS
        return sum(start <= at - _START_NS < end for at in self.granted)

    def _clock(self) -> Nanoseconds:
        return self._now

    def _run_node(self, node: AccountNode) -> None:
        inbox, node.inbox = node.inbox, []
        for datagram in inbox:
            node.port.receive(datagram)
        if not node.heartbeat.is_standby:
            for _ in range(self.tries):
                self._create_task(node, self._request(node))
        node.loop.run_due()

    async def _request(self, node: AccountNode) -> None:
        if await node.tokens.acquire(self.account.name, _TARGET_NS):
            self.granted.append(self._now)

    def _create_task(self, node: AccountNode, work: Any) -> None:
        task = node.loop.create_task(work)
        node.tasks.add(task)
        task.add_done_callback(node.tasks.discard)

    def _end_tasks(self, node: AccountNode) -> None:
        for task in tuple(node.tasks):
            task.cancel()
        node.loop.run_due()
        node.loop.close()

    def _send(self, sender: str, receiver: str, datagram: bytes) -> None:
        if self._random.random() < self.lost:
            return
        if max(map(self._cut_end, (sender, receiver))) > self._now:
            return
        copies = 2 if self._random.random() < self.repeats else 1
        for copy in range(copies):
            delay = round(self._random.random() * 10 * MILLISECOND_NS)
            delay += self.delays.get(sender, 0)
            # The second copy may arrive much later.
            delay += copy * round(self._random.random() * SECOND_NS / 4)
            item = (self._now + delay, next(self._sequence), receiver, datagram)
            heapq.heappush(self._transit, item)

    def _cut_end(self, name: str) -> Nanoseconds:
        return self.cut.get(name, 0)

    def _deliver(self) -> None:
        while self._transit and self._transit[0][0] <= self._now:
            _, _, receiver, datagram = heapq.heappop(self._transit)
            self.nodes[receiver].inbox.append(datagram)


def max_in_window(times: Sequence[Nanoseconds]) -> int:
    """Return the maximum number of times within one window of the limit."""
    ordered = sorted(times)
    first = 0
    largest = 0
    for index, at in enumerate(ordered):
        while ordered[first] < at - WINDOW_S * SECOND_NS:
            first += 1
        largest = max(largest, index - first + 1)
    return largest


def limit_in_window(account: SiteAccount) -> float:
    """Return the maximum number of requests that a window may admit."""
    tokens = account.rate * WINDOW_S + account.burst
    return tokens * (1 + OVERSHOOT) + SLACK
