"""Proxies that cut links silently."""

import asyncio


class DatagramProxy:
    """Passes datagrams from one address to another, unless they are cut."""

    def __init__(self, is_cut):
        self._is_cut = is_cut
        self._transports = []

    async def forward(self, listen, target):
        """Pass on what arrives at an address."""
        loop = asyncio.get_running_loop()
        sender, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(target[0], 0)
        )
        receiver, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(sender, target, self._is_cut), local_addr=listen
        )
        self._transports += [sender, receiver]

    def close(self):
        """Close all sockets."""
        for transport in self._transports:
            transport.close()


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, sender, target, is_cut):
        self._sender, self._target, self._is_cut = sender, target, is_cut

    def datagram_received(self, data, addr):
        if not self._is_cut():
            self._sender.sendto(data, self._target)


class StreamProxy:
    """Passes connections to an address; in a cut it passes no bytes."""

    def __init__(self, target, is_cut):
        self._target, self._is_cut = target, is_cut
        self._server = None
        self._writers = set()

    async def listen(self, host, port=0):
        """Listen on an address and return it."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return f'{host}:{self._server.sockets[0].getsockname()[1]}'

    def close(self):
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            host, _, port = self._target.rpartition(':')
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            self._writers.add(far_writer)
            try:
                await asyncio.gather(
                    self._copy(reader, far_writer), self._copy(far_reader, writer)
                )
            finally:
                self._writers.discard(far_writer)
                far_writer.close()
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _copy(self, reader, writer):
        while data := await reader.read(65536):
            # Bytes that a cut holds up are lost with their connection.
            while self._is_cut():
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        writer.close()
