"""Reconciliation of configuration files with the configuration in force."""

from attrs import evolve

from geraniumshelf_core.configuration.comparison import find_lowered_limits
from geraniumshelf_core.configuration.identity import sort_entries
from geraniumshelf_core.configuration.model import Configuration, Key
from geraniumshelf_core.errors import ConfigurationError, ResultCode


def reconcile_files(
    in_force: Configuration | None, declared: Configuration
) -> Configuration:
    """Return the configuration that results from applying files.

    Keys, withdrawals and drains that were set by command are kept. Files
    cannot lower or drop a limit, raise a limit that was lowered by command,
    or restore a withdrawn key.

    Raises:
        ConfigurationError: If the files belong to another deployment or
            contradict what was set by command.
    """
    if in_force is None:
        return sort_entries(declared)
    _check_deployment(in_force, declared)
    _check_limits(in_force, declared)
    _check_withdrawn(in_force, declared)
    drainable_names = {region.name for region in declared.regions}
    drainable_names.update(zone.name for zone in declared.zones)
    return sort_entries(
        evolve(
            declared,
            keys=_merge_keys(in_force, declared),
            withdrawn=in_force.withdrawn,
            drained=tuple(
                name for name in in_force.drained if name in drainable_names
            ),
            lowered=_find_still_lowered(in_force, declared),
        )
    )


def _check_deployment(in_force: Configuration, declared: Configuration) -> None:
    if declared.deployment != in_force.deployment:
        raise ConfigurationError(
            ResultCode.OUT_OF_RANGE,
            f'top level: deployment: found {declared.deployment}; allowed: '
            f'the deployment of this platform, {in_force.deployment}',
        )


def _check_limits(in_force: Configuration, declared: Configuration) -> None:
    for limit in find_lowered_limits(in_force, declared):
        found = limit.after or 'no such account'
        raise ConfigurationError(
            ResultCode.LIMIT_LOWERED,
            f'accounts[{limit.account}]: {limit.limit}: found {found}; '
            f'allowed: at least {limit.before}, the limit in force; '
            'use `limit lower` to lower it',
        )
    for limit in find_lowered_limits(declared, in_force):
        if limit.account in in_force.lowered:
            raise ConfigurationError(
                ResultCode.LOWERED_LIMIT_RAISED,
                f'accounts[{limit.account}]: {limit.limit}: found '
                f'{limit.before}; allowed: {limit.after}, to which it was '
                'lowered by command; use `limit raise` to raise it',
            )


def _check_withdrawn(in_force: Configuration, declared: Configuration) -> None:
    withdrawn = {key.digest for key in in_force.withdrawn}
    for key in declared.keys:
        if key.digest in withdrawn:
            raise ConfigurationError(
                ResultCode.WITHDRAWN_KEY_RESTATED,
                f'keys[{key.label}]: digest: found a withdrawn key; allowed: '
                'keys that were never withdrawn; delete the entry',
            )


def _merge_keys(
    in_force: Configuration, declared: Configuration
) -> tuple[Key, ...]:
    merged = {key.label: key for key in in_force.keys}
    owners = {key.digest: key for key in in_force.keys}
    for key in declared.keys:
        for known in (merged.get(key.label), owners.get(key.digest)):
            if known not in (None, key):
                raise _changed_key_error(key)
        merged[key.label] = key
    return tuple(merged.values())


def _changed_key_error(key: Key) -> ConfigurationError:
    return ConfigurationError(
        ResultCode.DUPLICATE_NAME,
        f'keys[{key.label}]: found a label or digest that another key in '
        'force has; allowed: unchanged keys and new keys; to change a key, '
        'withdraw it and add another',
    )


def _find_still_lowered(
    in_force: Configuration, declared: Configuration
) -> tuple[str, ...]:
    # Files that state the lowered limits show that their author knows of the
    # change, so later files may raise them again. Without this, files could
    # never again raise a limit that was lowered by command.
    limits = {
        account.name: (account.rate_per_s, account.burst)
        for account in in_force.accounts
    }
    agreed = {
        account.name
        for account in declared.accounts
        if limits.get(account.name) == (account.rate_per_s, account.burst)
    }
    return tuple(name for name in in_force.lowered if name not in agreed)
