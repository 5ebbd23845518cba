"""Small deployment for tests on a separate loopback network."""

import os
import socket
from collections.abc import Iterator
from pathlib import Path

from geraniumshelf_core.keys.digests import digest_key
from geraniumshelf_standins.fleet.deployment import Deployment, copy_deployment

_TEMPLATE_NETWORK = 30
_FIRST_NETWORK = 64
_NETWORK_COUNT = 128
_RESERVATION_PORT = 18099

# (region, availability zone, slots for entry instances)
ZONES = (
    ('north', 'north-a', 2),
    ('north', 'north-b', 1),
    ('south', 'south-a', 1),
    ('south', 'south-b', 1),
)
DAEMONS = ('north-a-0', 'north-a-1', 'north-b-0', 'south-a-0', 'south-b-0')
# (service, methods of its route, whether they are idempotent)
SERVICES = (
    ('stock', '"GET", "HEAD"', 'true'),
    ('sale', '"POST"', 'false'),
    ('photo', '"PUT"', 'true'),
)
RATE_PER_S = 20
BURST = 40
# (account, rate per second, burst, rule for zones that lost the platform)
ACCOUNTS = (
    ('steady', 2000, 4000, 'serve'),
    ('wary', 2000, 4000, 'refuse'),
    ('limited', RATE_PER_S, BURST, 'serve'),
)
SHIFT_CAP_PPM = 200_000
SHIFT_STEP_S = 5
CLIENT_BLOCKS = 250
# Second byte N of the client addresses 127.N.x.y in regions north and south.
CLIENT_NETWORKS = (200, 201)


def build_key(account: str) -> str:
    """Return the key of a client account of the test deployment."""
    return f'test-key-of-{account}'


def reserve_network() -> tuple[int, socket.socket]:
    """Return a free loopback network and the socket that reserves it.

    Concurrent test runs start at different networks by their process id. The
    bound socket prevents that two runs use the same one.

    Raises:
        OSError: If all networks are in use.
    """
    for offset in range(_NETWORK_COUNT):
        network = _FIRST_NETWORK + (os.getpid() + offset) % _NETWORK_COUNT
        reservation = socket.socket()
        try:
            reservation.bind((f'127.{network}.0.2', _RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        return network, reservation
    raise OSError(
        f'all {_NETWORK_COUNT} loopback networks from'
        f' 127.{_FIRST_NETWORK}.0.0/16 are in use'
    )


def build_deployment(folder: Path, network: int, slots: int) -> Deployment:
    """Write the configuration files of the deployment.

    Args:
        folder: Folder for the files.
        network: Second byte N of the loopback addresses ``127.N.x.y``.
        slots: Number of slots of each backend server.
    """
    source = folder / 'template'
    overlays = source / 'overlays'
    overlays.mkdir(parents=True)
    base = '\n'.join(_build_base())
    (source / 'base.toml').write_text(base, encoding='utf-8')
    for number, region in enumerate(('north', 'south')):
        text = '\n'.join(_build_overlay(region, number, slots))
        (overlays / f'{region}.toml').write_text(text, encoding='utf-8')
    return copy_deployment(source, _TEMPLATE_NETWORK, folder / 'files', network)


def _build_base() -> Iterator[str]:
    yield 'deployment = "process-tests"'
    for name, methods, idempotent in SERVICES:
        yield f'[[services]]\nname = "{name}"\nlookup_ttl_s = 1'
        yield 'progress_timeout_ms = 1500'
        yield (
            f'shift_cap = {{ share_ppm = {SHIFT_CAP_PPM},'
            f' step_s = {SHIFT_STEP_S} }}'
        )
        yield f'[[services.routes]]\nprefix = "/"\nmethods = [{methods}]'
        yield f'idempotent = {idempotent}'
    yield '[[regions]]\nname = "north"\n[[regions]]\nname = "south"'
    yield '[[links]]\nbetween = ["north", "south"]'
    yield 'mbit_per_s = 1000\none_way_ms = 1'
    for service, _, _ in SERVICES:
        yield from _build_weights(service)
    for name, rate, burst, cut_off in ACCOUNTS:
        yield f'[[accounts]]\nname = "{name}"\nrate_per_s = {rate}'
        yield f'burst = {burst}\ncut_off = "{cut_off}"'
        yield f'[[keys]]\nlabel = "{name}-test"\naccount = "{name}"'
        yield f'digest = "{digest_key(build_key(name))}"'


def _build_weights(service: str) -> Iterator[str]:
    for source in ('north', 'south'):
        for destination in ('north', 'south'):
            share = 1_000_000 if source == destination else 0
            failover = 0 if source == destination else 200_000
            yield f'[[weights]]\nservice = "{service}"\nsource = "{source}"'
            yield f'destination = "{destination}"\nshare_ppm = {share}'
            yield f'failover_ppm = {failover}'


def _build_overlay(region: str, number: int, slots: int) -> Iterator[str]:
    yield f'site = "{region}"'
    for index, (zone_region, zone, slot_count) in enumerate(ZONES, start=1):
        if zone_region != region:
            continue
        yield f'[[zones]]\nname = "{zone}"\nregion = "{region}"'
        yield f'slots = {slot_count}'
        for server_number, (service, _, _) in enumerate(SERVICES, start=1):
            yield f'[[servers]]\nname = "{service}-{zone}"'
            yield f'service = "{service}"\nzone = "{zone}"'
            address = f'127.{_TEMPLATE_NETWORK}.{index}.{server_number}:18080'
            yield f'address = "{address}"\nslots = {slots}\nconnections = 200'
    for block in range(CLIENT_BLOCKS):
        network = f'127.{CLIENT_NETWORKS[number]}.{block}.0/24'
        yield f'[[blocks]]\nnetwork = "{network}"'
        yield f'region = "{region}"'
