"""Running of one command and printing of its report."""

import asyncio
import sys
from argparse import Namespace
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from geraniumshelf_cli.arguments import build_parser
from geraniumshelf_cli.exit_codes import exit_code
from geraniumshelf_cli.reports import Report, render_error
from geraniumshelf_cli.session import Session
from geraniumshelf_core.errors import (
    GeraniumshelfError,
    OperatorError,
    ResultCode,
)

SessionFactory = Callable[[str], Session]

_USAGE_EXIT_CODE: Final = 2


def run_command(
    argv: Sequence[str],
    environment: Mapping[str, str],
    session_factory: SessionFactory = Session,
) -> int:
    """Run a command and return its exit code.

    Args:
        argv: The arguments without the program name.
        environment: Environment variables.
        session_factory: Creates the session for a platform URL.
    """
    try:
        arguments = build_parser(environment).parse_args(argv)
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else _USAGE_EXIT_CODE
    _apply_default_daemons(arguments)
    session = session_factory(arguments.platform_url)
    try:
        report: Report = asyncio.run(arguments.run(arguments, session))
    except GeraniumshelfError as error:
        return _print_error(error, arguments)
    except KeyboardInterrupt:
        return _print_error(_interrupted_error(), arguments)
    sys.stdout.write(f'{report.render(as_json=arguments.json)}\n')
    return report.exit_code.value


def _interrupted_error() -> OperatorError:
    return OperatorError(
        ResultCode.APPLY_UNKNOWN,
        'interrupted; a change that was already sent may still take '
        'effect; read the configuration with `get`',
    )


def _apply_default_daemons(arguments: Namespace) -> None:
    if 'known_daemons' in arguments and not arguments.daemon:
        arguments.daemon = arguments.known_daemons


def _print_error(error: GeraniumshelfError, arguments: Namespace) -> int:
    stream = sys.stdout if arguments.json else sys.stderr
    stream.write(f'{render_error(error, as_json=arguments.json)}\n')
    return exit_code(error).value
