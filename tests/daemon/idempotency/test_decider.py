"""Tests decisions between daemons over a network that loses messages."""

import asyncio
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.codec import Frame, decode_frame, encode_frame
from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.idempotency.request_id import request_id_prefix
from geraniumshelf_core.idempotency.state import (
    Done,
    Finished,
    InProgress,
    Lost,
    NotRun,
    Run,
    Unknown,
)
from geraniumshelf_daemon.idempotency.decider import RunDecider
from geraniumshelf_daemon.idempotency.handover import HandoverService


class Network:
    """Delivers or loses messages between daemons of one process.

    Attributes:
        handlers: Message handlers by daemon name and message type.
        down: Names of daemons that are unreachable.
        losing: Which messages are lost: ``request``, ``answer`` or neither.
    """

    def __init__(self) -> None:
        self.handlers = {}
        self.down = set()
        self.losing = ''

    def join(self, name: str) -> 'Node':
        self.handlers[name] = {}
        return Node(self, name)

    async def deliver(self, sender: str, receiver: str, message):
        if receiver in self.down or sender in self.down:
            raise PeerError(ResultCode.PEER_UNREACHABLE, receiver)
        if self.losing == 'request':
            raise PeerError(ResultCode.PEER_TIMEOUT, receiver)
        arrived = decode_frame(encode_frame(Frame(1, 1, message))).message
        answer = await self.handlers[receiver][type(arrived)](sender, arrived)
        if self.losing == 'answer':
            raise PeerError(ResultCode.PEER_TIMEOUT, receiver)
        if answer is None:
            return None
        return decode_frame(encode_frame(Frame(1, 1, answer))).message


class Node:
    """One daemon with its decider and handover service, as a network peer."""

    def __init__(self, network: Network, name: str) -> None:
        self.network, self.name = network, name
        self.decider = RunDecider(name, self, self, lambda: 0)
        self.handover_service = HandoverService(
            name, self, self.decider, lambda: 0
        )
        self.decider.add_issuer(f'{name}/0', 7)

    def register(self, message_type, handler) -> None:
        self.network.handlers[self.name][message_type] = handler

    def connected_peers(self) -> tuple[str, ...]:
        others = set(self.network.handlers) - {self.name} - self.network.down
        return tuple(sorted(others))

    def notify(self, instance: str, message) -> None:
        # The coroutine never suspends, so one send runs it to its end.
        delivery = self.network.deliver(self.name, instance, message)
        try:
            delivery.send(None)
        except (StopIteration, PeerError):
            return

    async def request(self, instance: str, message, timeout: int):
        return await self.network.deliver(self.name, instance, message)

    def find(self, slot: str, incarnation: int) -> str | None:
        name = slot.partition('/')[0]
        return None if name in self.network.down else name


def _id(node: str, suffix: str) -> str:
    return request_id_prefix(f'{node}/0', 7, 0) + suffix


async def _wait_for_reports(node: Node) -> None:
    """Wait until a daemon has delivered all outcome reports."""
    async with asyncio.timeout(30):
        while node.decider.reports.pending_count:
            await asyncio.sleep(0.01)


def _nodes() -> tuple[Network, list[Node]]:
    network = Network()
    return network, [network.join(name) for name in 'abc']


def test_asked_daemon_decides_and_learns_the_outcome() -> None:
    """A request id received by two daemons must run only once."""

    async def scenario() -> None:
        _, (a, b, c) = _nodes()
        grant, verdict = await b.decider.decide('x', _id('a', 's'))
        assert verdict == Run()
        assert (await a.decider.decide('x', _id('a', 's')))[1] == InProgress()
        finished = Finished(200, (('A', 'b'),), b'sold')
        b.decider.report_outcome(grant, finished)
        await _wait_for_reports(b)
        assert (await c.decider.decide('x', _id('a', 's')))[1] == Done(finished)

    asyncio.run(scenario())


def test_old_report_does_not_end_a_later_grant() -> None:
    """A repeated report of an earlier grant must not free the id again."""

    async def scenario() -> None:
        network, (_a, b, c) = _nodes()
        first, _ = await b.decider.decide('x', _id('a', 's'))
        b.decider.report_outcome(first, NotRun())
        await _wait_for_reports(b)
        _, verdict = await b.decider.decide('x', _id('a', 's'))
        assert verdict == Run()
        b.decider.report_outcome(first, NotRun())
        await _wait_for_reports(b)
        assert not network.losing
        assert (await c.decider.decide('x', _id('a', 's')))[1] == InProgress()

    asyncio.run(scenario())


