"""Reading and writing the stored objects that hold slot claims."""

from typing import Final

import cbor2
from attrs import asdict

from geraniumshelf_core.allowance.claims import Claim
from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_daemon.platform.interface import Platform, StoredObject

CLAIM_PREFIX: Final = 'slots/'


def object_name(slot: str) -> str:
    """Return the name of the stored object of a slot, ``zone/number``."""
    return f'{CLAIM_PREFIX}{slot}'


def decode_claim(stored: StoredObject | None) -> Claim | None:
    """Return the stored claim, ``None`` if the content is not a claim."""
    if stored is None or stored.content is None:
        return None
    try:
        return Claim(**cbor2.loads(stored.content))
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return None


async def read_claim(platform: Platform, slot: str) -> StoredObject | None:
    """Return the stored object of a slot, ``None`` if there is none.

    Raises:
        PlatformError: The platform could not be read.
    """
    try:
        return await platform.get(object_name(slot))
    except PlatformError as error:
        if error.code is ResultCode.OBJECT_MISSING:
            return None
        raise


async def write_claim(
    platform: Platform, slot: str, claim: Claim, expected_version: int
) -> int | None:
    """Write a claim; if the response is lost, read the claim back.

    Args:
        platform: The platform.
        slot: Name of the slot, ``zone/number``.
        claim: The claim to write.
        expected_version: Version that the claim replaces, 0 for none.

    Returns:
        The new version, ``None`` if another write came first.

    Raises:
        PlatformError: If neither the write nor the read got a response; whether
            the claim was written is not known.
    """
    try:
        return await platform.put(
            object_name(slot), cbor2.dumps(asdict(claim)), expected_version
        )
    except PlatformError as error:
        if error.code is ResultCode.VERSION_CONFLICT:
            return None
        stored = await read_claim(platform, slot)
    if stored is not None and decode_claim(stored) == claim:
        return stored.version
    return None
