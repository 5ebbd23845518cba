"""The objects of the platform that hold the claims of slots."""

from typing import Final

import cbor2
from attrs import asdict

from geraniumshelf_core.allowance.claims import Claim
from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_daemon.platform.interface import Platform, StoredObject

PREFIX: Final = 'slots/'


def object_name(slot: str) -> str:
    """Return the name of the object for ``zone/number``."""
    return f'{PREFIX}{slot}'


def decode_claim(stored: StoredObject | None) -> Claim | None:
    """Return the claim, or ``None`` for content that is not one."""
    if stored is None or stored.content is None:
        return None
    try:
        return Claim(**cbor2.loads(stored.content))
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return None


async def read_claim(platform: Platform, slot: str) -> StoredObject | None:
    """Return the object of a slot, ``None`` if there is none.

    Raises:
        PlatformError: The platform failed.
    """
    try:
        return await platform.get(object_name(slot))
    except PlatformError as error:
        if error.code is ResultCode.OBJECT_MISSING:
            return None
        raise


async def write_claim(
    platform: Platform, slot: str, claim: Claim, expected: int
) -> int | None:
    """Write a claim; settles a lost answer by reading back.

    Args:
        platform: The platform.
        slot: ``zone/number``.
        claim: The claim.
        expected: Version that it replaces, 0 for none.

    Returns:
        The version; ``None`` if another write came first.

    Raises:
        PlatformError: Whether it was written is not known.
    """
    try:
        return await platform.put(
            object_name(slot), cbor2.dumps(asdict(claim)), expected
        )
    except PlatformError as error:
        if error.code is ResultCode.VERSION_CONFLICT:
            return None
        stored = await read_claim(platform, slot)
    if stored is not None and decode_claim(stored) == claim:
        return stored.version
    return None
