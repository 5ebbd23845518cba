"""Deployments derived from the Association's example."""

import re
from hashlib import sha256
from pathlib import Path
from typing import Final

from geraniumshelf_standins.fleet.deployment import (
    Deployment,
    copy_deployment,
)

_EXAMPLE: Final = Path(__file__).parents[2] / 'examples' / 'association'
_EXAMPLE_NETWORK: Final = 20
BLOCKS_PER_REGION: Final = 40

_REGIONS: Final = ('addis', 'gondar', 'hawassa')
_ACCOUNTS: Final = re.compile(
    r'(?:# trial-[a-z-]+\n)?\[\[(?:accounts|keys)\]\]\n(?:[a-z_]+ = .*\n)+'
)


def write_trial_deployment(
    folder: Path,
    network: int,
    *,
    slots: tuple[int, int] = (2, 1),
    accounts: int | None = None,
    shift_cap: tuple[int, int] | None = None,
    extra_servers: int = 0,
) -> Deployment:
    """Write a variant of the Association's example and return it.

    Args:
        folder: Folder for the files.
        network: Second octet of the loopback addresses, ``127.N.x.y``.
        slots: Number of slots of the two zones of each region.
        accounts: Number of client accounts that replace those of the example;
            ``None`` keeps the accounts of the example.
        shift_cap: Share in parts per million and step in seconds of all shift
            caps; ``None`` keeps the caps of the example.
        extra_servers: Number of additional backend servers of stock-desk in
            addis-a.
    """
    source = folder / 'source'
    (source / 'overlays').mkdir(parents=True, exist_ok=True)
    base = (_EXAMPLE / 'base.toml').read_text(encoding='utf-8')
    if accounts is not None:
        base = _ACCOUNTS.sub('', base) + _account_tables(accounts)
    if shift_cap is not None:
        base = base.replace(
            'share_ppm = 200000, step_s = 10',
            f'share_ppm = {shift_cap[0]}, step_s = {shift_cap[1]}',
        )
    (source / 'base.toml').write_text(base, encoding='utf-8')
    for overlay in (_EXAMPLE / 'overlays').glob('*.toml'):
        text = overlay.read_text(encoding='utf-8')
        text = text.replace('slots = 2\n', f'slots = {slots[0]}\n', 1)
        text = text.replace('slots = 1\n', f'slots = {slots[1]}\n', 1)
        if overlay.stem == 'addis':
            text += _server_tables(extra_servers)
        text += _block_tables(overlay.stem)
        target = source / 'overlays' / overlay.name
        target.write_text(text, encoding='utf-8')
    return copy_deployment(source, _EXAMPLE_NETWORK, folder / 'placed', network)


def _account_tables(count: int) -> str:
    tables = []
    for number in range(count):
        digest = sha256(f'trial-account-{number}'.encode()).hexdigest()
        tables.append(
            f'\n[[accounts]]\nname = "account-{number}"\n'
            f'rate_per_s = 100\nburst = 100\ncut_off = "refuse"\n'
            f'\n[[keys]]\nlabel = "account-{number}-trial"\n'
            f'account = "account-{number}"\ndigest = "{digest}"\n'
        )
    return ''.join(tables)


def _server_tables(count: int) -> str:
    return ''.join(
        f'\n[[servers]]\nname = "stock-desk-addis-a-{number}"\n'
        f'service = "stock-desk"\nzone = "addis-a"\n'
        f'address = "127.{_EXAMPLE_NETWORK}.1.{10 + number}:18080"\n'
        f'slots = 7\nconnections = 165\n'
        for number in range(1, count + 1)
    )


def _block_tables(region: str) -> str:
    """Return the TOML tables of the client blocks of a region.

    The blocks have gaps between them, so that each has its own point in the
    look-up table even if adjacent blocks of a region share one.
    """
    second = 41 + _REGIONS.index(region)
    return ''.join(
        f'\n[[blocks]]\nnetwork = "127.{second}.{2 * number}.0/24"\n'
        f'region = "{region}"\n'
        for number in range(BLOCKS_PER_REGION)
    )


def client_addresses(region: str) -> tuple[str, ...]:
    """Return one address in each client block of a region."""
    second = 41 + _REGIONS.index(region)
    return tuple(
        f'127.{second}.{2 * number}.7' for number in range(BLOCKS_PER_REGION)
    )
