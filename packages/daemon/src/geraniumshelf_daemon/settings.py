"""Settings of the daemon, read from flags and environment variables."""

from argparse import ArgumentParser, Namespace
from collections.abc import Mapping, Sequence
from ipaddress import ip_address
from typing import Final
from urllib.parse import urlsplit

from attrs import frozen

from geraniumshelf_core.errors import OperatorError, ResultCode

_MAX_PORT: Final = 65535
_ENVIRONMENT_PREFIX: Final = 'GERANIUMSHELF_'

_HELP: Final = {
    'instance': 'name of this instance, unique in the fleet',
    'zone': 'availability zone of this instance',
    'region': 'region of the availability zone',
    'caller-address': 'IP:PORT for callers',
    'peer-address': 'IP:PORT for other daemons',
    'advertised-peer-address': 'IP:PORT that peers dial; default: peer-address',
    'operator-address': 'IP:PORT for operators',
    'platform-url': "URL of the platform's object API",
    'seed-peers': 'peer addresses, comma-separated, tried at start',
    'statsd-address': 'IP:PORT of a statsd server; default: no metrics',
    'log-format': 'text or json',
}
_DEFAULTS: Final = {
    'advertised-peer-address': '',
    'seed-peers': '',
    'statsd-address': '',
    'log-format': 'text',
}


@frozen
class Address:
    """An IP address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f'{self.host}:{self.port}'


@frozen
class Settings:
    """Validated settings of one daemon.

    Attributes:
        instance: Name, unique in the fleet.
        zone: Availability zone.
        region: Region of the zone.
        caller_address: Address for callers.
        peer_address: Address on which it listens for other daemons.
        advertised_peer_address: Address that other daemons dial.
        operator_address: Address for operators.
        platform_url: Base URL of the platform's object API.
        seed_peers: Peer addresses to dial while the platform is unavailable.
        statsd_address: Destination of metrics, or ``None``.
        log_format: ``text`` or ``json``.
    """

    instance: str
    zone: str
    region: str
    caller_address: Address
    peer_address: Address
    advertised_peer_address: Address
    operator_address: Address
    platform_url: str
    seed_peers: tuple[Address, ...]
    statsd_address: Address | None
    log_format: str


def read_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> Settings:
    """Return validated settings; a flag takes precedence over its variable.

    Raises:
        OperatorError: ``SETTING_INVALID`` with the flag, its variable, the
            value found and what is allowed.
    """
    raw = _RawSettings(_build_parser().parse_args(arguments), environment)
    peer_address = raw.address('peer-address')
    advertised = raw.optional_address('advertised-peer-address')
    return Settings(
        instance=raw.name('instance'),
        zone=raw.name('zone'),
        region=raw.name('region'),
        caller_address=raw.address('caller-address'),
        peer_address=peer_address,
        advertised_peer_address=advertised or peer_address,
        operator_address=raw.address('operator-address'),
        platform_url=raw.url('platform-url'),
        seed_peers=raw.addresses('seed-peers'),
        statsd_address=raw.optional_address('statsd-address'),
        log_format=raw.choice('log-format', ('text', 'json')),
    )


def parse_address(text: str) -> Address:
    """Return the address from a text of the form ``IP:PORT``.

    >>> parse_address('127.0.0.1:80')
    Address(host='127.0.0.1', port=80)

    Raises:
        ValueError: If the text does not have this form.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal():
        raise ValueError(text)
    ip_address(host)
    if int(port) > _MAX_PORT:
        raise ValueError(text)
    return Address(host, int(port))


class _RawSettings:
    """Reads and validates single settings by their flag name."""

    def __init__(
        self, flags: Namespace, environment: Mapping[str, str]
    ) -> None:
        self._flags = flags.__dict__
        self._environment = environment

    def text(self, flag: str) -> str:
        found = self._flags[flag.replace('-', '_')]
        if found is None:
            found = self._environment.get(
                _variable_name(flag), _DEFAULTS.get(flag)
            )
        if found is None:
            raise _invalid_setting(flag, '', 'a value, there is no default')
        return str(found)

    def name(self, flag: str) -> str:
        found = self.text(flag)
        if not found.replace('-', '').isalnum():
            raise _invalid_setting(flag, found, 'letters, digits and hyphens')
        return found

    def address(self, flag: str) -> Address:
        return _read_address(flag, self.text(flag))

    def addresses(self, flag: str) -> tuple[Address, ...]:
        parts = self.text(flag).split(',')
        return tuple(_read_address(flag, part) for part in parts if part)

    def optional_address(self, flag: str) -> Address | None:
        found = self.text(flag)
        return _read_address(flag, found) if found else None

    def url(self, flag: str) -> str:
        found = self.text(flag)
        parts = urlsplit(found)
        if parts.scheme not in {'http', 'https'} or not parts.netloc:
            raise _invalid_setting(flag, found, 'an http or https URL')
        return found.rstrip('/')

    def choice(self, flag: str, allowed: tuple[str, ...]) -> str:
        found = self.text(flag)
        if found not in allowed:
            raise _invalid_setting(flag, found, ' or '.join(allowed))
        return found


def _read_address(flag: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise _invalid_setting(
            flag, text, 'IP:PORT with a numeric IP'
        ) from error


def _build_parser() -> ArgumentParser:
    parser = ArgumentParser(
        prog='geraniumshelfd',
        description='Steer requests of callers to backend servers.',
    )
    for flag, text in _HELP.items():
        parser.add_argument(
            f'--{flag}', help=f'{text} [{_variable_name(flag)}]'
        )
    return parser


def _variable_name(flag: str) -> str:
    return _ENVIRONMENT_PREFIX + flag.replace('-', '_').upper()


def _invalid_setting(flag: str, found: str, allowed: str) -> OperatorError:
    return OperatorError(
        ResultCode.SETTING_INVALID,
        f'--{flag} ({_variable_name(flag)}): found {found!r}, '
        f'allowed: {allowed}',
    )
