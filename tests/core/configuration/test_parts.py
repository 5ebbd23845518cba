"""Tests of the encoding of a configuration as parts, and of its head."""

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.configuration.head import (
    Head,
    decode_head,
    encode_head,
    expired_parts,
    next_head,
)
from geraniumshelf_core.configuration.identity import sort_entries
from geraniumshelf_core.configuration.model import (
    ClientAccount,
    ClientBlock,
    Configuration,
    CutOffPolicy,
    Key,
    Link,
    Route,
    Service,
    ShiftCap,
    WithdrawnKey,
)
from geraniumshelf_core.configuration.parts import (
    MAX_PART_BYTES,
    join_parts,
    split_parts,
)
from geraniumshelf_core.errors import ConfigurationError, ResultCode

_SMALL = Configuration(
    'trial',
    (Service('s', (Route('/', ('GET',)),), ShiftCap(1, 2)),),
    links=(Link(('a', 'b'), 1, 2),),
    accounts=(ClientAccount('a', 1, 2, CutOffPolicy.SERVE),),
    keys=(Key('0' * 64, 'a', 'first'),),
    withdrawn=(WithdrawnKey('1' * 64, 'old'),),
    drained=('x',),
)


@given(st.dictionaries(st.text(max_size=9), st.integers(1), max_size=30))
def test_configuration_survives_parts(limits: dict[str, int]) -> None:
    """A lost or altered entry would change what daemons enforce."""
    accounts = tuple(ClientAccount(n, r, 1) for n, r in limits.items())
    original = evolve(_SMALL, accounts=accounts)
    parts = split_parts(original)
    assert join_parts(reversed(parts), parts) == sort_entries(original)


def test_large_collections_stay_below_the_limit() -> None:
    """A part above the limit could not be stored or sent."""
    blocks = tuple(
        ClientBlock(f'10.{n // 256}.{n % 256}.0/24', 'region' * 8)
        for n in range(20_000)
    )
    original = evolve(_SMALL, blocks=blocks)
    parts = split_parts(original)
    assert max(len(part) for part in parts.values()) < MAX_PART_BYTES
    assert join_parts(parts, parts) == sort_entries(original)


def test_one_key_touches_one_small_part() -> None:
    """A new key must reach thousands of daemons within seconds.

    It must therefore change only one small part.
    """
    keys = tuple(Key(f'{n:064x}', 'a', f'k{n}') for n in range(5000))
    before = split_parts(evolve(_SMALL, keys=keys[:-1]))
    after = split_parts(evolve(_SMALL, keys=keys))
    changed = [part for digest, part in after.items() if digest not in before]
    assert len(changed) == 1
    assert len(changed[0]) < 16_384


@pytest.mark.parametrize('damage', [None, b'', b'\x83'])
def test_damaged_part_is_refused(damage: bytes | None) -> None:
    """A daemon must not enforce an incomplete configuration."""
    parts = dict(split_parts(_SMALL))
    for digest in list(parts):
        damaged = {**parts, digest: damage}
        if damage is None:
            damaged.pop(digest)
        with pytest.raises(ConfigurationError) as caught:
            join_parts(parts, damaged)  # type: ignore[arg-type]
        assert caught.value.code is ResultCode.DAMAGED_PART


def test_head_keeps_parts_of_sixteen_heads() -> None:
    """A daemon that reads an older head must still find its parts."""
    digests = [f'{number:064x}' for number in range(40)]
    head = Head()
    for revision, digest in enumerate(digests, 1):
        following = next_head(head, [digest], f'apply-{revision}')
        expired = expired_parts(head, following)
        assert decode_head(encode_head(following)) == following
        # The current head and the sixteen before it keep their parts.
        assert expired == tuple(digests[:revision][-18:-17])
        head = following


@given(st.binary(max_size=64))
def test_random_head_is_refused_or_decoded(encoded: bytes) -> None:
    """Any other exception would end the watch without a result code."""
    try:
        decode_head(encoded)
    except ConfigurationError as error:
        assert error.code is ResultCode.DAMAGED_PART
