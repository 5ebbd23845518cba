"""The command that frees the slot of a removed instance."""

from argparse import Namespace

from geraniumshelf_cli.reports import Report
from geraniumshelf_cli.session import Session
from geraniumshelf_core.errors import OperatorError, PlatformError, ResultCode


async def slot_free(arguments: Namespace, session: Session) -> Report:
    """Delete the claim of a slot unless it changes in the meantime.

    An instance that still runs but is cut off from the platform would
    continue to use its share of the limits, so the operator must be certain
    that the instance has stopped.
    """
    name = f'slots/{arguments.zone}/{arguments.number}'
    platform = session.platform()
    try:
        claim = await platform.get(name)
    except PlatformError as error:
        raise _read_error(name, error) from error
    try:
        await platform.delete(name, claim.version)
    except PlatformError as error:
        raise _delete_error(name, error) from error
    return Report((f'{name} is free',), {'slot': name, 'free': True})


def _read_error(name: str, error: PlatformError) -> Exception:
    if error.code is not ResultCode.OBJECT_MISSING:
        return error
    return OperatorError(ResultCode.NOT_FOUND, f'{name} is not claimed')


def _delete_error(name: str, error: PlatformError) -> Exception:
    if error.code is ResultCode.VERSION_CONFLICT:
        return OperatorError(
            ResultCode.APPLY_CONFLICT,
            f'{name} was renewed or claimed in the meantime; it was not freed',
        )
    return OperatorError(
        ResultCode.APPLY_UNKNOWN,
        f'it is unknown whether {name} was freed: {error}; repeat the '
        'command: NOT_FOUND means that the slot was freed',
    )
