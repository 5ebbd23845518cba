"""The HTTP server of the backend stand-in."""

import asyncio
import time
from collections.abc import Callable
from hashlib import sha256
from sys import maxsize
from typing import Any, Final
from weakref import WeakKeyDictionary

from attrs import asdict, evolve
from tornado.escape import json_decode
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler, stream_request_body

from geraniumshelf_standins.backend.state import (
    BackendState,
    LoadMisreport,
    RequestRecord,
)

_CHUNK: Final = 65536
_LARGEST_BODY: Final = maxsize
_PATTERN: Final = b'0123456789abcdef'
_MS_PER_S: Final = 1000
_NS_PER_MS: Final = 1_000_000
_SHED: Final = 503
_TIMED_OUT: Final = 504


class BackendServer:
    """Listens for requests and knows the age of each connection."""

    def __init__(self, backend: BackendState) -> None:
        self.backend = backend
        self.port = 0
        # Value of Faults.silence when the connection was accepted.
        self.births: WeakKeyDictionary[IOStream, int] = WeakKeyDictionary()
        self._http = _Listener(self._build(), max_body_size=_LARGEST_BODY)
        self._http.note_stream = self._note_stream

    def listen(self, host: str, port: int) -> int:
        """Listen at an address and return the port."""
        sockets = bind_sockets(port, host)
        self.port = int(sockets[0].getsockname()[1])
        self._http.add_sockets(sockets)
        return self.port

    async def close(self) -> None:
        """Close the port and all connections."""
        self._http.stop()
        await self._http.close_all_connections()

    def _note_stream(self, stream: IOStream) -> None:
        self.births[stream] = self.backend.faults.silence

    def _build(self) -> Application:
        arguments = {'server': self}
        return Application(
            [
                ('/-/records', _Records, arguments),
                ('/-/health', _Health, arguments),
                ('/-/load', _Load, arguments),
                ('/-/faults', _FaultSettings, arguments),
                ('/.*', _Work, arguments),
            ],
            log_function=_ignore_log,
        )


class _Listener(HTTPServer):
    note_stream: Callable[[IOStream], None]

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        self.note_stream(stream)
        super().handle_stream(stream, address)


class _Handler(RequestHandler):
    _server: BackendServer

    def initialize(self, server: BackendServer) -> None:
        self._server = server

    @property
    def backend(self) -> BackendState:
        return self._server.backend


class _Records(_Handler):
    def get(self) -> None:
        self.write(
            {
                'most_in_flight': self.backend.most_in_flight,
                'records': [asdict(record) for record in self.backend.records],
            }
        )


class _Health(_Handler):
    def get(self) -> None:
        faults = self.backend.faults
        sick = faults.load_lie is LoadMisreport.SICK
        if sick or (
            faults.drain and faults.load_lie is not LoadMisreport.HEALTHY
        ):
            self.set_status(_SHED)
        self.write({'healthy': not sick, 'leaving': faults.drain})


class _Load(_Handler):
    def get(self) -> None:
        backend = self.backend
        in_flight = _reported_load(backend)
        self.write(
            {
                'in_flight': in_flight,
                'slots': backend.slots,
                'leaving': backend.faults.drain,
            }
        )


class _FaultSettings(_Handler):
    def get(self) -> None:
        faults = asdict(self.backend.faults)
        faults['load_lie'] = self.backend.faults.load_lie.value
        self.write(faults)

    def put(self) -> None:
        changes = json_decode(self.request.body)
        self.backend.faults = evolve(self.backend.faults, **changes)
        self.write({})


