"""Runs one command and prints its answer."""

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

_USAGE_EXIT: Final = 2


def run_command(
    stated: Sequence[str],
    environment: Mapping[str, str],
    session_factory: SessionFactory = Session,
) -> int:
    """Run a command and return its exit code.

    Args:
        stated: The arguments without the program name.
        environment: Environment variables.
        session_factory: Makes the session for a platform address.
    """
    try:
        arguments = build_parser(environment).parse_args(stated)
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else _USAGE_EXIT
    _fill_daemons(arguments)
    session = session_factory(arguments.platform_url)
    try:
        report: Report = asyncio.run(arguments.run(arguments, session))
    except GeraniumshelfError as error:
        return _print_error(error, arguments)
    except KeyboardInterrupt:
        return _print_error(_interrupted(), arguments)
    sys.stdout.write(f'{report.render(as_json=arguments.json)}\n')
    return report.exit_code.value


def _interrupted() -> OperatorError:
    return OperatorError(
        ResultCode.APPLY_UNKNOWN,
        'interrupted; a change that was sent may take effect, see `get`',
    )


def _fill_daemons(arguments: Namespace) -> None:
    if 'known_daemons' in arguments and not arguments.daemon:
        arguments.daemon = arguments.known_daemons


def _print_error(error: GeraniumshelfError, arguments: Namespace) -> int:
    stream = sys.stdout if arguments.json else sys.stderr
    stream.write(f'{render_error(error, as_json=arguments.json)}\n')
    return exit_code(error).value
