"""The ports of a daemon on a platform that lists the backend servers."""

from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.front.server import FrontServer


class Listeners:
    """Servers for callers, their look-ups, the platform and collectors.

    Args:
        front: Takes requests.
        directory: Answers look-ups.
        ready: Tells the platform whether the daemon takes requests.
        metrics: Tells collectors its counters.
    """

    def __init__(
        self,
        front: FrontServer,
        directory: FrontServer,
        ready: FrontServer,
        metrics: FrontServer,
    ) -> None:
        self.front = front
        self._directory = directory
        self._ready = ready
        self._metrics = metrics

    def listen(self, settings: EdgeSettings) -> None:
        """Listen at all addresses.

        Raises:
            OSError: If an address is in use.
        """
        for server, address in (
            (self._ready, settings.ready_address),
            (self.front, settings.front_address),
            (self._directory, settings.directory_address),
            (self._metrics, settings.metrics_address),
        ):
            if address:
                host, _, port = address.rpartition(':')
                server.listen(host, int(port))

    async def close(self) -> None:
        """Close all ports and connections."""
        for server in (self.front, self._directory, self._ready, self._metrics):
            await server.close()
