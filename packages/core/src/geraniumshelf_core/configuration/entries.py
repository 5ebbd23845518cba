"""The entries of configuration files, one function for each kind."""

import ipaddress
import re
from collections.abc import Callable
from typing import Any, Final

from attrs import frozen

from geraniumshelf_core.configuration.model import (
    BackendServer,
    ClientAccount,
    ClientBlock,
    CutOffPolicy,
    Key,
    Link,
    Region,
    Route,
    Service,
    ShiftCap,
    TrafficWeight,
    Zone,
)
from geraniumshelf_core.configuration.tables import Table
from geraniumshelf_core.units import PARTS_PER_MILLION

NETWORK_PATTERN: Final = re.compile('[0-9./]{9,18}', re.ASCII)
NETWORK_RULE: Final = 'an IPv4 network without host bits, 10.1.0.0/16'

_PREFIX = re.compile('/[A-Za-z0-9._~/-]{0,200}', re.ASCII)
_DIGEST = re.compile('[0-9a-f]{64}', re.ASCII)
_ADDRESS = re.compile(r'([0-9.]+):([1-9]\d{0,4})', re.ASCII)
_METHODS: Final = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
_LARGEST_PORT: Final = 65_535
_COUNTS: Final = (1, 1_000_000)
# Micro-tokens of larger rates and bursts would leave 64-bit counters.
_RATES: Final = (1, 10_000_000)
_SHARES: Final = (0, PARTS_PER_MILLION)
_SECONDS: Final = (1, 3600)
_SLOTS: Final = (0, 10_000)
_PROGRESS_MS: Final = 5000
_MILLISECONDS: Final = (1, 600_000)


@frozen
class EntryKind:
    """A kind of entry.

    Attributes:
        identity: Keys whose values identify an entry.
        read: Reads an entry from its table.
    """

    identity: tuple[str, ...]
    read: Callable[[Table], Any]


def _service(table: Table) -> Service:
    table.allow_only(
        'name',
        'routes',
        'shift_cap',
        'lookup_ttl_s',
        'link_weight',
        'progress_timeout_ms',
    )
    routes = tuple(_route(route) for route in table.tables('routes'))
    if not routes:
        raise table.out_of_range('routes', 'at least one route')
    return Service(
        table.name('name'),
        routes,
        _shift_cap(table.table('shift_cap')),
        table.integer('lookup_ttl_s', _SECONDS, 5),
        table.integer('link_weight', _COUNTS, 1),
        table.integer('progress_timeout_ms', _MILLISECONDS, _PROGRESS_MS),
    )


def _route(table: Table) -> Route:
    table.allow_only('prefix', 'methods', 'open', 'idempotent', 'may_wait')
    allowed = ', '.join(_METHODS)
    methods = table.texts('methods', allowed)
    if not set(methods) <= set(_METHODS):
        raise table.out_of_range('methods', allowed)
    return Route(
        table.text('prefix', _PREFIX, 'a path that begins with a slash'),
        tuple(sorted(set(methods))),
        table.flag('open', default=False),
        table.flag('idempotent', default=True),
        table.flag('may_wait', default=False),
    )


def _shift_cap(table: Table) -> ShiftCap:
    table.allow_only('share_ppm', 'step_s')
    return ShiftCap(
        table.integer('share_ppm', (1, PARTS_PER_MILLION)),
        table.integer('step_s', _SECONDS),
    )


def _region(table: Table) -> Region:
    table.allow_only('name')
    return Region(table.name('name'))


def _zone(table: Table) -> Zone:
    table.allow_only('name', 'region', 'slots')
    return Zone(
        table.name('name'), table.name('region'), table.integer('slots', _SLOTS)
    )


def _server(table: Table) -> BackendServer:
    table.allow_only(
        'name', 'service', 'zone', 'address', 'slots', 'connections'
    )
    return BackendServer(
        table.name('name'),
        table.name('service'),
        table.name('zone'),
        _address(table),
        table.integer('slots', _COUNTS),
        table.integer('connections', _COUNTS),
    )


def _address(table: Table) -> str:
    rule = 'an IPv4 address and a port, 10.0.0.1:8080'
    address = table.text('address', _ADDRESS, rule)
    host, _, port = address.partition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise table.out_of_range('address', rule) from error
    if int(port) > _LARGEST_PORT:
        raise table.out_of_range('address', rule)
    return address


def _link(table: Table) -> Link:
    table.allow_only('between', 'mbit_per_s', 'one_way_ms')
    regions = sorted(table.texts('between', 'two regions'))
    if len(regions) != 2 or regions[0] == regions[1]:
        raise table.out_of_range('between', 'two different regions')
    return Link(
        (regions[0], regions[1]),
        table.integer('mbit_per_s', _COUNTS),
        table.integer('one_way_ms', (0, 10_000)),
    )


def _account(table: Table) -> ClientAccount:
    table.allow_only('name', 'rate_per_s', 'burst', 'cut_off')
    return ClientAccount(
        table.name('name'),
        table.integer('rate_per_s', _RATES),
        table.integer('burst', _RATES),
        table.choice('cut_off', CutOffPolicy.REFUSE),
    )


def _key(table: Table) -> Key:
    table.allow_only('digest', 'account', 'label')
    return Key(
        table.text('digest', _DIGEST, 'a SHA-256 digest in hexadecimal'),
        table.name('account'),
        table.name('label'),
    )


def _weight(table: Table) -> TrafficWeight:
    table.allow_only(
        'service', 'source', 'destination', 'share_ppm', 'failover_ppm'
    )
    return TrafficWeight(
        table.name('service'),
        table.name('source'),
        table.name('destination'),
        table.integer('share_ppm', _SHARES),
        table.integer('failover_ppm', _SHARES, 0),
    )


def _block(table: Table) -> ClientBlock:
    table.allow_only('network', 'region')
    network = table.text('network', NETWORK_PATTERN, NETWORK_RULE)
    try:
        parsed = ipaddress.IPv4Network(network)
    except ValueError as error:
        raise table.out_of_range('network', NETWORK_RULE) from error
    if str(parsed) != network:
        raise table.out_of_range('network', NETWORK_RULE)
    return ClientBlock(network, table.name('region'))


ENTRY_KINDS: Final = {
    'services': EntryKind(('name',), _service),
    'regions': EntryKind(('name',), _region),
    'zones': EntryKind(('name',), _zone),
    'servers': EntryKind(('name',), _server),
    'links': EntryKind(('between',), _link),
    'accounts': EntryKind(('name',), _account),
    'keys': EntryKind(('label',), _key),
    'weights': EntryKind(('service', 'source', 'destination'), _weight),
    'blocks': EntryKind(('network',), _block),
}
