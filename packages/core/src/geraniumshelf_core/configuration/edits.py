"""Edits of the configuration that operators make by command."""

from attrs import evolve

from geraniumshelf_core.configuration.model import (
    ClientAccount,
    Configuration,
    Key,
    WithdrawnKey,
)
from geraniumshelf_core.errors import (
    ConfigurationError,
    OperatorError,
    ResultCode,
)


def add_key(configuration: Configuration, key: Key) -> Configuration:
    """Add a key.

    Raises:
        OperatorError: ``NOT_FOUND`` for an unknown client account.
        ConfigurationError: ``DUPLICATE_NAME`` for a label or key in use, or
            a withdrawn key.
    """
    _find_account(configuration, key.account)
    labels = {known.label for known in configuration.keys}
    digests = {known.digest for known in configuration.keys}
    digests.update(known.digest for known in configuration.withdrawn)
    if key.label in labels or key.digest in digests:
        raise ConfigurationError(
            ResultCode.DUPLICATE_NAME,
            f'keys[{key.label}]: the label or the key is already in use, or '
            'the key was withdrawn',
        )
    return evolve(configuration, keys=(*configuration.keys, key))


def withdraw_key(configuration: Configuration, label: str) -> Configuration:
    """Withdraw a key permanently; repeating this changes nothing.

    Raises:
        OperatorError: ``NOT_FOUND`` if no key in force or withdrawn has the
            label.
    """
    found = [key for key in configuration.keys if key.label == label]
    known = {key.label for key in configuration.withdrawn}
    if not found and label not in known:
        raise OperatorError(
            ResultCode.NOT_FOUND, f'no key has the label {label}'
        )
    withdrawn = [WithdrawnKey(key.digest, key.label) for key in found]
    return evolve(
        configuration,
        keys=tuple(key for key in configuration.keys if key.label != label),
        withdrawn=(*configuration.withdrawn, *withdrawn),
    )


def set_drain(
    configuration: Configuration, name: str, *, undo: bool
) -> Configuration:
    """Start or end the drain of a region or zone.

    Raises:
        OperatorError: ``NOT_FOUND`` if no region or zone has the name.
    """
    drainable_names = {region.name for region in configuration.regions}
    drainable_names.update(zone.name for zone in configuration.zones)
    if name not in drainable_names:
        raise OperatorError(
            ResultCode.NOT_FOUND, f'no region or zone is named {name}'
        )
    others = [known for known in configuration.drained if known != name]
    added = [] if undo else [name]
    return evolve(configuration, drained=tuple(sorted(others + added)))


def raise_limit(
    configuration: Configuration,
    name: str,
    rate_per_s: int | None,
    burst: int | None,
) -> Configuration:
    """Raise the rate, the burst or both of a client account.

    Raises:
        OperatorError: ``NOT_FOUND`` for an unknown client account.
        ConfigurationError: ``LIMIT_LOWERED`` for a lower value.
    """
    account = _find_account(configuration, name)
    raised = _with_limits(account, rate_per_s, burst)
    if raised.rate_per_s < account.rate_per_s or raised.burst < account.burst:
        raise ConfigurationError(
            ResultCode.LIMIT_LOWERED,
            f'accounts[{name}]: found {_format_limits(raised)}; allowed: at '
            f'least {_format_limits(account)}, the limits in force; use '
            '`limit lower` to lower a limit',
        )
    lowered = tuple(known for known in configuration.lowered if known != name)
    return evolve(_replace_account(configuration, raised), lowered=lowered)


def lower_limit(
    configuration: Configuration, lowered: ClientAccount, current: ClientAccount
) -> Configuration:
    """Lower the limits of a client account.

    Args:
        configuration: The configuration in force.
        lowered: The account with its new limits.
        current: The account with the limits that the operator believes to
            be in force.

    Raises:
        OperatorError: ``NOT_FOUND`` for an unknown client account,
            ``APPLY_CONFLICT`` if other limits are in force.
        ConfigurationError: ``OUT_OF_RANGE`` for a value that is not lower.
    """
    account = _find_account(configuration, lowered.name)
    if _format_limits(account) != _format_limits(current):
        raise OperatorError(
            ResultCode.APPLY_CONFLICT,
            f'accounts[{account.name}]: {_format_limits(current)} was given as '
            f'current, but {_format_limits(account)} is in force',
        )
    is_rate_higher = lowered.rate_per_s > account.rate_per_s
    if is_rate_higher or lowered.burst > account.burst or lowered == current:
        raise ConfigurationError(
            ResultCode.OUT_OF_RANGE,
            f'accounts[{account.name}]: found {_format_limits(lowered)}; '
            f'allowed: below {_format_limits(account)}, the limits in force',
        )
    replacement = _with_limits(account, lowered.rate_per_s, lowered.burst)
    names = {*configuration.lowered, account.name}
    return evolve(
        _replace_account(configuration, replacement),
        lowered=tuple(sorted(names)),
    )


def resolve_limits(
    configuration: Configuration,
    name: str,
    rate_per_s: int | None,
    burst: int | None,
) -> ClientAccount:
    """Return an account with new limits; ``None`` keeps the limit in force."""
    return _with_limits(_find_account(configuration, name), rate_per_s, burst)


def _find_account(configuration: Configuration, name: str) -> ClientAccount:
    for account in configuration.accounts:
        if account.name == name:
            return account
    raise OperatorError(
        ResultCode.NOT_FOUND, f'no client account is named {name}'
    )


def _with_limits(
    account: ClientAccount, rate_per_s: int | None, burst: int | None
) -> ClientAccount:
    return evolve(
        account,
        rate_per_s=account.rate_per_s if rate_per_s is None else rate_per_s,
        burst=account.burst if burst is None else burst,
    )


def _replace_account(
    configuration: Configuration, replacement: ClientAccount
) -> Configuration:
    accounts = tuple(
        replacement if account.name == replacement.name else account
        for account in configuration.accounts
    )
    return evolve(configuration, accounts=accounts)


def _format_limits(account: ClientAccount) -> str:
    return f'rate {account.rate_per_s}/s burst {account.burst}'
