"""The listening sockets of an edge daemon."""

from functools import partial
from typing import Final

from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.front.budget import CallerBudget
from geraniumshelf_daemon.front.caller import Serve
from geraniumshelf_daemon.front.server import FrontServer

# Idle timeout of caller connections until the configuration is known.
_INITIAL_IDLE_TIMEOUT_S: Final = 15.0


class Listeners:
    """Listeners for requests, look-ups, readiness checks and metrics.

    Attributes:
        front: Accepts the requests of callers.

    Args:
        front: Serves the requests of callers.
        directory: Serves look-ups of entry instances.
        ready: Serves readiness checks of the platform.
        metrics: Serves metrics collectors.
        budget: Bounds what the callers of all listeners hold together.
    """

    def __init__(
        self,
        front: Serve,
        directory: Serve,
        ready: Serve,
        metrics: Serve,
        budget: CallerBudget,
    ) -> None:
        self.front = FrontServer(front, _INITIAL_IDLE_TIMEOUT_S, budget)
        make_server = partial(
            FrontServer,
            idle_timeout_s=_INITIAL_IDLE_TIMEOUT_S,
            budget=budget,
        )
        self._directory = make_server(directory)
        self._ready = make_server(ready)
        self._metrics = make_server(metrics)

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
