"""Commands and flags of the command line."""

from __future__ import annotations

import argparse
import re
from collections.abc import Mapping
from typing import TYPE_CHECKING, Final

from geraniumshelf_cli.commands import daemons, edits, files, slots
from geraniumshelf_core.configuration.tables import NAME_PATTERN, NAME_RULE

if TYPE_CHECKING:
    Commands = argparse._SubParsersAction[argparse.ArgumentParser]

_ADDRESS_PATTERN: Final = re.compile(r'[^/\s:@]+:\d{1,5}', re.ASCII)
_DRAIN_SUMMARY: Final = 'drain a region or zone, or stop a daemon gracefully'
_MAX_LIMIT: Final = 10_000_000


def build_parser(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    """Build the parser, with defaults from environment variables."""
    parser = argparse.ArgumentParser(
        prog='geraniumshelf', description='Steer traffic of a deployment.'
    )
    parser.add_argument(
        '--platform-url',
        default=environment.get('GERANIUMSHELF_PLATFORM_URL', ''),
        help='URL of the platform object API (GERANIUMSHELF_PLATFORM_URL)',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    _add_file_commands(commands)
    _add_daemon_commands(commands, environment)
    _add_key_commands(_add_group(commands, 'key', 'add or withdraw keys'))
    _add_limit_commands(_add_group(commands, 'limit', 'change limits'))
    _add_slot_commands(_add_group(commands, 'slot', 'manage slots'))
    return parser


def _add_group(commands: Commands, name: str, summary: str) -> Commands:
    group = commands.add_parser(name, help=summary)
    return group.add_subparsers(dest=f'{name}_command', required=True)


def _add_command(
    commands: Commands, name: str, command: object, summary: str
) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=summary, description=summary)
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.set_defaults(run=command)
    return parser


def _add_file_commands(commands: Commands) -> None:
    for name, command, summary in (
        ('check', files.check, 'validate configuration files'),
        ('diff', files.diff, 'show what an apply would change'),
        ('apply', files.apply, 'apply configuration files'),
    ):
        parser = _add_command(commands, name, command, summary)
        parser.add_argument('base', help='base file')
        parser.add_argument(
            '--overlay',
            nargs='+',
            action='extend',
            default=[],
            help='overlay files, one per site',
        )
        if name == 'apply':
            parser.add_argument(
                '--from-revision',
                type=int,
                required=True,
                help='revision that the files are based on, 0 if there is none',
            )
    _add_command(commands, 'get', files.get, 'show the configuration in force')


def _add_daemon_commands(
    commands: Commands, environment: Mapping[str, str]
) -> None:
    setting = environment.get('GERANIUMSHELF_OPERATOR_ADDRESS', '')
    default_addresses = [address for address in setting.split(',') if address]
    for name, command, summary in (
        ('status', daemons.status, 'show the status of daemons'),
        ('timeline', daemons.timeline, 'show the merged events of daemons'),
    ):
        parser = _add_command(commands, name, command, summary)
        _add_daemon_flag(parser)
        # Addresses given by flags replace those of the environment.
        parser.set_defaults(known_daemons=default_addresses)
    parser = _add_command(commands, 'drain', edits.drain, _DRAIN_SUMMARY)
    parser.add_argument('place', nargs='?', help='region or zone')
    parser.add_argument('--undo', action='store_true', help='end the drain')
    _add_daemon_flag(parser)


def _add_daemon_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--daemon',
        action='append',
        default=[],
        type=_parse_address,
        help='operator address of a daemon, HOST:PORT; may be repeated',
    )


def _add_key_commands(commands: Commands) -> None:
    parser = _add_command(
        commands, 'add', edits.key_add, 'add a key and show it once'
    )
    parser.add_argument('account', type=_parse_name)
    parser.add_argument('label', type=_parse_name)
    parser = _add_command(
        commands, 'withdraw', edits.key_withdraw, 'withdraw a key'
    )
    parser.add_argument('label', type=_parse_name)


def _add_limit_commands(commands: Commands) -> None:
    raise_parser = _add_command(
        commands, 'raise', edits.limit_raise, 'raise limits'
    )
    lower_parser = _add_command(
        commands, 'lower', edits.limit_lower, 'lower limits'
    )
    for parser in (raise_parser, lower_parser):
        parser.add_argument('account', type=_parse_name)
        parser.add_argument(
            '--rate', type=_parse_limit, help='requests per second'
        )
        parser.add_argument(
            '--burst', type=_parse_limit, help='maximum burst of requests'
        )
    for flag in ('--current-rate', '--current-burst'):
        lower_parser.add_argument(
            flag, type=_parse_limit, help='limit that must be in force'
        )


def _add_slot_commands(commands: Commands) -> None:
    summary = 'free the slot of an instance that was removed permanently'
    parser = _add_command(commands, 'free', slots.slot_free, summary)
    parser.add_argument('zone', type=_parse_name)
    parser.add_argument('number', type=int)


def _parse_name(text: str) -> str:
    if NAME_PATTERN.fullmatch(text) is None:
        raise argparse.ArgumentTypeError(f'allowed: {NAME_RULE}')
    return text


def _parse_address(text: str) -> str:
    if _ADDRESS_PATTERN.fullmatch(text) is None:
        raise argparse.ArgumentTypeError('allowed: HOST:PORT')
    return text


def _parse_limit(text: str) -> int:
    if not text.isdecimal() or not 1 <= int(text) <= _MAX_LIMIT:
        raise argparse.ArgumentTypeError(f'allowed: 1 to {_MAX_LIMIT}')
    return int(text)
