"""Checks whether a response of a backend server may be relayed."""

from typing import Final

from geraniumshelf_core.errors import Ran, ResultCode
from geraniumshelf_daemon.edge.interface import ResponseFields
from geraniumshelf_daemon.upstream.progress import AttemptFailed

_SUCCESS_CLASS: Final = 2
_CLASS_SIZE: Final = 100


def check_response(status: int, fields: ResponseFields) -> None:
    """Check that a response may be relayed.

    Raises:
        AttemptFailed: If the server did not run the request, or did not sign
            its response.
    """
    if fields.is_not_run:
        raise AttemptFailed(
            ResultCode.BACKEND_REFUSED,
            'another server now uses the address of the backend server'
            if fields.is_misdirected
            else 'the backend server did not run the request',
            Ran.NOT_RUN,
            is_server_failure=fields.is_misdirected,
            # Another server responds to a misdirected request.
            load=None if fields.is_misdirected else fields.load,
        )
    if status // _CLASS_SIZE == _SUCCESS_CLASS and not fields.is_signed:
        raise AttemptFailed(
            ResultCode.BACKEND_BROKEN,
            'the response of the backend server is not signed',
            Ran.UNKNOWN,
        )