@stream_request_body
class _Work(_Handler):
    SUPPORTED_METHODS = (
        'GET',
        'HEAD',
        'POST',
        'DELETE',
        'PATCH',
        'PUT',
        'OPTIONS',
    )

    async def prepare(self) -> None:
        headers = self.request.headers
        self._digest = sha256()
        self._ended = asyncio.Event()
        self._counted = False
        self._record = RequestRecord(
            headers.get('Geraniumshelf-Request-Id', ''),
            headers.get('Geraniumshelf-Account', ''),
            self.request.method or '',
            self.request.uri or '',
            list(headers.get_all()),
            time.monotonic_ns(),
        )
        backend = self.backend
        # A request is served under the faults of its arrival, which a test may
        # change as soon as it sees the record.
        self._service_ms = backend.faults.service_ms
        backend.records.append(self._record)
        if self._is_silenced():
            self._record.outcome = 'silent'
            await self._stay_silent()
        elif backend.faults.shed or backend.in_flight >= backend.slots:
            self._close('shed')
            self.set_status(_SHED)
            self.set_header('Geraniumshelf-Ran', 'not-run')
            self.finish(b'shed')
        else:
            self._counted = True
            _count(backend, 1)

    def data_received(self, chunk: bytes) -> None:
        self._digest.update(chunk)

    async def work(self) -> None:
        self._record.body_digest = self._digest.hexdigest()
        outcome = await self._spend_time()
        if self._is_silenced():
            self._close('silent')
            await self._stay_silent()
        if self._ended.is_set() and self._record.outcome != 'running':
            return
        if outcome == 'deadline':
            self._close('deadline')
            self.set_status(_TIMED_OUT)
            self.finish(b'deadline')
            return
        try:
            await self._answer()
        except StreamClosedError:
            self._close('cancelled')

    get = work
    head = work
    post = work
    delete = work
    patch = work
    put = work
    options = work

    def on_connection_close(self) -> None:
        self._close('cancelled')
        self._ended.set()

    async def _spend_time(self) -> str:
        faults = self.backend.faults
        spent_ms = self._service_ms
        age_ms = (time.monotonic_ns() - self.backend.started_ns) // _NS_PER_MS
        if age_ms < faults.cold_ms:
            spent_ms *= faults.cold_factor
        spent_ms += faults.late_ms
        deadline = self.request.headers.get('Geraniumshelf-Deadline-Ms', '')
        is_late = deadline.isdecimal() and int(deadline) < spent_ms
        if is_late:
            spent_ms = int(deadline)
        if spent_ms:
            await _wait_for(self._ended, spent_ms / _MS_PER_S)
        return 'deadline' if is_late else 'done'

    async def _answer(self) -> None:
        size = int(self.get_query_argument('size', '0'))
        body = _PATTERN * (size // len(_PATTERN)) if size else b'answer'
        self.set_header('Body-Digest', sha256(body).hexdigest())
        self.set_header('Content-Length', str(len(body)))
        self.set_header('Backend-Name', self.backend.name)
        self.set_header('Geraniumshelf-Request-Id', self._record.request_id)
        limit = self.backend.faults.cut_after
        is_cut = limit is not None and limit < len(body)
        sent = memoryview(body)[:limit]
        for start in range(0, len(sent), _CHUNK):
            self.write(bytes(sent[start : start + _CHUNK]))
            await self.flush()
        if is_cut:
            await self.flush()
            self._close('cut')
            self.detach().close()
            return
        self._close('done')
        self.finish()

    def _close(self, outcome: str) -> None:
        if self._record.ended_ns is not None:
            return
        self._record.outcome = outcome
        self._record.ended_ns = time.monotonic_ns()
        if self._counted:
            _count(self.backend, -1)

    async def _stay_silent(self) -> None:
        # Tornado watches the connection only after prepare has returned.
        stream = getattr(self.request.connection, 'stream', None)
        if stream is not None:
            stream.set_close_callback(self._ended.set)
            await self._ended.wait()

    def _is_silenced(self) -> bool:
        stream = getattr(self.request.connection, 'stream', None)
        birth = self._server.births.get(stream, 0) if stream else 0
        return birth < self.backend.faults.silence


def _reported_load(backend: BackendState) -> int:
    if backend.faults.load_lie is LoadMisreport.IDLE:
        return 0
    seen_ns = time.monotonic_ns() - backend.faults.lag_ms * _NS_PER_MS
    older = [load for when, load in backend.load_history if when <= seen_ns]
    return older[-1] if older else 0


def _count(backend: BackendState, step: int) -> None:
    backend.in_flight += step
    backend.most_in_flight = max(backend.most_in_flight, backend.in_flight)
    backend.load_history.append((time.monotonic_ns(), backend.in_flight))


async def _wait_for(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return


def _ignore_log(handler: RequestHandler) -> None:
    """Keep the request log out of the output; the records hold it."""
