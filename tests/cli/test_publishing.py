"""Tests of applies and edits with concurrent changes and lost answers."""

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


async def _publish_base(platform: MemoryPlatform) -> Publisher:
    publisher = Publisher(platform, max_attempts=4, retry_delay_s=0)
    await publisher.apply(await publisher.read(), _BASE)
    return publisher


async def _apply_key(publisher: Publisher, number: int) -> PublishResult:
    stored = await publisher.read()
    assert stored.configuration is not None
    wanted = evolve(stored.configuration, keys=(_key(number),))
    return await publisher.apply(stored, wanted)


async def _read_labels(publisher: Publisher) -> set[str]:
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
        publisher = await _publish_base(platform)
        platform.faults = faults
        published = await _apply_key(publisher, 1)
        assert published.revision == 2
        assert await _read_labels(publisher) == {'k1'}

    asyncio.run(scenario())


def test_lost_answer_is_settled_after_later_heads(
    platform: MemoryPlatform,
) -> None:
    """A later head must not hide that the apply took effect."""

    async def scenario() -> None:
        publisher = await _publish_base(platform)
        platform.faults = ['lost']
        platform.after_lost_answer = partial(_add_key, publisher, 2)
        published = await _apply_key(publisher, 1)
        assert published.revision == 2
        assert (await publisher.read()).head.revision == 3

    asyncio.run(scenario())


@pytest.mark.parametrize('content', [None, b'damaged'])
def test_stale_or_damaged_answer_is_no_lost_race(
    platform: MemoryPlatform, content: bytes | None
) -> None:
    """A stale head must not make a successful apply look like a lost race."""

    async def scenario() -> None:
        publisher = await _publish_base(platform)
        old = platform.objects['config/head']
        await _add_key(publisher, 2)

        async def answer_stale() -> None:
            platform.stale_objects = [
                evolve(old, content=content or old.content)
            ]

        platform.faults = ['lost']
        platform.after_lost_answer = answer_stale
        assert (await _apply_key(publisher, 1)).revision == 3

    asyncio.run(scenario())


def test_lost_race_is_a_conflict_with_differences(
    platform: MemoryPlatform,
) -> None:
    """A conflict that is reported as success would lose the change."""

    async def scenario() -> None:
        publisher = await _publish_base(platform)
        platform.before_head_write = partial(_add_key, publisher, 2)
        with pytest.raises(OperatorError) as caught:
            await _apply_key(publisher, 1)
        assert caught.value.code is ResultCode.APPLY_CONFLICT
        assert 'added keys[k2]' in caught.value.detail
        assert await _read_labels(publisher) == {'k2'}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'faults', [['unreadable'], ['dropped'] * 4], ids=['unreadable', 'dropped']
)
def test_unknown_outcome_is_reported(
    platform: MemoryPlatform, faults: list[str]
) -> None:
    """An unknown outcome must be reported, as either guess could be wrong."""

    async def scenario() -> None:
        publisher = await _publish_base(platform)
        platform.faults = faults
        with pytest.raises(OperatorError) as caught:
            await _apply_key(publisher, 1)
        assert caught.value.code is ResultCode.APPLY_UNKNOWN

    asyncio.run(scenario())


@given(st.lists(st.sampled_from(['', 'lost', 'dropped']), max_size=8))
def test_edits_race_without_loss(faults: list[str]) -> None:
    """Each edit must take effect exactly once despite concurrent edits."""

    async def scenario() -> None:
        platform = MemoryPlatform()
        publisher = await _publish_base(platform)
        publisher = evolve(publisher, max_attempts=10)
        platform.faults = list(faults)
        platform.before_head_write = partial(_add_key, publisher, 9)
        await asyncio.gather(*(_add_key(publisher, n) for n in range(4)))
        assert await _read_labels(publisher) == {'k0', 'k1', 'k2', 'k3', 'k9'}
        assert (await publisher.read()).head.revision == 6

    asyncio.run(scenario())


def test_old_parts_are_deleted_and_used_ones_kept(
    platform: MemoryPlatform,
) -> None:
    """Unused parts would fill the store; used parts must not be deleted."""

    async def scenario() -> None:
        publisher = await _publish_base(platform)
        for number in range(20):
            await _add_key(publisher, number)
            await publisher.edit(partial(withdraw_key, label=f'k{number}'))
        head = (await publisher.read()).head
        known = {*head.digests, *(part.digest for part in head.retired)}
        stored = {n.rpartition('/')[2] for n in platform.objects}
        assert stored == known | {'head'}

    asyncio.run(scenario())


def test_parts_are_written_again_after_the_head(
    platform: MemoryPlatform,
) -> None:
    """Another operator's clean-up may delete a part that is in use again."""

    async def scenario() -> None:
        publisher = await _publish_base(platform)
        before = set(platform.objects)
        platform.failed_part_writes = frozenset(
            (platform.part_write_count + 2,)
        )
        published = await _apply_key(publisher, 1)
        assert published.is_cleaned
        (added,) = platform.objects.keys() - before
        head = platform.objects['config/head']
        assert platform.objects[added].version > head.version

    asyncio.run(scenario())


async def _add_key(publisher: Publisher, number: int) -> None:
    await publisher.edit(partial(add_key, key=_key(number)))
