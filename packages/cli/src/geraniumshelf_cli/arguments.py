"""The flags of the command line."""

from __future__ import annotations

import argparse
import re
from collections.abc import Mapping
from typing import TYPE_CHECKING, Final

from geraniumshelf_cli.commands import daemons, edits, files, slots
from geraniumshelf_core.configuration.tables import NAME_PATTERN, NAME_RULE

if TYPE_CHECKING:
    Commands = argparse._SubParsersAction[argparse.ArgumentParser]

_ADDRESS: Final = re.compile(r'[^/\s:@]+:\d{1,5}', re.ASCII)
_DRAIN_SUMMARY: Final = 'drain a region or zone, or stop a daemon gracefully'
_LARGEST_LIMIT: Final = 10_000_000


def build_parser(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    """Build the parser; the environment gives defaults of the settings."""
    parser = argparse.ArgumentParser(
        prog='geraniumshelf', description='Steer traffic of a deployment.'
    )
    parser.add_argument(
        '--platform-url',
        default=environment.get('GERANIUMSHELF_PLATFORM_URL', ''),
        help='object API of the platform (GERANIUMSHELF_PLATFORM_URL)',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    _add_file_commands(commands)
    _add_daemon_commands(commands, environment)
    _add_key_commands(_group(commands, 'key', 'add or withdraw keys'))
    _add_limit_commands(_group(commands, 'limit', 'change limits'))
    _add_slot_commands(_group(commands, 'slot', 'manage slots'))
    return parser


def _group(commands: Commands, name: str, summary: str) -> Commands:
    group = commands.add_parser(name, help=summary)
    return group.add_subparsers(dest=f'{name}_command', required=True)


def _add(
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
        ('apply', files.apply, 'put configuration files in force'),
    ):
        parser = _add(commands, name, command, summary)
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
                help='revision that the edit is based on, 0 for the first',
            )
    _add(commands, 'get', files.get, 'show the configuration in force')


def _add_daemon_commands(
    commands: Commands, environment: Mapping[str, str]
) -> None:
    stated = environment.get('GERANIUMSHELF_OPERATOR_ADDRESS', '')
    known = [address for address in stated.split(',') if address]
    for name, command, summary in (
        ('status', daemons.status, 'show the status of daemons'),
        ('timeline', daemons.timeline, 'show the merged events of daemons'),
    ):
        parser = _add(commands, name, command, summary)
        _add_daemon_flag(parser)
        # Addresses by flag replace those of the environment.
        parser.set_defaults(known_daemons=known)
    parser = _add(commands, 'drain', edits.drain, _DRAIN_SUMMARY)
    parser.add_argument('place', nargs='?', help='region or zone')
    parser.add_argument('--undo', action='store_true', help='end the drain')
    _add_daemon_flag(parser)


def _add_daemon_flag(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--daemon',
        action='append',
        default=[],
        type=_address,
        help='operator address of a daemon, HOST:PORT; may be repeated',
    )


def _add_key_commands(commands: Commands) -> None:
    parser = _add(commands, 'add', edits.key_add, 'add a key, shown once')
    parser.add_argument('account', type=_name)
    parser.add_argument('label', type=_name)
    parser = _add(commands, 'withdraw', edits.key_withdraw, 'withdraw a key')
    parser.add_argument('label', type=_name)


def _add_limit_commands(commands: Commands) -> None:
    raising = _add(commands, 'raise', edits.limit_raise, 'raise limits')
    lowering = _add(commands, 'lower', edits.limit_lower, 'lower limits')
    for parser in (raising, lowering):
        parser.add_argument('account', type=_name)
        parser.add_argument('--rate', type=_limit, help='requests a second')
        parser.add_argument('--burst', type=_limit, help='requests at once')
    for flag in ('--current-rate', '--current-burst'):
        lowering.add_argument(flag, type=_limit, help='value in force now')


def _add_slot_commands(commands: Commands) -> None:
    summary = 'free the slot of an instance that is gone for good'
    parser = _add(commands, 'free', slots.slot_free, summary)
    parser.add_argument('zone', type=_name)
    parser.add_argument('number', type=int)


def _name(text: str) -> str:
    if NAME_PATTERN.fullmatch(text) is None:
        raise argparse.ArgumentTypeError(f'allowed: {NAME_RULE}')
    return text


def _address(text: str) -> str:
    if _ADDRESS.fullmatch(text) is None:
        raise argparse.ArgumentTypeError('allowed: HOST:PORT')
    return text


def _limit(text: str) -> int:
    if not text.isdecimal() or not 1 <= int(text) <= _LARGEST_LIMIT:
        raise argparse.ArgumentTypeError(f'allowed: 1 to {_LARGEST_LIMIT}')
    return int(text)
