"""Commands that edit the configuration in force."""

import secrets
from argparse import Namespace
from functools import partial
from typing import Final

from attrs import evolve

from geraniumshelf_cli.commands.files import build_publish_report
from geraniumshelf_cli.reports import Report
from geraniumshelf_cli.session import Session
from geraniumshelf_core.configuration.edits import (
    add_key,
    lower_limit,
    raise_limit,
    resolve_limits,
    set_drain,
    withdraw_key,
)
from geraniumshelf_core.configuration.model import Configuration, Key
from geraniumshelf_core.errors import OperatorError, ResultCode
from geraniumshelf_core.keys.digests import digest_key

_KEY_BYTES: Final = 32


async def key_add(arguments: Namespace, session: Session) -> Report:
    """Add a generated key and show it once."""
    key = secrets.token_urlsafe(_KEY_BYTES)
    entry = Key(digest_key(key), arguments.account, arguments.label)
    result = await session.publisher().edit(partial(add_key, key=entry))
    report = build_publish_report(result, f'key, shown only once: {key}')
    return evolve(report, fields={**report.fields, 'key': key})


async def key_withdraw(arguments: Namespace, session: Session) -> Report:
    """Withdraw a key by its label."""
    change = partial(withdraw_key, label=arguments.label)
    return build_publish_report(await session.publisher().edit(change))


async def limit_raise(arguments: Namespace, session: Session) -> Report:
    """Raise limits of a client account."""
    if arguments.rate is None and arguments.burst is None:
        raise _usage_error('give --rate, --burst or both')
    change = partial(
        raise_limit,
        name=arguments.account,
        rate_per_s=arguments.rate,
        burst=arguments.burst,
    )
    return build_publish_report(await session.publisher().edit(change))


async def limit_lower(arguments: Namespace, session: Session) -> Report:
    """Lower limits of a client account."""
    rates = (arguments.rate, arguments.current_rate)
    bursts = (arguments.burst, arguments.current_burst)
    if rates == bursts == (None, None):
        raise _usage_error('give --rate, --burst or both')
    for name, pair in (('rate', rates), ('burst', bursts)):
        if (pair[0] is None) != (pair[1] is None):
            raise _usage_error(
                f'--{name} and --current-{name} must be given together'
            )
    change = partial(_lower_limits, arguments=arguments)
    return build_publish_report(await session.publisher().edit(change))


async def drain(arguments: Namespace, session: Session) -> Report:
    """Drain a region or zone, or stop a daemon gracefully."""
    if (arguments.place is None) == (not arguments.daemon):
        raise _usage_error('give either a region or zone, or --daemon')
    if arguments.daemon:
        return await _stop_daemons(arguments.daemon, session)
    change = partial(set_drain, name=arguments.place, undo=arguments.undo)
    return build_publish_report(await session.publisher().edit(change))


async def _stop_daemons(addresses: list[str], session: Session) -> Report:
    for address in addresses:
        await session.call_daemon(address, '/v1/drain', 'POST')
    return Report(
        (f'stopping: {", ".join(addresses)}',),
        {'stopping': addresses},
    )


def _lower_limits(
    configuration: Configuration, arguments: Namespace
) -> Configuration:
    name = arguments.account
    lowered = resolve_limits(
        configuration, name, arguments.rate, arguments.burst
    )
    current = resolve_limits(
        configuration, name, arguments.current_rate, arguments.current_burst
    )
    return lower_limit(configuration, lowered, current)


def _usage_error(detail: str) -> OperatorError:
    return OperatorError(ResultCode.USAGE, detail)
