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
    """Validate files without the platform."""
    counts = _counts(_read_files(arguments))
    return Report(
        ('the files are valid', *_count_lines(counts)),
        {'valid': True, 'counts': counts},
    )


async def diff(arguments: Namespace, session: Session) -> Report:
    """Show what an apply of files would change."""
    stated = _read_files(arguments)
    stored = await session.publisher().read()
    wanted = reconcile_files(stored.configuration, stated)
    changes = find_changes(stored.configuration or EMPTY, wanted)
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
    """Put files in force."""
    stated = _read_files(arguments)
    publisher = session.publisher()
    stored = await publisher.read()
    wanted = reconcile_files(stored.configuration, stated)
    _check_revision(stored, wanted, arguments.from_revision)
    return build_publish_report(await publisher.apply(stored, wanted))


async def get(arguments: Namespace, session: Session) -> Report:
    """Show the configuration in force; keys by their labels only."""
    stored = await session.publisher().read()
    if stored.configuration is None:
        raise OperatorError(
            ResultCode.NOT_FOUND, 'no configuration was applied yet'
        )
    configuration = stored.configuration
    return Report(
        (
            f'revision {stored.head.revision} of {configuration.deployment}',
            *_count_lines(_counts(configuration)),
            *_account_lines(configuration),
            *(f'key {k.label} of {k.account}' for k in configuration.keys),
            *(f'drained {name}' for name in configuration.drained),
        ),
        {
            'revision': stored.head.revision,
            'apply_id': stored.head.recent_apply_ids[-1],
            'configuration': _without_digests(configuration),
        },
    )


def build_publish_report(published: PublishResult, *lines: str) -> Report:
    """Report a change that is in force."""
    outcome = f'revision {published.revision} is in force'
    if not published.apply_id:
        outcome = f'nothing to change, revision {published.revision}'
    notes = () if published.is_cleaned else ('old parts were not deleted',)
    return Report(
        (outcome, *change_lines(published.changes), *notes, *lines),
        {
            'revision': published.revision,
            'apply_id': published.apply_id,
            'changes': change_fields(published.changes),
            'cleaned': published.is_cleaned,
        },
    )


def _check_revision(
    stored: StoredRevision, wanted: Configuration, from_revision: int
) -> None:
    if stored.head.revision == from_revision:
        return
    changes = find_changes(stored.configuration or EMPTY, wanted)
    raise OperatorError(
        ResultCode.APPLY_CONFLICT,
        f'the edit is based on revision {from_revision}, but revision '
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


def _counts(configuration: Configuration) -> dict[str, int]:
    return {kind: len(getattr(configuration, kind)) for kind in COLLECTIONS}


def _count_lines(counts: dict[str, int]) -> tuple[str, ...]:
    return tuple(f'{kind}: {count}' for kind, count in counts.items())


def _account_lines(configuration: Configuration) -> tuple[str, ...]:
    return tuple(
        f'account {account.name} rate {account.rate_per_s}/s '
        f'burst {account.burst}'
        for account in configuration.accounts
    )


def _without_digests(configuration: Configuration) -> dict[str, Any]:
    return asdict(
        configuration,
        filter=_is_shown,
        value_serializer=_serialize,
    )


def _is_shown(attribute: Any, found: object) -> bool:
    return bool(attribute.name != 'digest')


def _serialize(instance: object, attribute: object, found: Any) -> Any:
    return found.value if isinstance(found, Enum) else found
