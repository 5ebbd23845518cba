"""The command that frees the slot of an instance that is gone."""

from argparse import Namespace

from geraniumshelf_cli.reports import Report
from geraniumshelf_cli.session import Session
from geraniumshelf_core.errors import OperatorError, PlatformError, ResultCode


async def slot_free(arguments: Namespace, session: Session) -> Report:
    """Delete the claim of a slot if it does not change meanwhile.

    A holder that is still alive and cut off would go on using its share, so
    the operator must know that the instance is gone.
    """
    name = f'slots/{arguments.zone}/{arguments.number}'
    platform = session.platform()
    try:
        claim = await platform.get(name)
    except PlatformError as error:
        raise _not_found(name, error) from error
    try:
        await platform.delete(name, claim.version)
    except PlatformError as error:
        raise _conflict(name, error) from error
    return Report((f'{name} is free',), {'slot': name, 'free': True})


def _not_found(name: str, error: PlatformError) -> Exception:
    if error.code is not ResultCode.OBJECT_MISSING:
        return error
    return OperatorError(ResultCode.NOT_FOUND, f'{name} is not claimed')


def _conflict(name: str, error: PlatformError) -> Exception:
    if error.code is ResultCode.VERSION_CONFLICT:
        return OperatorError(
            ResultCode.APPLY_CONFLICT,
            f'{name} was renewed or taken meanwhile; it was not freed',
        )
    return OperatorError(
        ResultCode.APPLY_UNKNOWN,
        f'whether {name} was freed is unknown: {error}; repeat the command, '
        'which answers NOT_FOUND if it was',
    )
