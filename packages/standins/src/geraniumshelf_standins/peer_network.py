"""In-memory peer network with delay, loss and isolated instances."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, Final

from attrs import Factory, define

from geraniumshelf_core.codec import Frame, decode_frame, encode_frame
from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds

# Logical clock and correlation id of all frames: the encoded size depends on
# the value, and this one has a typical size.
_TYPICAL_NUMBER: Final = 100_000


_Handler = Callable[[str, Any], Awaitable[Any]]


@define(eq=False)
class MemoryLinks:
    """Peer links between all simulated daemons.

    Attributes:
        delay_s: One-way delay between two instances, seconds.
        random: Random source of losses.
        loss_fraction: Fraction of the messages that are lost.
        isolated: Instances whose messages are lost in both directions.
        sent_bytes: Bytes of frames sent, by sending instance.
        networks: Peer networks by instance.
        tasks: Deliveries of notifications that have not ended.
    """

    delay_s: Callable[[str, str], float]
    random: Random
    loss_fraction: float = 0
    isolated: set[str] = Factory(set)
    sent_bytes: Counter[str] = Factory(Counter)
    networks: 'dict[str, MemoryNetwork]' = Factory(dict)
    tasks: set[asyncio.Task[None]] = Factory(set)

    def create_network(self, instance: str) -> 'MemoryNetwork':
        """Create the peer network of an instance and return it."""
        self.networks[instance] = MemoryNetwork(instance, self)
        return self.networks[instance]

    async def transmit(self, source: str, target: str, message: Any) -> Any:
        """Encode, delay and decode a message.

        Raises:
            PeerError: ``PEER_TIMEOUT`` if the message is lost.
        """
        encoded = encode_frame(Frame(_TYPICAL_NUMBER, _TYPICAL_NUMBER, message))
        self.sent_bytes[source] += len(encoded)
        await asyncio.sleep(self.delay_s(source, target))
        is_cut = source in self.isolated or target in self.isolated
        if is_cut or self.random.random() < self.loss_fraction:
            raise PeerError(
                ResultCode.PEER_TIMEOUT,
                f'message from {source} to {target} lost',
            )
        return decode_frame(encoded).message


@define(eq=False)
class MemoryNetwork:
    """Peer network of one simulated daemon."""

    _instance: str
    _links: MemoryLinks
    _handlers: dict[type, _Handler] = Factory(dict)

    def register(
        self,
        message_type: type,
        handler: _Handler,
    ) -> None:
        """Register the handler of received messages of a type."""
        self._handlers[message_type] = handler

    def connected_peers(self) -> tuple[str, ...]:
        """Return all other instances of the network."""
        return tuple(
            name for name in self._links.networks if name != self._instance
        )

    def notify(self, instance: str, message: Any) -> None:
        """Send a message and ignore whether it arrives."""
        task = asyncio.create_task(self._deliver_quietly(instance, message))
        self._links.tasks.add(task)
        task.add_done_callback(self._links.tasks.discard)

    async def request(
        self, instance: str, message: Any, timeout: Nanoseconds
    ) -> Any:
        """Send a message and return the answer.

        Raises:
            PeerError: ``PEER_TIMEOUT`` if there is no answer in time.
        """
        answer = asyncio.ensure_future(self._exchange(instance, message))
        done, _ = await asyncio.wait([answer], timeout=ns_to_seconds(timeout))
        if not done:
            # The task continues because the peer may still handle the request.
            # Its result or error is fetched and dropped.
            answer.add_done_callback(lambda task: task.exception())
            raise PeerError(
                ResultCode.PEER_TIMEOUT,
                f'no answer from {instance} within'
                f' {ns_to_seconds(timeout):g} s',
            )
        return answer.result()

    async def _exchange(self, instance: str, message: Any) -> Any:
        answer = await self._deliver(instance, message)
        return await self._links.transmit(instance, self._instance, answer)

    async def _deliver(self, instance: str, message: Any) -> Any:
        received = await self._links.transmit(self._instance, instance, message)
        handlers = self._links.networks[instance]._handlers
        return await handlers[type(received)](self._instance, received)

    async def _deliver_quietly(self, instance: str, message: Any) -> None:
        try:
            await self._deliver(instance, message)
        except PeerError:
            return
