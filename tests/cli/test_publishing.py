"""Guards applies against races and lost answers."""

import asyncio
from functools import partial

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from tests.cli.memory_platform import MemoryPlatform

from geraniumshelf_cli.publishing import Publisher, PublishResult
from geraniumshelf_core.configuration.edits import add_key, withdraw_key
from geraniumshelf_core.configuration.model import (
    ClientAccount,
    Configuration,
    Key,
)
from geraniumshelf_core.errors import OperatorError, ResultCode

_BASE = Configuration('trial', accounts=(ClientAccount('a', 1, 1),))


@pytest.fixture
def platform() -> MemoryPlatform:
    """Return an empty platform."""
    return MemoryPlatform()


def _key(number: int) -> Key:
    return Key(f'{number:064x}', 'a', f'k{number}')


async def _start(platform: MemoryPlatform) -> Publisher:
    publisher = Publisher(platform, max_attempts=4, retry_delay_s=0)
    await publisher.apply(await publisher.read(), _BASE)
    return publisher


async def _apply(publisher: Publisher, number: int) -> PublishResult:
    stored = await publisher.read()
    assert stored.configuration is not None
    wanted = evolve(stored.configuration, keys=(_key(number),))
    return await publisher.apply(stored, wanted)


async def _labels(publisher: Publisher) -> set[str]:
    stored = await publisher.read()
    assert stored.configuration is not None
    return {key.label for key in stored.configuration.keys}


@pytest.mark.parametrize(
    'faults', [['lost'], ['dropped'], ['dropped', 'lost'], ['dropped'] * 3]
)
def test_lost_answer_is_settled(
    platform: MemoryPlatform, faults: list[str]
) -> None:
    """An apply that took effect must not be reported as failed."""

    async def scenario() -> None:
        publisher = await _start(platform)
        platform.faults = faults
        published = await _apply(publisher, 1)
        assert published.revision == 2
        assert await _labels(publisher) == {'k1'}

    asyncio.run(scenario())


def test_lost_answer_is_settled_after_later_heads(
    platform: MemoryPlatform,
) -> None:
    """A later head must not hide that the apply took effect."""

    async def scenario() -> None:
        publisher = await _start(platform)
        platform.faults = ['lost']
        platform.after_lost = partial(_add, publisher, 2)
        published = await _apply(publisher, 1)
        assert published.revision == 2
        assert (await publisher.read()).head.revision == 3

    asyncio.run(scenario())


@pytest.mark.parametrize('content', [None, b'damaged'])
def test_stale_or_damaged_answer_is_no_lost_race(
    platform: MemoryPlatform, content: bytes | None
) -> None:
    """An old head must not make an apply in force look like a lost race."""

    async def scenario() -> None:
        publisher = await _start(platform)
        old = platform.objects['config/head']
        await _add(publisher, 2)

        async def answer_stale() -> None:
            platform.stale = [evolve(old, content=content or old.content)]

        platform.faults = ['lost']
        platform.after_lost = answer_stale
        assert (await _apply(publisher, 1)).revision == 3

    asyncio.run(scenario())


def test_lost_race_is_a_conflict_with_differences(
    platform: MemoryPlatform,
) -> None:
    """A conflict that looked like success would lose the edit."""

    async def scenario() -> None:
        publisher = await _start(platform)
        platform.before_head = partial(_add, publisher, 2)
        with pytest.raises(OperatorError) as caught:
            await _apply(publisher, 1)
        assert caught.value.code is ResultCode.APPLY_CONFLICT
        assert 'added keys[k2]' in caught.value.detail
        assert await _labels(publisher) == {'k2'}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'faults', [['unreadable'], ['dropped'] * 4], ids=['unreadable', 'dropped']
)
def test_unknown_outcome_is_reported(
    platform: MemoryPlatform, faults: list[str]
) -> None:
    """A guess would be wrong in one of the two cases."""

    async def scenario() -> None:
        publisher = await _start(platform)
        platform.faults = faults
        with pytest.raises(OperatorError) as caught:
            await _apply(publisher, 1)
        assert caught.value.code is ResultCode.APPLY_UNKNOWN

    asyncio.run(scenario())


@given(st.lists(st.sampled_from(['', 'lost', 'dropped']), max_size=8))
def test_edits_race_without_loss(faults: list[str]) -> None:
    """Each edit must be in force once, whatever happens to the others."""

    async def scenario() -> None:
        platform = MemoryPlatform()
        publisher = await _start(platform)
        publisher = evolve(publisher, max_attempts=10)
        platform.faults = list(faults)
        platform.before_head = partial(_add, publisher, 9)
        await asyncio.gather(*(_add(publisher, n) for n in range(4)))
        assert await _labels(publisher) == {'k0', 'k1', 'k2', 'k3', 'k9'}
        assert (await publisher.read()).head.revision == 6

    asyncio.run(scenario())


def test_old_parts_are_deleted_and_used_ones_kept(
    platform: MemoryPlatform,
) -> None:
    """Parts would fill the store, or a configuration lose its parts."""

    async def scenario() -> None:
        publisher = await _start(platform)
        for number in range(20):
            await _add(publisher, number)
            await publisher.edit(partial(withdraw_key, label=f'k{number}'))
        head = (await publisher.read()).head
        known = {*head.digests, *(part.digest for part in head.retired)}
        stored = {n.rpartition('/')[2] for n in platform.objects}
        assert stored == known | {'head'}

    asyncio.run(scenario())


def test_parts_are_written_again_after_the_head(
    platform: MemoryPlatform,
) -> None:
    """A clean-up of another operator may delete a part that is in use again."""

    async def scenario() -> None:
        publisher = await _start(platform)
        before = set(platform.objects)
        platform.part_faults = frozenset((platform.part_writes + 2,))
        published = await _apply(publisher, 1)
        assert published.is_cleaned
        (added,) = platform.objects.keys() - before
        head = platform.objects['config/head']
        assert platform.objects[added].version > head.version

    asyncio.run(scenario())


async def _add(publisher: Publisher, number: int) -> None:
    await publisher.edit(partial(add_key, key=_key(number)))
