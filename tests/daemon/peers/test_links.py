"""Tests of the links between daemons with broken and replaced peers."""

import asyncio
import socket
from contextlib import AsyncExitStack
from typing import Any

import cbor2
import pytest
from tests.daemon.loopback import run_scenario, wait_until
from websockets.asyncio.client import ClientConnection, connect

from geraniumshelf_core.codec import Frame, decode_frame, encode_frame
from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.messages.configuration import (
    ConfigurationParts,
    ConfigurationRequest,
)
from geraniumshelf_core.messages.membership import Heartbeat, Hello
from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.peers.links import PeerLinks


class _PeerNode:
    """The links of one daemon, with a handler that echoes a digest."""

    def __init__(self, name: str, port: int = 0, incarnation: int = 1) -> None:
        self._listener = socket.create_server(('127.0.0.1', port))
        self.port = self._listener.getsockname()[1]
        self.address = f'127.0.0.1:{self.port}'
        self.hello = Hello(name, 'z', 'r', '', self.address, incarnation)
        self.clock = LogicalClock()
        self.links = PeerLinks(
            self.hello,
            lambda: Heartbeat(incarnation, 1, 0, '', 0, False, -1),
            clock=self.clock,
        )
        self.linked_hellos: list[Hello] = []
        self.links.subscribe(self.linked_hellos.append)
        self.links.register(ConfigurationRequest, self._echo)

    async def __aenter__(self) -> '_PeerNode':
        await self.links.start(self._listener)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.links.stop()

    async def _echo(self, peer: str, message: ConfigurationRequest) -> Any:
        if not message.known_digests:
            raise PeerError(ResultCode.NOT_READY, 'no digests')
        return ConfigurationParts(message.known_digests[0].encode(), ())


async def _connect_raw(
    stack: AsyncExitStack, node: _PeerNode, hello: Hello
) -> ClientConnection:
    connection = await stack.enter_async_context(
        connect(
            f'ws://{node.address}',
            compression=None,
            proxy=None,
            close_timeout=0.1,
        )
    )
    await connection.send(encode_frame(Frame(1, 0, hello)))
    return connection


async def _next_request(connection: ClientConnection) -> Frame:
    while True:
        frame = decode_frame(await connection.recv(decode=False))
        if isinstance(frame.message, ConfigurationRequest):
            return frame


_PEER = Hello('raw', 'z', 'r', '', '127.0.0.1:1', 1)
_REQUEST = ConfigurationRequest(('d',))


def test_both_sides_dial_and_keep_one_link() -> None:
    """Guards against two links per pair of daemons.

    They would double the heartbeats, and a reply could arrive on the link
    that did not carry its request.
    """

    async def scenario(stack: AsyncExitStack) -> None:
        one = await stack.enter_async_context(_PeerNode('one'))
        two = await stack.enter_async_context(_PeerNode('two'))
        for _ in range(5):
            one.links.set_targets([two.address])
            two.links.set_targets([one.address])
            for node, peer in ((one, 'two'), (two, 'one')):
                await wait_until(
                    lambda links=node.links: bool(links.connected_peers())
                )
                reply = await node.links.request(peer, _REQUEST, 5 * SECOND_NS)
                assert reply == ConfigurationParts(b'd', ())
            one.links.set_targets([])
            two.links.set_targets([])
            await wait_until(lambda: not one.links.connected_peers())
        with pytest.raises(PeerError) as caught:
            await one.links.request('two', _REQUEST, SECOND_NS)
        assert caught.value.code is ResultCode.PEER_UNREACHABLE

    run_scenario(scenario)


def test_failure_of_a_handler_is_an_answer() -> None:
    """A failure of a handler must not be reported as a lost peer."""

    async def scenario(stack: AsyncExitStack) -> None:
        one = await stack.enter_async_context(_PeerNode('one'))
        two = await stack.enter_async_context(_PeerNode('two'))
        one.links.set_targets([two.address])
        await wait_until(lambda: bool(one.links.connected_peers()))
        for message in (ConfigurationRequest(()), ConfigurationParts(b'', ())):
            with pytest.raises(PeerError) as caught:
                await one.links.request('two', message, 5 * SECOND_NS)
            assert caught.value.code is ResultCode.PEER_REFUSED

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('encoded', 'code'),
    [
        (cbor2.dumps([2, 2, 99, 0]), 4001),
        (b'\xff', 4002),
        (cbor2.dumps([1, 2, 99, 0, 'no number']), 4002),
        (encode_frame(Frame(99, 0, _PEER)), 4002),
    ],
)
def test_refused_frame_closes_and_changes_nothing(
    encoded: bytes, code: int
) -> None:
    """A malformed frame must not advance the clock or reach a handler."""

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_PeerNode('node'))
        connection = await _connect_raw(stack, node, _PEER)
        await connection.send(encoded)
        await connection.wait_closed()
        assert connection.close_code == code
        assert node.clock.tick() < 99
        await wait_until(lambda: not node.links.connected_peers())

    run_scenario(scenario)


