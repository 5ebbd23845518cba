"""Reports of how granted runs ended, sent until they are confirmed."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from geraniumshelf_core.errors import PeerError
from geraniumshelf_core.idempotency.state import RunOutcome
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.idempotency.grant import RunGrant
from geraniumshelf_daemon.idempotency.wire import outcome_message
from geraniumshelf_daemon.peers.interface import PeerNetwork

# A decider that cannot be reached for ten seconds has most likely gone, and
# its ids are unknown then anyway.
_ATTEMPTS: Final = 20
_PAUSE_S: Final = 0.5
_TIMEOUT: Final[Nanoseconds] = SECOND_NS


@define(eq=False)
class OutcomeReports:
    """Delivers outcomes to the daemons that granted the runs.

    Attributes:
        peers: Links to peers.
        decider_of: Returns the instance that decides now, empty for none.
        finish_here: Records an outcome if this daemon decides by now.
    """

    peers: PeerNetwork
    decider_of: Callable[[RunGrant], str]
    finish_here: Callable[[RunGrant, RunOutcome], bool]
    _tasks: set[asyncio.Task[None]] = field(factory=set, init=False)

    @property
    def pending(self) -> int:
        """Return the number of outcomes that are not confirmed."""
        return len(self._tasks)

    def send(self, grant: RunGrant, outcome: RunOutcome) -> None:
        """Begin to report an outcome."""
        task = asyncio.create_task(self._deliver(grant, outcome))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_for_delivery(self) -> None:
        """Wait until all outcomes are confirmed or given up."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _deliver(self, grant: RunGrant, outcome: RunOutcome) -> None:
        message = outcome_message(
            grant.account, str(grant.request_id), grant.nonce, outcome
        )
        for _ in range(_ATTEMPTS):
            decider = self.decider_of(grant)
            if not decider or self.finish_here(grant, outcome):
                return
            try:
                await self.peers.request(decider, message, _TIMEOUT)
            except PeerError:
                await asyncio.sleep(_PAUSE_S)
            else:
                return
