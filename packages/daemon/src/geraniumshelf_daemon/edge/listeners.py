"""The listening sockets of an edge daemon."""

from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.front.server import FrontServer


class Listeners:
    """Listeners for requests, look-ups, readiness checks and metrics.

    Args:
        front: Serves the requests of callers.
        directory: Serves look-ups of entry instances.
        ready: Serves readiness checks of the platform.
        metrics: Serves metrics collectors.
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
        """Listen on all configured addresses.

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
        """Close all listeners and their connections."""
        for server in (self.front, self._directory, self._ready, self._metrics):
            await server.close()