def test_lost_report_is_sent_again() -> None:
    """An id must not stay "in progress" after the report of its run is lost."""

    async def scenario() -> None:
        network, (_a, b, c) = _nodes()
        grant, _ = await b.decider.decide('x', _id('a', 's'))
        network.losing = 'request'
        b.decider.report_outcome(grant, Finished(200))
        await asyncio.sleep(0)
        network.losing = ''
        await _wait_for_reports(b)
        verdict = (await c.decider.decide('x', _id('a', 's')))[1]
        assert verdict == Done(Finished(200))

    asyncio.run(scenario())


@pytest.mark.parametrize('losing', ['request', 'answer'])
def test_lost_messages_leave_the_outcome_unknown(losing: str) -> None:
    """A run whose grant was lost must not be granted a second time."""

    async def scenario() -> None:
        network, (_a, b, c) = _nodes()
        network.losing = losing
        verdict = (await b.decider.decide('x', _id('a', 's')))[1]
        assert isinstance(verdict, Unknown)
        network.losing = ''
        verdict = (await c.decider.decide('x', _id('a', 's')))[1]
        if losing == 'answer':
            assert not isinstance(verdict, Run)

    asyncio.run(scenario())


def test_unreachable_and_restarted_deciders_are_unknown() -> None:
    """No other daemon may decide while the decider may still be running."""

    async def scenario() -> None:
        network, (a, b, _c) = _nodes()
        network.down.add('a')
        verdict = (await b.decider.decide('x', _id('a', 's')))[1]
        assert isinstance(verdict, Unknown)
        other = request_id_prefix('a/0', 8, 0) + 's'
        assert isinstance((await a.decider.decide('x', other))[1], Unknown)

    asyncio.run(scenario())


def test_stopped_daemon_is_decided_by_its_successor() -> None:
    """After a graceful stop, callers still retry ids that the daemon issued."""

    async def scenario() -> None:
        network, (a, b, c) = _nodes()
        for number in range(250):
            grant, _ = await a.decider.decide('x', _id('a', f's{number}'))
            a.decider.report_outcome(grant, Finished(200, (), b'sold'))
        running, _ = await c.decider.decide('x', _id('a', 'running'))
        network.down.add('unlinked')
        assert await a.handover_service.hand_over(('unlinked', 'b')) == 'b'
        network.down.add('a')
        done = Done(Finished(200, (), b'sold'))
        for node in (b, c):
            verdict = (await node.decider.decide('x', _id('a', 's249')))[1]
            assert verdict == done
        c.decider.report_outcome(running, Finished(201))
        await _wait_for_reports(c)
        verdict = (await b.decider.decide('x', _id('a', 'running')))[1]
        assert verdict == Done(Finished(201))

    asyncio.run(scenario())


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['decide', 'end', 'lose', 'hand-over', 'cut']),
            st.integers(0, 2),
            st.sampled_from('abc'),
            st.sampled_from('xy'),
        ),
        max_size=40,
    ),
    st.integers(0, 99),
)
def test_no_history_between_daemons_runs_twice(steps, seed: int) -> None:
    """Guarantee 9: no request runs twice, whatever is lost or handed over."""

    async def scenario() -> None:
        network, nodes = _nodes()
        random, runs, grants = Random(seed), {}, []
        for step, number, issuer, suffix in steps:
            node, text = nodes[number], _id(issuer, suffix)
            match step:
                case 'decide':
                    grant, verdict = await node.decider.decide('x', text)
                    if verdict == Run():
                        runs[text] = runs.get(text, 0) + 1
                        grants.append((node, text, grant))
                case 'end' if grants:
                    owner, ended, grant = grants.pop()
                    outcome = random.choice([NotRun(), Lost(), Finished(200)])
                    runs[ended] -= outcome == NotRun()
                    owner.decider.report_outcome(grant, outcome)
                case 'lose':
                    network.losing = random.choice(['', 'request', 'answer'])
                case 'hand-over':
                    peers = tuple(p for p in 'abc' if p != node.name)
                    await node.handover_service.hand_over(peers)
                case 'cut':
                    network.down ^= {node.name}
            assert all(count <= 1 for count in runs.values())

    asyncio.run(scenario())
