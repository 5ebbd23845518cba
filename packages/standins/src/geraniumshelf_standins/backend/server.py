"""HTTP server of the simulated backend server."""

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

_CHUNK_BYTES: Final = 65536
_MAX_BODY_BYTES: Final = maxsize
_PATTERN: Final = b'0123456789abcdef'
_MS_PER_S: Final = 1000
_NS_PER_MS: Final = 1_000_000
_SERVICE_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504


class BackendServer:
    """Serves requests and the endpoints for records, load and faults.

    Attributes:
        backend: State of the backend server.
        port: Port that it listens on, 0 before ``listen``.
        generations: ``Faults.silence`` at the accept of each connection.
    """

    def __init__(self, backend: BackendState) -> None:
        self.backend = backend
        self.port = 0
        self.generations: WeakKeyDictionary[IOStream, int] = WeakKeyDictionary()
        self._http = _Listener(
            self._build_application(), max_body_size=_MAX_BODY_BYTES
        )
        self._http.on_accept = self._record_accept

    def listen(self, host: str, port: int) -> int:
        """Bind to an address and return the port."""
        sockets = bind_sockets(port, host)
        self.port = int(sockets[0].getsockname()[1])
        self._http.add_sockets(sockets)
        return self.port

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._http.stop()
        await self._http.close_all_connections()

    def _record_accept(self, stream: IOStream) -> None:
        self.generations[stream] = self.backend.faults.silence

    def _build_application(self) -> Application:
        arguments = {'server': self}
        return Application(
            [
                ('/-/records', _RecordsHandler, arguments),
                ('/-/health', _HealthHandler, arguments),
                ('/-/load', _LoadHandler, arguments),
                ('/-/faults', _FaultsHandler, arguments),
                ('/.*', _WorkHandler, arguments),
            ],
            log_function=_ignore_log,
        )


class _Listener(HTTPServer):
    on_accept: Callable[[IOStream], None]

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        self.on_accept(stream)
        super().handle_stream(stream, address)


class _Handler(RequestHandler):
    _server: BackendServer

    def initialize(self, server: BackendServer) -> None:
        self._server = server

    @property
    def backend(self) -> BackendState:
        return self._server.backend


class _RecordsHandler(_Handler):
    def get(self) -> None:
        self.write(
            {
                'most_in_flight': self.backend.most_in_flight,
                'records': [asdict(record) for record in self.backend.records],
            }
        )


class _HealthHandler(_Handler):
    def get(self) -> None:
        faults = self.backend.faults
        is_sick = faults.load_lie is LoadMisreport.SICK
        if is_sick or (
            faults.drain and faults.load_lie is not LoadMisreport.HEALTHY
        ):
            self.set_status(_SERVICE_UNAVAILABLE)
        self.write({'healthy': not is_sick, 'leaving': faults.drain})


class _LoadHandler(_Handler):
    def get(self) -> None:
        backend = self.backend
        in_flight = _report_load(backend)
        self.write(
            {
                'in_flight': in_flight,
                'slots': backend.slots,
                'leaving': backend.faults.drain,
            }
        )


class _FaultsHandler(_Handler):
    def get(self) -> None:
        faults = asdict(self.backend.faults)
        faults['load_lie'] = self.backend.faults.load_lie.value
        self.write(faults)

    def put(self) -> None:
        changes = json_decode(self.request.body)
        self.backend.faults = evolve(self.backend.faults, **changes)
        self.write({})


