"""Distinguishes slow connections from silent ones by their progress."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from attrs import define, frozen

from geraniumshelf_core.errors import Ran, ResultCode
from geraniumshelf_daemon.edge.interface import ReportedLoad

T = TypeVar('T')


class SilentError(Exception):
    """No byte was transferred within the progress timeout."""


@frozen
class AttemptFailed(Exception):
    """A backend server gave no response that can be relayed.

    Attributes:
        code: Result code for the caller if there is no further attempt.
        detail: Description of the failure.
        ran: Whether the request ran, as far as it is known.
        is_server_failure: Whether it counts as a failure of the server.
        load: Load that the server reported, ``None`` if it reported none.
    """

    code: ResultCode
    detail: str
    ran: Ran
    is_server_failure: bool = True
    load: ReportedLoad | None = None


@define
class Progress:
    """Progress of sending a request body.

    Attributes:
        timeout_s: Progress timeout, seconds.
        chunks_sent: Number of chunks that have been sent.
    """

    timeout_s: float
    chunks_sent: int = 0


async def with_timeout(timeout_s: float, operation: Awaitable[T]) -> T:
    """Return the result of an operation.

    Raises:
        SilentError: If it takes longer than the timeout.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await operation
    except TimeoutError as error:
        raise SilentError from error
