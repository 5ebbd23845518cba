"""Settings of the daemon: flags and environment variables, checked."""

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
    'statsd-address': 'IP:PORT of a statsd server; none: no metrics',
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
        """Return the usual ``host:port`` form."""
        return f'{self.host}:{self.port}'


@frozen
class Settings:
    """Checked settings of one daemon.

    Attributes:
        instance: Name, unique in the fleet.
        zone: Availability zone.
        region: Region of the zone.
        caller_address: Where callers reach the daemon.
        peer_address: Where it listens for other daemons.
        advertised_peer_address: Where other daemons reach it.
        operator_address: Where operators reach it.
        platform_url: Base URL of the platform's object API.
        seed_peers: Peer addresses tried while the platform is down.
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
    """Return checked settings; a flag goes before its variable.

    Raises:
        OperatorError: ``SETTING_INVALID`` names the flag, its variable, the
            value found and what is allowed.
    """
    raw = _Raw(_parser().parse_args(arguments), environment)
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
    """Return the address of ``IP:PORT``.

    >>> parse_address('127.0.0.1:80')
    Address(host='127.0.0.1', port=80)

    Raises:
        ValueError: If the text has another form.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal():
        raise ValueError(text)
    ip_address(host)
    if int(port) > _MAX_PORT:
        raise ValueError(text)
    return Address(host, int(port))


class _Raw:
    """Unchecked settings, by flag name."""

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
            raise _invalid(flag, '', 'a value; it has no default')
        return str(found)

    def name(self, flag: str) -> str:
        found = self.text(flag)
        if not found.replace('-', '').isalnum():
            raise _invalid(flag, found, 'letters, digits and hyphens')
        return found

    def address(self, flag: str) -> Address:
        return _checked_address(flag, self.text(flag))

    def addresses(self, flag: str) -> tuple[Address, ...]:
        parts = self.text(flag).split(',')
        return tuple(_checked_address(flag, part) for part in parts if part)

    def optional_address(self, flag: str) -> Address | None:
        found = self.text(flag)
        return _checked_address(flag, found) if found else None

    def url(self, flag: str) -> str:
        found = self.text(flag)
        parts = urlsplit(found)
        if parts.scheme not in {'http', 'https'} or not parts.netloc:
            raise _invalid(flag, found, 'an http or https URL')
        return found.rstrip('/')

    def choice(self, flag: str, allowed: tuple[str, ...]) -> str:
        found = self.text(flag)
        if found not in allowed:
            raise _invalid(flag, found, ' or '.join(allowed))
        return found


def _checked_address(flag: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise _invalid(flag, text, 'IP:PORT with a numeric IP') from error


def _parser() -> ArgumentParser:
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


def _invalid(flag: str, found: str, allowed: str) -> OperatorError:
    return OperatorError(
        ResultCode.SETTING_INVALID,
        f'--{flag} ({_variable_name(flag)}): found {found!r}, '
        f'allowed: {allowed}',
    )