@stream_request_body
class _WorkHandler(_Handler):
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
        self._closed = asyncio.Event()
        self._is_admitted = False
        self._record = RequestRecord(
            headers.get('Geraniumshelf-Request-Id', ''),
            headers.get('Geraniumshelf-Account', ''),
            self.request.method or '',
            self.request.uri or '',
            list(headers.get_all()),
            time.monotonic_ns(),
        )
        backend = self.backend
        # Read before the record is added: a test may change the faults as soon
        # as it sees the record.
        self._service_ms = backend.faults.service_ms
        backend.records.append(self._record)
        if self._is_silenced():
            self._record.outcome = 'silent'
            await self._wait_for_close()
        elif backend.faults.shed or backend.in_flight >= backend.slots:
            self._end_record('shed')
            self.set_status(_SERVICE_UNAVAILABLE)
            self.set_header('Geraniumshelf-Ran', 'not-run')
            self.finish(b'shed')
        else:
            self._is_admitted = True
            _change_in_flight(backend, 1)

    def data_received(self, chunk: bytes) -> None:
        self._digest.update(chunk)

    async def handle(self) -> None:
        self._record.body_digest = self._digest.hexdigest()
        outcome = await self._simulate_service()
        if self._is_silenced():
            self._end_record('silent')
            await self._wait_for_close()
        if self._closed.is_set() and self._record.outcome != 'running':
            return
        if outcome == 'deadline':
            self._end_record('deadline')
            self.set_status(_GATEWAY_TIMEOUT)
            self.finish(b'deadline')
            return
        try:
            await self._send_answer()
        except StreamClosedError:
            self._end_record('cancelled')

    get = handle
    head = handle
    post = handle
    delete = handle
    patch = handle
    put = handle
    options = handle

    def on_connection_close(self) -> None:
        self._end_record('cancelled')
        self._closed.set()

    async def _simulate_service(self) -> str:
        faults = self.backend.faults
        total_ms = self._service_ms
        age_ms = (time.monotonic_ns() - self.backend.started_ns) // _NS_PER_MS
        if age_ms < faults.cold_ms:
            total_ms *= faults.cold_factor
        total_ms += faults.late_ms
        deadline = self.request.headers.get('Geraniumshelf-Deadline-Ms', '')
        is_late = deadline.isdecimal() and int(deadline) < total_ms
        if is_late:
            total_ms = int(deadline)
        if total_ms:
            await _wait(self._closed, total_ms / _MS_PER_S)
        return 'deadline' if is_late else 'done'

    async def _send_answer(self) -> None:
        size = int(self.get_query_argument('size', '0'))
        body = _PATTERN * (size // len(_PATTERN)) if size else b'answer'
        self.set_header('Body-Digest', sha256(body).hexdigest())
        self.set_header('Content-Length', str(len(body)))
        self.set_header('Backend-Name', self.backend.name)
        self.set_header('Geraniumshelf-Request-Id', self._record.request_id)
        cut_after = self.backend.faults.cut_after
        is_cut = cut_after is not None and cut_after < len(body)
        sent = memoryview(body)[:cut_after]
        for start in range(0, len(sent), _CHUNK_BYTES):
            self.write(bytes(sent[start : start + _CHUNK_BYTES]))
            await self.flush()
        if is_cut:
            await self.flush()
            self._end_record('cut')
            self.detach().close()
            return
        self._end_record('done')
        self.finish()

    def _end_record(self, outcome: str) -> None:
        if self._record.ended_ns is not None:
            return
        self._record.outcome = outcome
        self._record.ended_ns = time.monotonic_ns()
        if self._is_admitted:
            _change_in_flight(self.backend, -1)

    async def _wait_for_close(self) -> None:
        # Tornado reports a closed connection only after prepare has returned.
        stream = getattr(self.request.connection, 'stream', None)
        if stream is not None:
            stream.set_close_callback(self._closed.set)
            await self._closed.wait()

    def _is_silenced(self) -> bool:
        stream = getattr(self.request.connection, 'stream', None)
        silence = self._server.generations.get(stream, 0) if stream else 0
        return silence < self.backend.faults.silence


def _report_load(backend: BackendState) -> int:
    if backend.faults.load_lie is LoadMisreport.IDLE:
        return 0
    cutoff_ns = time.monotonic_ns() - backend.faults.lag_ms * _NS_PER_MS
    older = [load for at_ns, load in backend.load_history if at_ns <= cutoff_ns]
    return older[-1] if older else 0


def _change_in_flight(backend: BackendState, change: int) -> None:
    backend.in_flight += change
    backend.most_in_flight = max(backend.most_in_flight, backend.in_flight)
    backend.load_history.append((time.monotonic_ns(), backend.in_flight))


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return


def _ignore_log(handler: RequestHandler) -> None:
    """Write no access log; the records replace it."""
