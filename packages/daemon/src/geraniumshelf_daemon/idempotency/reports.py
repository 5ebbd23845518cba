"""Reports of the outcomes of granted runs, retried until confirmed."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from geraniumshelf_core.errors import PeerError
from geraniumshelf_core.idempotency.state import RunOutcome
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.idempotency.grant import RunGrant
from geraniumshelf_daemon.idempotency.wire import build_outcome_message
from geraniumshelf_daemon.peers.interface import PeerNetwork

# 20 attempts 0.5 s apart. A decider that is unreachable for 10 s has most
# likely stopped, and the verdicts about its ids are unknown then anyway.
_MAX_ATTEMPTS: Final = 20
_RETRY_DELAY_S: Final = 0.5
_REQUEST_TIMEOUT_NS: Final[Nanoseconds] = SECOND_NS


@define(eq=False)
class OutcomeReports:
    """Delivers outcomes to the daemons that granted the runs.

    Attributes:
        peers: Network of peers.
        find_decider: Returns the instance that decides now, empty for none.
        record_locally: Records an outcome and returns true if this daemon
            decides now.
    """

    peers: PeerNetwork
    find_decider: Callable[[RunGrant], str]
    record_locally: Callable[[RunGrant, RunOutcome], bool]
    _tasks: set[asyncio.Task[None]] = field(factory=set, init=False)

    @property
    def pending_count(self) -> int:
        """Return the number of outcomes that are not confirmed yet."""
        return len(self._tasks)

    def send(self, grant: RunGrant, outcome: RunOutcome) -> None:
        """Start to deliver an outcome in the background."""
        task = asyncio.create_task(self._deliver(grant, outcome))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_for_delivery(self) -> None:
        """Wait until every outcome is confirmed or its retries are used up."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _deliver(self, grant: RunGrant, outcome: RunOutcome) -> None:
        message = build_outcome_message(
            grant.account, str(grant.request_id), grant.nonce, outcome
        )
        for _ in range(_MAX_ATTEMPTS):
            decider = self.find_decider(grant)
            if not decider or self.record_locally(grant, outcome):
                return
            try:
                await self.peers.request(decider, message, _REQUEST_TIMEOUT_NS)
            except PeerError:
                await asyncio.sleep(_RETRY_DELAY_S)
            else:
                return
