"""Tells a slow connection from a silent one."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from attrs import define, frozen

from geraniumshelf_core.errors import Ran, ResultCode

T = TypeVar('T')


class SilentError(Exception):
    """No byte moved for the progress timeout."""


@frozen
class AttemptFailed(Exception):
    """A backend server gave no answer that can be relayed.

    Attributes:
        code: Result code for the caller if there is no further attempt.
        ran: What is known of whether the request ran.
        is_failure: Whether it counts against the server.
    """

    code: ResultCode
    detail: str
    ran: Ran
    is_failure: bool = True


@define
class Progress:
    """Counts what moved in either direction.

    Attributes:
        timeout_s: Progress timeout, seconds.
        steps: Chunks that were sent.
    """

    timeout_s: float
    steps: int = 0


async def with_timeout(timeout_s: float, step: Awaitable[T]) -> T:
    """Return the outcome of a step.

    Raises:
        SilentError: If it takes longer than the timeout.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await step
    except TimeoutError as error:
        raise SilentError from error
