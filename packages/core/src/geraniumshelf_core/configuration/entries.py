"""Readers of the entries of configuration files, one for each kind."""

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

_PREFIX_PATTERN = re.compile('/[A-Za-z0-9._~/-]{0,200}', re.ASCII)
_DIGEST_PATTERN = re.compile('[0-9a-f]{64}', re.ASCII)
_ADDRESS_PATTERN = re.compile(r'([0-9.]+):([1-9]\d{0,4})', re.ASCII)
_METHODS: Final = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
_MAX_PORT: Final = 65_535
_COUNT_BOUNDS: Final = (1, 1_000_000)
# Larger rates and bursts, counted in micro-tokens, would overflow 64-bit
# counters.
_LIMIT_BOUNDS: Final = (1, 10_000_000)
_SHARE_BOUNDS_PPM: Final = (0, PARTS_PER_MILLION)
_DURATION_BOUNDS_S: Final = (1, 3600)
_ZONE_SLOT_BOUNDS: Final = (0, 10_000)
_DEFAULT_PROGRESS_TIMEOUT_MS: Final = 5000
_PROGRESS_TIMEOUT_BOUNDS_MS: Final = (1, 600_000)


@frozen
class EntryKind:
    """A kind of configuration entry.

    Attributes:
        identity: Keys whose values together identify an entry.
        read: Reads an entry from its table.
    """

    identity: tuple[str, ...]
    read: Callable[[Table], Any]


def _read_service(table: Table) -> Service:
    table.allow_only(
        'name',
        'routes',
        'shift_cap',
        'lookup_ttl_s',
        'link_weight',
        'progress_timeout_ms',
    )
    routes = tuple(_read_route(route) for route in table.tables('routes'))
    if not routes:
        raise table.out_of_range('routes', 'at least one route')
    return Service(
        table.name('name'),
        routes,
        _read_shift_cap(table.table('shift_cap')),
        table.integer('lookup_ttl_s', _DURATION_BOUNDS_S, 5),
        table.integer('link_weight', _COUNT_BOUNDS, 1),
        table.integer(
            'progress_timeout_ms',
            _PROGRESS_TIMEOUT_BOUNDS_MS,
            _DEFAULT_PROGRESS_TIMEOUT_MS,
        ),
    )


def _read_route(table: Table) -> Route:
    table.allow_only('prefix', 'methods', 'open', 'idempotent', 'may_wait')
    allowed = ', '.join(_METHODS)
    methods = table.texts('methods', allowed)
    if not set(methods) <= set(_METHODS):
        raise table.out_of_range('methods', allowed)
    return Route(
        table.text(
            'prefix', _PREFIX_PATTERN, 'a path that begins with a slash'
        ),
        tuple(sorted(set(methods))),
        table.flag('open', default=False),
        table.flag('idempotent', default=True),
        table.flag('may_wait', default=False),
    )


def _read_shift_cap(table: Table) -> ShiftCap:
    table.allow_only('share_ppm', 'step_s')
    return ShiftCap(
        table.integer('share_ppm', (1, PARTS_PER_MILLION)),
        table.integer('step_s', _DURATION_BOUNDS_S),
    )


def _read_region(table: Table) -> Region:
    table.allow_only('name')
    return Region(table.name('name'))


def _read_zone(table: Table) -> Zone:
    table.allow_only('name', 'region', 'slots')
    return Zone(
        table.name('name'),
        table.name('region'),
        table.integer('slots', _ZONE_SLOT_BOUNDS),
    )


def _read_server(table: Table) -> BackendServer:
    table.allow_only(
        'name', 'service', 'zone', 'address', 'slots', 'connections'
    )
    return BackendServer(
        table.name('name'),
        table.name('service'),
        table.name('zone'),
        _read_address(table),
        table.integer('slots', _COUNT_BOUNDS),
        table.integer('connections', _COUNT_BOUNDS),
    )


def _read_address(table: Table) -> str:
    rule = 'an IPv4 address and a port, 10.0.0.1:8080'
    address = table.text('address', _ADDRESS_PATTERN, rule)
    host, _, port = address.partition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise table.out_of_range('address', rule) from error
    if int(port) > _MAX_PORT:
        raise table.out_of_range('address', rule)
    return address


def _read_link(table: Table) -> Link:
    table.allow_only('between', 'mbit_per_s', 'one_way_ms')
    regions = sorted(table.texts('between', 'two regions'))
    if len(regions) != 2 or regions[0] == regions[1]:
        raise table.out_of_range('between', 'two different regions')
    return Link(
        (regions[0], regions[1]),
        table.integer('mbit_per_s', _COUNT_BOUNDS),
        table.integer('one_way_ms', (0, 10_000)),
    )


def _read_account(table: Table) -> ClientAccount:
    table.allow_only('name', 'rate_per_s', 'burst', 'cut_off')
    return ClientAccount(
        table.name('name'),
        table.integer('rate_per_s', _LIMIT_BOUNDS),
        table.integer('burst', _LIMIT_BOUNDS),
        table.choice('cut_off', CutOffPolicy.REFUSE),
    )


def _read_key(table: Table) -> Key:
    table.allow_only('digest', 'account', 'label')
    return Key(
        table.text(
            'digest', _DIGEST_PATTERN, 'a SHA-256 digest in hexadecimal'
        ),
        table.name('account'),
        table.name('label'),
    )


def _read_weight(table: Table) -> TrafficWeight:
    table.allow_only(
        'service', 'source', 'destination', 'share_ppm', 'failover_ppm'
    )
    return TrafficWeight(
        table.name('service'),
        table.name('source'),
        table.name('destination'),
        table.integer('share_ppm', _SHARE_BOUNDS_PPM),
        table.integer('failover_ppm', _SHARE_BOUNDS_PPM, 0),
    )


def _read_block(table: Table) -> ClientBlock:
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
    'services': EntryKind(('name',), _read_service),
    'regions': EntryKind(('name',), _read_region),
    'zones': EntryKind(('name',), _read_zone),
    'servers': EntryKind(('name',), _read_server),
    'links': EntryKind(('between',), _read_link),
    'accounts': EntryKind(('name',), _read_account),
    'keys': EntryKind(('label',), _read_key),
    'weights': EntryKind(('service', 'source', 'destination'), _read_weight),
    'blocks': EntryKind(('network',), _read_block),
}
