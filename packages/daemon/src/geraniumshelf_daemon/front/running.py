"""Requests that run now, and why they are ended early."""

import asyncio
from collections.abc import Collection, Mapping
from typing import Final

from attrs import define, field

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_daemon.observability.events import Event, log_event

_CUT_OFF_RETRY_S: Final = 3


@define(eq=False)
class RunningRequest:
    """A request from its arrival to the end of its answer.

    Attributes:
        task: The task that serves it.
        digest: Digest of its key, empty before the key is known and on open
            routes.
        account: Client account of the key.
        ran: What is known of whether it ran.
        refusal: Why it is ended early, ``None`` if it isn't.
    """

    task: asyncio.Task[None]
    digest: str = field(default='', repr=False)
    account: str = ''
    ran: Ran = Ran.NOT_RUN
    refusal: RequestRefused | None = None


class RunningRequests:
    """All requests that run now."""

    def __init__(self) -> None:
        self._requests: set[RunningRequest] = set()
        self._ended = asyncio.Event()

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
        self._ended.set()

    def end_withdrawn(self, keys: Mapping[str, str]) -> int:
        """End the requests whose key isn't in a revision any more.

        Args:
            keys: Account by digest of each key in force.

        Returns:
            The number of requests that were ended.
        """
        withdrawn = [
            request
            for request in self._requests
            if request.digest and keys.get(request.digest) != request.account
        ]
        for request in withdrawn:
            request.refusal = RequestRefused(
                ResultCode.KEY_WITHDRAWN,
                'the key was withdrawn',
                ran=request.ran,
            )
            request.task.cancel()
            log_event(Event.KEY_WITHDRAWN_STREAM, account=request.account)
        return len(withdrawn)

    def end_accounts(self, accounts: Collection[str]) -> int:
        """End the requests of accounts whose keys cannot be relied on.

        Returns:
            The number of requests that were ended.
        """
        ended = [one for one in self._requests if one.account in accounts]
        for request in ended:
            request.refusal = RequestRefused(
                ResultCode.CUT_OFF,
                'no withdrawal of a key can reach this zone now',
                ran=request.ran,
                retry_after_s=_CUT_OFF_RETRY_S,
            )
            request.task.cancel()
        return len(ended)

    async def wait_empty(self) -> None:
        """Wait until no request runs."""
        while self._requests:
            self._ended.clear()
            await self._ended.wait()
