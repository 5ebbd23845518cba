"""The permission to run a request once."""

from functools import partial
from secrets import randbits
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.idempotency.request_id import RequestId

_NONCE_BITS: Final = 62


@define
class RunGrant:
    """A run that was requested by this daemon and may have been granted.

    Attributes:
        account: Client account, empty on open routes.
        request_id: The request id.
        decider: Instance that decides about the run, empty for this daemon.
        nonce: Random number of the query. It tells grants for the same id
            apart, because the id may be granted again after a run that never
            began.
    """

    account: str
    request_id: RequestId
    decider: str
    nonce: int = Factory(partial(randbits, _NONCE_BITS))
