"""Guards links between daemons against broken and changing peers."""

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


class _Node:
    """A daemon's links with a trivial handler."""

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
        self.seen: list[Hello] = []
        self.links.subscribe(self.seen.append)
        self.links.register(ConfigurationRequest, self._echo)

    async def __aenter__(self) -> '_Node':
        await self.links.start(self._listener)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.links.stop()

    async def _echo(self, peer: str, message: ConfigurationRequest) -> Any:
        if not message.known_digests:
            raise PeerError(ResultCode.NOT_READY, 'nothing')
        return ConfigurationParts(message.known_digests[0].encode(), ())


async def _raw(
    stack: AsyncExitStack, node: _Node, hello: Hello
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
_ASK = ConfigurationRequest(('d',))


def test_both_sides_dial_and_keep_one_link() -> None:
    """Two links per pair would double heartbeats and split answers."""

    async def scenario(stack: AsyncExitStack) -> None:
        one = await stack.enter_async_context(_Node('one'))
        two = await stack.enter_async_context(_Node('two'))
        for _ in range(5):
            one.links.set_targets([two.address])
            two.links.set_targets([one.address])
            for node, peer in ((one, 'two'), (two, 'one')):
                await wait_until(
                    lambda links=node.links: bool(links.connected_peers())
                )
                answer = await node.links.request(peer, _ASK, 5 * SECOND_NS)
                assert answer == ConfigurationParts(b'd', ())
            one.links.set_targets([])
            two.links.set_targets([])
            await wait_until(lambda: not one.links.connected_peers())
        with pytest.raises(PeerError) as caught:
            await one.links.request('two', _ASK, SECOND_NS)
        assert caught.value.code is ResultCode.PEER_UNREACHABLE

    run_scenario(scenario)


def test_failure_of_a_handler_is_an_answer() -> None:
    """A refusal must not look like a lost peer."""

    async def scenario(stack: AsyncExitStack) -> None:
        one = await stack.enter_async_context(_Node('one'))
        two = await stack.enter_async_context(_Node('two'))
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
    """A broken peer must not move the clock or reach a handler."""

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_Node('node'))
        connection = await _raw(stack, node, _PEER)
        await connection.send(encoded)
        await connection.wait_closed()
        assert connection.close_code == code
        assert node.clock.tick() < 99
        await wait_until(lambda: not node.links.connected_peers())

    run_scenario(scenario)


def test_late_doubled_and_crossed_answers_are_dropped() -> None:
    """An answer must never be taken for that of another request."""

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_Node('node'))
        right = await _raw(stack, node, _PEER)
        wrong = await _raw(
            stack, node, Hello('other', 'z', 'r', '', '127.0.0.1:2', 1)
        )
        await wait_until(lambda: len(node.links.connected_peers()) == 2)
        with pytest.raises(PeerError) as caught:
            await node.links.request('raw', _ASK, 1)
        assert caught.value.code is ResultCode.PEER_TIMEOUT
        late = (await _next_request(right)).correlation_id
        asked = asyncio.create_task(
            node.links.request('raw', _ASK, 10 * SECOND_NS)
        )
        number = (await _next_request(right)).correlation_id
        for connection, correlation, content in (
            (wrong, number, b'crossed'),
            (right, late, b'late'),
            (right, number, b'own'),
            (right, number, b'doubled'),
        ):
            message = ConfigurationParts(content, ())
            await connection.send(encode_frame(Frame(1, correlation, message)))
        assert (await asked).head == b'own'

    run_scenario(scenario)


def test_replaced_incarnation_is_a_new_peer() -> None:
    """A request to the predecessor must fail, not reach the successor."""

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_Node('node'))
        first = await _raw(stack, node, _PEER)
        await wait_until(lambda: len(node.seen) == 1)
        asked = asyncio.create_task(
            node.links.request('raw', _ASK, 20 * SECOND_NS)
        )
        await _next_request(first)
        successor = Hello('raw2', 'z', 'r', '', _PEER.peer_address, 2)
        await _raw(stack, node, successor)
        with pytest.raises(PeerError) as caught:
            await asked
        assert caught.value.code is ResultCode.PEER_TIMEOUT
        assert node.seen == [_PEER, successor]
        assert node.links.connected_peers() == ('raw2',)

    run_scenario(scenario)


def test_silent_and_paused_peer_is_dropped_without_blocking_others() -> None:
    """A peer that stops reading must hold up neither others nor memory."""

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_Node('node'))
        other = await stack.enter_async_context(_Node('other'))
        node.links.set_targets([other.address])
        paused = await _raw(stack, node, _PEER)
        paused.transport.pause_reading()
        await wait_until(lambda: len(node.links.connected_peers()) == 2)
        for _ in range(40):
            node.links.notify('raw', ConfigurationParts(bytes(10**6), ()))
        await node.links.request('other', _ASK, 5 * SECOND_NS)
        await wait_until(lambda: 'raw' not in node.links.connected_peers())
        assert node.links.connected_peers() == ('other',)

    run_scenario(scenario)


def test_restarted_peer_is_dialed_again() -> None:
    """A replaced instance at a known address must come back by itself."""

    async def scenario(stack: AsyncExitStack) -> None:
        node = await stack.enter_async_context(_Node('node'))
        async with _Node('peer') as first:
            node.links.set_targets([first.address])
            await wait_until(lambda: len(node.seen) == 1)
        await wait_until(lambda: not node.links.connected_peers())
        second = await stack.enter_async_context(
            _Node('peer', first.port, incarnation=2)
        )
        await wait_until(lambda: len(node.seen) == 2)
        assert node.seen == [first.hello, second.hello]

    run_scenario(scenario)


def test_traffic_counts_both_directions() -> None:
    """Uncounted bytes would hide that the control plane exceeds its bound."""

    async def scenario(stack: AsyncExitStack) -> None:
        one = await stack.enter_async_context(_Node('one'))
        two = await stack.enter_async_context(_Node('two'))
        one.links.set_targets([two.address])
        await wait_until(lambda: bool(one.links.connected_peers()))
        await one.links.request('two', _ASK, 5 * SECOND_NS)
        sent = one.links.traffic.bytes_sent
        await wait_until(lambda: two.links.traffic.bytes_received >= sent)
        assert one.links.traffic.messages_received >= 2
        assert sent > 2 * len(encode_frame(Frame(1, 1, _ASK)))

    run_scenario(scenario)
