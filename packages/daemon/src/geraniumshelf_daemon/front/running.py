"""Tracks running requests and cancels them."""

import asyncio
from collections.abc import Collection, Mapping
from typing import Final

from attrs import define, field

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_daemon.observability.events import Event, log_event

_CUT_OFF_RETRY_S: Final = 3


@define(eq=False)
class RunningRequest:
    """A request from its arrival to the end of its response.

    Attributes:
        task: The task that serves the request.
        digest: Digest of its key, empty before the key is checked and on open
            routes.
        account: Client account of the key.
        ran: Whether the request ran on a backend server, as far as known.
        refusal: Why the request was cancelled, ``None`` if it wasn't.
    """

    task: asyncio.Task[None]
    digest: str = field(default='', repr=False)
    account: str = ''
    ran: Ran = Ran.NOT_RUN
    refusal: RequestRefused | None = None


class RunningRequests:
    """All running requests of the daemon."""

    def __init__(self) -> None:
        self._requests: set[RunningRequest] = set()
        self._removed = asyncio.Event()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self) -> RunningRequest:
        """Add the request that the current task serves."""
        task = asyncio.current_task()
        assert task is not None
        request = RunningRequest(task)
        self._requests.add(request)
        return request

    def remove(self, request: RunningRequest) -> None:
        """Remove a request that has ended."""
        self._requests.discard(request)
        self._removed.set()

    def cancel_withdrawn(self, keys: Mapping[str, str]) -> int:
        """Cancel the requests whose key was removed from the configuration.

        Args:
            keys: Account names by digest of the keys in force.

        Returns:
            The number of requests that were cancelled.
        """
        withdrawn = [
            request
            for request in self._requests
            if request.digest and keys.get(request.digest) != request.account
        ]
        for request in withdrawn:
            request.refusal = RequestRefused(
                ResultCode.KEY_WITHDRAWN,
                'the key was withdrawn while the request was running',
                ran=request.ran,
            )
            request.task.cancel()
            log_event(Event.KEY_WITHDRAWN_STREAM, account=request.account)
        return len(withdrawn)

    def cancel_accounts(self, accounts: Collection[str]) -> int:
        """Cancel the requests of accounts while the zone is cut off.

        Withdrawals of their keys cannot reach this daemon, so the keys may no
        longer be valid.

        Returns:
            The number of requests that were cancelled.
        """
        cancelled = [
            request for request in self._requests if request.account in accounts
        ]
        for request in cancelled:
            request.refusal = RequestRefused(
                ResultCode.CUT_OFF,
                'this zone cannot receive key withdrawals at present',
                ran=request.ran,
                retry_after_s=_CUT_OFF_RETRY_S,
            )
            request.task.cancel()
        return len(cancelled)

    async def wait_empty(self) -> None:
        """Wait until no request is running."""
        while self._requests:
            self._removed.clear()
            await self._removed.wait()
