"""Tests that a server gets the end of a body only after the whole body."""

import asyncio
from collections.abc import Callable

from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st
from tests.daemon.front.harness import run

from geraniumshelf_core.dispatch.links.state import FlowKey
from geraniumshelf_core.errors import RequestRefused
from geraniumshelf_daemon.upstream.channel import ByteChannel
from geraniumshelf_daemon.upstream.links import LinkFlow, LinkPacer
from geraniumshelf_daemon.upstream.progress import Progress
from geraniumshelf_daemon.upstream.upload import Upload

_PUT, _FINISH, _FAIL, _DISCARD = 'put', 'finish', 'fail', 'discard'
_ACCEPT, _BREAK, _RETRY, _COLLECT = 'accept', 'break', 'retry', 'collect'
_PROGRESS_S = 10.0
_UNPACED = LinkFlow('', FlowKey('', ''))


@define(eq=False)
class _Exchange:
    """Records what a server gets of a request body."""

    received: bytes = b''
    has_end: bool = False
    is_broken: bool = False
    _accepting: asyncio.Event = field(factory=asyncio.Event)

    async def send(self, chunk: bytes) -> None:
        while not (self._accepting.is_set() or self.is_broken):
            await asyncio.sleep(0)
        if self.is_broken:
            raise ConnectionError('connection closed')
        self.received += chunk

    def finish(self) -> None:
        self.has_end = True

    def accept(self) -> None:
        self._accepting.set()


class _Scenario:
    """One caller whose body is sent in one or more attempts."""

    def __init__(self) -> None:
        self.body = ByteChannel()
        self.upload = Upload(self.body, LinkPacer('', lambda: 0), has_body=True)
        self.exchanges: list[_Exchange] = []
        self.sent = b''
        self.is_whole = False
        self._is_over = False
        self._task: asyncio.Task[object] | None = None
        self._steps: dict[str, Callable[[], None]] = {
            _PUT: self._put,
            _FINISH: self._finish,
            _FAIL: self._fail,
            _DISCARD: self.body.discard,
            _ACCEPT: lambda: self.exchanges[-1].accept(),
            _BREAK: self._break,
            _RETRY: self.retry,
            _COLLECT: self._collect,
        }

    async def play(self, steps: list[tuple[str, int]]) -> None:
        self.retry()
        for step, turns in steps:
            self._steps[step]()
            for _ in range(turns):
                await asyncio.sleep(0)
        for exchange in self.exchanges:
            exchange.accept()
        for _ in range(50):
            await asyncio.sleep(0)
        await self._stop_task()

    def retry(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self.exchanges:
            self.exchanges[-1].is_broken = True
        if not self.upload.can_replay:
            return
        exchange = _Exchange()
        self.exchanges.append(exchange)
        self._start(self.upload.send(exchange, _UNPACED, Progress(_PROGRESS_S)))

    def _put(self) -> None:
        if not self._is_over:
            # Each chunk differs, so that no mix-up goes unseen.
            chunk = f'<{len(self.sent)}>'.encode()
            self.sent += chunk
            self.body.put(chunk)

    def _finish(self) -> None:
        if not self._is_over:
            self._is_over = self.is_whole = True
            self.body.finish()

    def _fail(self) -> None:
        self._is_over = True
        self.body.fail()

    def _break(self) -> None:
        self.exchanges[-1].is_broken = True

    def _collect(self) -> None:
        # A stopping daemon collects a body before the first attempt.
        if self._task is not None:
            self._task.cancel()
        self._start(self.upload.collect(_PROGRESS_S))

    def _start(self, coroutine) -> None:
        self._task = asyncio.ensure_future(coroutine)

    async def _stop_task(self) -> None:
        assert self._task is not None
        self._task.cancel()
        try:
            await self._task
        except (asyncio.CancelledError, OSError, RequestRefused):
            return


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                _PUT,
                _PUT,
                _PUT,
                _ACCEPT,
                _FINISH,
                _FAIL,
                _DISCARD,
                _BREAK,
                _RETRY,
                _COLLECT,
            )
        ),
        st.integers(0, 4),
    ),
    max_size=14,
)


@given(_STEPS)
def test_end_of_a_body_follows_the_whole_body_only(
    steps: list[tuple[str, int]],
) -> None:
    """Guard against cut, discarded or mixed-up bodies that look whole.

    A chunked body has no other sign of its length than its end.
    """

    async def scenario() -> None:
        played = _Scenario()
        await played.play(steps)
        for exchange in played.exchanges:
            if exchange.has_end:
                assert played.is_whole
                assert exchange.received == played.sent
            assert played.sent.startswith(exchange.received)

    run(scenario)


def test_discarded_body_has_no_end() -> None:
    """Guard against an early answer that ends the rest of an upload."""

    async def scenario() -> None:
        played = _Scenario()
        steps = [
            (_ACCEPT, 1),
            (_PUT, 4),
            (_DISCARD, 1),
            (_PUT, 1),
            (_FINISH, 4),
        ]
        await played.play(steps)
        [exchange] = played.exchanges
        assert exchange.received
        assert not exchange.has_end

    run(scenario)


def test_discard_after_the_end_loses_nothing() -> None:
    """Guard against a whole body that is taken for a cut one."""

    async def scenario() -> None:
        played = _Scenario()
        steps = [(_PUT, 1), (_ACCEPT, 4), (_FINISH, 0), (_DISCARD, 4)]
        await played.play(steps)
        [exchange] = played.exchanges
        assert exchange.has_end

    run(scenario)
