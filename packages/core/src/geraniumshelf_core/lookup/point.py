"""Fixed point of a client block on the axis of a service's shares."""

from functools import lru_cache
from hashlib import blake2b
from typing import Final

from geraniumshelf_core.units import PARTS_PER_MILLION

_DIGEST_BYTES: Final = 12
_POINT_BYTES: Final = 8


def block_point(service: str, block: bytes) -> tuple[int, int]:
    """Return the point of a block and a number by which to rotate entries.

    The two are independent, so that the blocks of one region spread over all
    of its entries. Each service has its own salt, so that a move of one service
    does not affect the same clients as a move of another.

    Args:
        service: Service name.
        block: Bytes that identify the block.

    Returns:
        The point in parts per million, and a 32-bit number.
    """
    digest = blake2b(
        block, digest_size=_DIGEST_BYTES, salt=_salt(service)
    ).digest()
    point = int.from_bytes(digest[:_POINT_BYTES], 'big') % PARTS_PER_MILLION
    return point, int.from_bytes(digest[_POINT_BYTES:], 'big')


@lru_cache(maxsize=1024)
def _salt(service: str) -> bytes:
    return blake2b(service.encode(), digest_size=blake2b.SALT_SIZE).digest()
