"""Tests what the client of the store reports to the watches."""

import asyncio

import pytest
from tests.platform.store_standin import StoreBehaviour, StoreStandin

from geraniumshelf_core.errors import (
    PlatformConnectionLost,
    PlatformError,
    PlatformResponseTooLong,
    ResultCode,
)
from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_daemon.edge.interface import RecordKind
from geraniumshelf_platform import store as store_module
from geraniumshelf_platform.store import ObjectStore


def test_list_includes_the_revision_of_its_last_change() -> None:
    """Guard against changes learnt from a list that heartbeats do not report.

    The second list spans two pages.
    """

    async def scenario() -> None:
        standin = StoreStandin()
        store = ObjectStore(standin.listen(), '127.0.0.1')
        view = await store.list_records(RecordKind.EVACUATIONS)
        assert view.last_change_revision == StoreRevision(1, 0)
        standin.put('evacuations', 'a1', {'zone': 'a1'})
        for number in range(600):
            standin.put('evacuations', f'b{number}', {'zone': f'b{number}'})
        standin.put('evacuations', 'a2', {'zone': 'a2'})
        last_change = standin.revision
        standin.put('servers', 's1', {})
        view = await store.list_records(RecordKind.EVACUATIONS)
        assert len(view.records) == 602
        assert view.last_change_revision == StoreRevision(1, last_change)
        assert view.revision == StoreRevision(1, standin.revision)
        store.close()
        await standin.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('behaviour', 'is_lost'),
    [(StoreBehaviour.RESET, True), (StoreBehaviour.BUSY, False)],
)
def test_lost_connection_differs_from_a_refused_call(
    behaviour: StoreBehaviour, *, is_lost: bool
) -> None:
    """Guard against renewals of all watches while the store refuses calls.

    It would get more calls while it has too many.
    """

    async def scenario() -> None:
        standin = StoreStandin(behaviour)
        store = ObjectStore(standin.listen(), '127.0.0.1')
        with pytest.raises(PlatformError) as caught:
            await store.watch_records(
                RecordKind.SERVERS, StoreRevision(0, 1), 1, lambda: None
            )
        assert caught.value.code is ResultCode.PLATFORM_UNREACHABLE
        assert isinstance(caught.value, PlatformConnectionLost) is is_lost
        store.close()
        await standin.close()

    asyncio.run(scenario())


@pytest.mark.parametrize('excess', [-1, 0, 1, 70_000])
@pytest.mark.parametrize('is_chunked', [False, True])
def test_long_changes_are_listed_instead(
    excess: int, *, is_chunked: bool
) -> None:
    """Guard against a watch that never gets past a long response."""

    async def scenario() -> None:
        standin = StoreStandin(StoreBehaviour.ENDLESS)
        size = store_module._MAX_BODY_BYTES + excess
        page = b'{"events": [], "store_revision": 9}'.ljust(size)
        frame = b'Content-Length: %d\r\n\r\n%s' % (size, page)
        if is_chunked:
            frame = b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n' % (
                size,
                page,
            )
            frame += b'0\r\n\r\n'
        standin.endless = (b'HTTP/1.1 200 x\r\n' + frame, b'')
        store = ObjectStore(standin.listen(), '127.0.0.1')
        watch = store.watch_records(
            RecordKind.SERVERS, StoreRevision(0, 1), 1, lambda: None
        )
        if excess <= 0:
            assert (await watch).revision == StoreRevision(0, 9)
        else:
            with pytest.raises(PlatformError) as caught:
                await watch
            assert caught.value.code is ResultCode.WATCH_TOO_OLD
            with pytest.raises(PlatformResponseTooLong):
                await store.list_records(RecordKind.SERVERS)
        store.close()
        await standin.close()

    asyncio.run(scenario())
