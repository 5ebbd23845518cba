"""Exit codes of the command line, documented in ``docs/OPERATIONS.md``."""

from enum import IntEnum, unique
from typing import Final

from geraniumshelf_core.errors import (
    ConfigurationError,
    GeraniumshelfError,
    PlatformError,
    ResultCode,
)


@unique
class ExitCode(IntEnum):
    """Exit codes of the command line."""

    DONE = 0
    FAULT = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
    PLATFORM = 6
    NOT_FOUND = 7
    DAEMON = 8
    LIMIT = 9


_EXIT_CODE_BY_RESULT: Final = {
    ResultCode.APPLY_CONFLICT: ExitCode.CONFLICT,
    ResultCode.APPLY_UNKNOWN: ExitCode.UNKNOWN,
    ResultCode.NOT_FOUND: ExitCode.NOT_FOUND,
    ResultCode.DAEMON_UNREACHABLE: ExitCode.DAEMON,
    ResultCode.LIMIT_LOWERED: ExitCode.LIMIT,
    ResultCode.LOWERED_LIMIT_RAISED: ExitCode.LIMIT,
    ResultCode.SETTING_INVALID: ExitCode.USAGE,
    ResultCode.USAGE: ExitCode.USAGE,
    ResultCode.FILE_UNREADABLE: ExitCode.USAGE,
}


def exit_code(error: GeraniumshelfError) -> ExitCode:
    """Return the exit code of an error."""
    mapped = _EXIT_CODE_BY_RESULT.get(error.code)
    if mapped is not None:
        return mapped
    match error:
        case ConfigurationError():
            return ExitCode.REFUSED
        case PlatformError():
            return ExitCode.PLATFORM
        case _:
            return ExitCode.FAULT