def test_late_doubled_and_crossed_answers_are_dropped() -> None:
    """A reply must never be delivered to another request.

    The replies arrive after the timeout, twice, or from another peer.
    """

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_PeerNode('node'))
        own_peer = await _connect_raw(stack, node, _PEER)
        other_peer = await _connect_raw(
            stack, node, Hello('other', 'z', 'r', '', '127.0.0.1:2', 1)
        )
        await wait_until(lambda: len(node.links.connected_peers()) == 2)
        with pytest.raises(PeerError) as caught:
            await node.links.request('raw', _REQUEST, 1)
        assert caught.value.code is ResultCode.PEER_TIMEOUT
        late_id = (await _next_request(own_peer)).correlation_id
        request_task = asyncio.create_task(
            node.links.request('raw', _REQUEST, 10 * SECOND_NS)
        )
        own_id = (await _next_request(own_peer)).correlation_id
        for connection, correlation_id, content in (
            (other_peer, own_id, b'crossed'),
            (own_peer, late_id, b'late'),
            (own_peer, own_id, b'own'),
            (own_peer, own_id, b'doubled'),
        ):
            message = ConfigurationParts(content, ())
            await connection.send(
                encode_frame(Frame(1, correlation_id, message))
            )
        assert (await request_task).head == b'own'

    run_scenario(scenario)


def test_replaced_incarnation_is_a_new_peer() -> None:
    """A request to a replaced instance must not reach its successor."""

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_PeerNode('node'))
        first = await _connect_raw(stack, node, _PEER)
        await wait_until(lambda: len(node.linked_hellos) == 1)
        request_task = asyncio.create_task(
            node.links.request('raw', _REQUEST, 20 * SECOND_NS)
        )
        await _next_request(first)
        successor = Hello('raw2', 'z', 'r', '', _PEER.peer_address, 2)
        await _connect_raw(stack, node, successor)
        with pytest.raises(PeerError) as caught:
            await request_task
        assert caught.value.code is ResultCode.PEER_TIMEOUT
        assert node.linked_hellos == [_PEER, successor]
        assert node.links.connected_peers() == ('raw2',)

    run_scenario(scenario)


def test_silent_and_paused_peer_is_dropped_without_blocking_others() -> None:
    """A peer that stops reading must not delay others or fill the memory."""

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_PeerNode('node'))
        other = await stack.enter_async_context(_PeerNode('other'))
        node.links.set_targets([other.address])
        paused = await _connect_raw(stack, node, _PEER)
        paused.transport.pause_reading()
        await wait_until(lambda: len(node.links.connected_peers()) == 2)
        for _ in range(40):
            node.links.notify('raw', ConfigurationParts(bytes(10**6), ()))
        await node.links.request('other', _REQUEST, 5 * SECOND_NS)
        await wait_until(lambda: 'raw' not in node.links.connected_peers())
        assert node.links.connected_peers() == ('other',)

    run_scenario(scenario)


def test_restarted_peer_is_dialed_again() -> None:
    """An instance that is replaced at the same address must be dialed again."""

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_PeerNode('node'))
        async with _PeerNode('peer') as first:
            node.links.set_targets([first.address])
            await wait_until(lambda: len(node.linked_hellos) == 1)
        await wait_until(lambda: not node.links.connected_peers())
        second = await stack.enter_async_context(
            _PeerNode('peer', first.port, incarnation=2)
        )
        await wait_until(lambda: len(node.linked_hellos) == 2)
        assert node.linked_hellos == [first.hello, second.hello]

    run_scenario(scenario)


def test_traffic_counts_both_directions() -> None:
    """Uncounted bytes would hide a control plane that exceeds its bandwidth."""

    async def scenario(stack: AsyncExitStack) -> None:
        one = await stack.enter_async_context(_PeerNode('one'))
        two = await stack.enter_async_context(_PeerNode('two'))
        one.links.set_targets([two.address])
        await wait_until(lambda: bool(one.links.connected_peers()))
        await one.links.request('two', _REQUEST, 5 * SECOND_NS)
        sent = one.links.traffic.bytes_sent
        await wait_until(lambda: two.links.traffic.bytes_received >= sent)
        assert one.links.traffic.messages_received >= 2
        assert sent > 2 * len(encode_frame(Frame(1, 1, _REQUEST)))

    run_scenario(scenario)
