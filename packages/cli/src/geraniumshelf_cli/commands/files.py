"""Commands that work on configuration files: check, diff, apply, get."""

from argparse import Namespace
from enum import Enum
from pathlib import Path
from typing import Any

from attrs import asdict

from geraniumshelf_cli.publishing import (
    EMPTY,
    PublishResult,
    StoredRevision,
)
from geraniumshelf_cli.reports import Report, change_fields, change_lines
from geraniumshelf_cli.session import Session
from geraniumshelf_core.configuration.comparison import find_changes
from geraniumshelf_core.configuration.documents import SourceText
from geraniumshelf_core.configuration.identity import COLLECTIONS
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.configuration.reader import read_configuration
from geraniumshelf_core.configuration.reconciliation import reconcile_files
from geraniumshelf_core.errors import OperatorError, ResultCode


async def check(arguments: Namespace, session: Session) -> Report:
    """Validate files; this does not access the platform."""
    counts = _count_entries(_read_files(arguments))
    return Report(
        ('the files are valid', *_format_counts(counts)),
        {'valid': True, 'counts': counts},
    )


async def diff(arguments: Namespace, session: Session) -> Report:
    """Show what applying files would change."""
    declared = _read_files(arguments)
    stored = await session.publisher().read()
    desired = reconcile_files(stored.configuration, declared)
    changes = find_changes(stored.configuration or EMPTY, desired)
    return Report(
        (
            f'revision {stored.head.revision} in force, '
            f'{len(changes)} differences',
            *change_lines(changes),
        ),
        {
            'revision': stored.head.revision,
            'changes': change_fields(changes),
        },
    )


async def apply(arguments: Namespace, session: Session) -> Report:
    """Apply files if the revision that they are based on is in force."""
    declared = _read_files(arguments)
    publisher = session.publisher()
    stored = await publisher.read()
    desired = reconcile_files(stored.configuration, declared)
    _check_revision(stored, desired, arguments.from_revision)
    return build_publish_report(await publisher.apply(stored, desired))


async def get(arguments: Namespace, session: Session) -> Report:
    """Show the configuration in force, without the digests of keys."""
    stored = await session.publisher().read()
    if stored.configuration is None:
        raise OperatorError(
            ResultCode.NOT_FOUND, 'no configuration is applied yet'
        )
    configuration = stored.configuration
    return Report(
        (
            f'revision {stored.head.revision} of {configuration.deployment}',
            *_format_counts(_count_entries(configuration)),
            *_format_accounts(configuration),
            *(
                f'key {key.label} of {key.account}'
                for key in configuration.keys
            ),
            *(f'drained {name}' for name in configuration.drained),
        ),
        {
            'revision': stored.head.revision,
            'apply_id': stored.head.recent_apply_ids[-1],
            'configuration': _to_json_fields(configuration),
        },
    )


def build_publish_report(result: PublishResult, *lines: str) -> Report:
    """Build the report of an apply or edit."""
    outcome = f'revision {result.revision} is in force'
    if not result.apply_id:
        outcome = f'nothing to change, revision {result.revision}'
    notes = () if result.is_cleaned else ('unused parts were not deleted',)
    return Report(
        (outcome, *change_lines(result.changes), *notes, *lines),
        {
            'revision': result.revision,
            'apply_id': result.apply_id,
            'changes': change_fields(result.changes),
            'cleaned': result.is_cleaned,
        },
    )


def _check_revision(
    stored: StoredRevision, desired: Configuration, from_revision: int
) -> None:
    if stored.head.revision == from_revision:
        return
    changes = find_changes(stored.configuration or EMPTY, desired)
    raise OperatorError(
        ResultCode.APPLY_CONFLICT,
        f'the files are based on revision {from_revision}, but revision '
        f'{stored.head.revision} is in force; nothing was changed. '
        f'The files differ from it: {"; ".join(change_lines(changes))}',
    )


def _read_files(arguments: Namespace) -> Configuration:
    overlays = [_read_file(name) for name in arguments.overlay]
    return read_configuration(_read_file(arguments.base), overlays)


def _read_file(name: str) -> SourceText:
    try:
        return SourceText(name, Path(name).read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise OperatorError(
            ResultCode.FILE_UNREADABLE,
            f'{name}: {type(error).__name__}; allowed: readable UTF-8 files',
        ) from error


def _count_entries(configuration: Configuration) -> dict[str, int]:
    return {kind: len(getattr(configuration, kind)) for kind in COLLECTIONS}


def _format_counts(counts: dict[str, int]) -> tuple[str, ...]:
    return tuple(f'{kind}: {count}' for kind, count in counts.items())


def _format_accounts(configuration: Configuration) -> tuple[str, ...]:
    return tuple(
        f'account {account.name} rate {account.rate_per_s}/s '
        f'burst {account.burst}'
        for account in configuration.accounts
    )


def _to_json_fields(configuration: Configuration) -> dict[str, Any]:
    return asdict(
        configuration,
        filter=_is_shown,
        value_serializer=_serialize_value,
    )


def _is_shown(attribute: Any, found: object) -> bool:
    return bool(attribute.name != 'digest')


def _serialize_value(entry: object, attribute: object, found: Any) -> Any:
    return found.value if isinstance(found, Enum) else found
