"""What an apply from files keeps of the configuration in force."""

from attrs import evolve

from geraniumshelf_core.configuration.comparison import find_lowered_limits
from geraniumshelf_core.configuration.identity import sort_entries
from geraniumshelf_core.configuration.model import Configuration, Key
from geraniumshelf_core.errors import ConfigurationError, ResultCode


def reconcile_files(
    in_force: Configuration | None, stated: Configuration
) -> Configuration:
    """Return the configuration that files lead to.

    Keys, withdrawals and drains that were set by command are kept. Files
    cannot lower or drop a limit, raise one that was lowered by command, or
    restore a withdrawn key.

    Raises:
        ConfigurationError: If the files contradict what a command has set.
    """
    if in_force is None:
        return sort_entries(stated)
    _check_deployment(in_force, stated)
    _check_limits(in_force, stated)
    _check_withdrawn(in_force, stated)
    places = {region.name for region in stated.regions}
    places.update(zone.name for zone in stated.zones)
    return sort_entries(
        evolve(
            stated,
            keys=_merge_keys(in_force, stated),
            withdrawn=in_force.withdrawn,
            drained=tuple(n for n in in_force.drained if n in places),
            lowered=_still_lowered(in_force, stated),
        )
    )


def _check_deployment(in_force: Configuration, stated: Configuration) -> None:
    if stated.deployment != in_force.deployment:
        raise ConfigurationError(
            ResultCode.OUT_OF_RANGE,
            f'top level: deployment: found {stated.deployment}; allowed: '
            f'the deployment of this platform, {in_force.deployment}',
        )


def _check_limits(in_force: Configuration, stated: Configuration) -> None:
    for limit in find_lowered_limits(in_force, stated):
        found = limit.after or 'no such account'
        raise ConfigurationError(
            ResultCode.LIMIT_LOWERED,
            f'accounts[{limit.account}]: {limit.limit}: found {found}; '
            f'allowed: at least {limit.before}, the limit in force; '
            'use `limit lower` to lower it',
        )
    for limit in find_lowered_limits(stated, in_force):
        if limit.account in in_force.lowered:
            raise ConfigurationError(
                ResultCode.LOWERED_LIMIT_RAISED,
                f'accounts[{limit.account}]: {limit.limit}: found '
                f'{limit.before}; allowed: {limit.after}, to which it was '
                'lowered by command; use `limit raise` to raise it',
            )


def _check_withdrawn(in_force: Configuration, stated: Configuration) -> None:
    withdrawn = {key.digest for key in in_force.withdrawn}
    for key in stated.keys:
        if key.digest in withdrawn:
            raise ConfigurationError(
                ResultCode.WITHDRAWN_KEY_RESTATED,
                f'keys[{key.label}]: digest: found a withdrawn key; allowed: '
                'keys that were never withdrawn; delete the entry',
            )


def _merge_keys(
    in_force: Configuration, stated: Configuration
) -> tuple[Key, ...]:
    merged = {key.label: key for key in in_force.keys}
    owners = {key.digest: key for key in in_force.keys}
    for key in stated.keys:
        for known in (merged.get(key.label), owners.get(key.digest)):
            if known not in (None, key):
                raise _changed_key(key)
        merged[key.label] = key
    return tuple(merged.values())


def _changed_key(key: Key) -> ConfigurationError:
    return ConfigurationError(
        ResultCode.DUPLICATE_NAME,
        f'keys[{key.label}]: found a label or digest that another key in '
        'force has; allowed: unchanged keys and new ones; withdraw the key '
        'and add another',
    )


def _still_lowered(
    in_force: Configuration, stated: Configuration
) -> tuple[str, ...]:
    # Without this, a file that agrees with the lowered limit could not be
    # used to raise it later; agreeing files show that their author knows.
    limits = {a.name: (a.rate_per_s, a.burst) for a in in_force.accounts}
    agreed = {
        account.name
        for account in stated.accounts
        if limits.get(account.name) == (account.rate_per_s, account.burst)
    }
    return tuple(name for name in in_force.lowered if name not in agreed)
