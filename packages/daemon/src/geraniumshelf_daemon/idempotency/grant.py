"""The grant of one run."""

from functools import partial
from secrets import randbits
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.idempotency.request_id import RequestId

_NONCE_BITS: Final = 62


@define
class RunGrant:
    """A run that was granted to this daemon.

    Attributes:
        account: Client account, empty on open routes.
        request_id: The request id.
        decider: Instance that granted it, empty for this daemon.
        nonce: Number of the query; the same id may be granted again after a
            run that never began.
    """

    account: str
    request_id: RequestId
    decider: str
    nonce: int = Factory(partial(randbits, _NONCE_BITS))
