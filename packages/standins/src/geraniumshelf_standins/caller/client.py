"""Caller that looks up, sends and retries as ``docs/callers.md`` describes."""

import asyncio
import json
from collections.abc import AsyncIterator, Sequence
from random import Random
from time import monotonic_ns
from typing import Any, Final

from attrs import define, field, frozen
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from geraniumshelf_standins.caller.exchange import (
    Answer,
    CutAnswer,
    Request,
    exchange,
    is_open,
)

CHUNK_BYTES: Final = 65_536

_IDEMPOTENT_METHODS: Final = frozenset(('GET', 'HEAD', 'PUT'))
_CONNECT_TIMEOUT_S: Final = 2.0
_MIN_SERVER_ERROR: Final = 500
_ID_SUFFIX_BITS: Final = 64
_SECOND_NS: Final = 1_000_000_000
_CONNECTION_ERRORS: Final = (
    CutAnswer,
    OSError,
    StreamClosedError,
    TimeoutError,
)


@frozen
class Job:
    """A request that a caller wants to be served.

    Attributes:
        service: Service name.
        method: HTTP method.
        path: Path below the service, beginning with a slash.
        body: Request body.
        deadline_s: Timeout of one attempt, also sent as the deadline, seconds.
        pace_bytes_per_s: Rate at which the body is sent, 0 for no limit.
    """

    service: str
    method: str = 'GET'
    path: str = '/'
    body: bytes = b''
    deadline_s: float = 10.0
    pace_bytes_per_s: int = 0


@frozen
class Outcome:
    """Result of a job.

    Attributes:
        status: HTTP status, 0 if no complete answer arrived.
        code: Result code of a refusal, 0 without a refusal.
        ran: Whether the request ran according to the answer: ``not-run``,
            ``unknown`` or ``ran``. Without an answer, ``not-run`` if no
            connection could be opened, else ``unknown``.
        request_id: Request id that was sent.
        address: Entry instance that was used last.
        latency_ns: Time from the start of the last attempt to its complete
            answer or its failure, nanoseconds.
        attempts: Always 1; retries are not counted.
        digest: SHA-256 of the body that arrived, hexadecimal.
        expected_digest: SHA-256 of the body according to the backend server.
        retry_after_s: Wait before a retry that the answer asks for, seconds; 0
            for none.
        detail: Body of a refusal, or the error if no answer arrived.
        answer_request_id: Request id in the headers of the answer.
    """

    status: int
    code: int
    ran: str
    request_id: str
    address: str
    latency_ns: int
    attempts: int = 1
    digest: str = ''
    expected_digest: str = ''
    retry_after_s: int = 0
    detail: str = ''
    answer_request_id: str = ''

    @property
    def is_served(self) -> bool:
        """Return whether a backend server answered with a status below 500."""
        return self.code == 0 and 0 < self.status < _MIN_SERVER_ERROR


@frozen
class _EntryInstance:
    address: str
    prefix: str


@frozen
class _CachedLookup:
    expires_at_ns: int
    entries: tuple[_EntryInstance, ...]


@define
class Caller:
    """A caller with one key, a look-up cache and keep-alive connections.

    Attributes:
        key: Key sent with each request, empty for none.
        lookup_addresses: Entry instances for look-ups, tried in order.
        random: Random source of request id suffixes.
        client_address: Client address named in look-ups, empty for its own.
        source: Local IP address of connections, empty for any.
    """

    key: str
    lookup_addresses: Sequence[str]
    random: Random
    client_address: str = ''
    source: str = ''
    _lookup_cache: dict[str, '_CachedLookup'] = field(factory=dict)
    _idle_streams: dict[str, list[IOStream]] = field(factory=dict)

    async def run(self, job: Job, *, max_attempts: int = 3) -> Outcome:
        """Look up entry instances, send a request and retry it if that is safe.

        A retry is safe if the request did not run or its method is idempotent.
        Each retry uses a new look-up and a new request id.

        Raises:
            OSError: If no entry instance answers a look-up.
        """
        entries = await self._lookup_entries(job.service)
        request_id = self._create_request_id(entries[0])
        outcome = await self.send(job, entries[0].address, request_id)
        for attempt in range(1, max_attempts):
            if outcome.is_served or not _is_retryable(job, outcome):
                break
            self._lookup_cache.pop(job.service, None)
            await asyncio.sleep(min(outcome.retry_after_s, 1))
            entries = await self._lookup_entries(job.service)
            entry = entries[attempt % len(entries)]
            outcome = await self.send(
                job, entry.address, self._create_request_id(entry)
            )
        return outcome

    async def send(self, job: Job, address: str, request_id: str) -> Outcome:
        """Send one request to an entry instance."""
        started = monotonic_ns()
        try:
            answer = await asyncio.wait_for(
                self._exchange(address, self._build_request(job, request_id)),
                job.deadline_s,
            )
        except _CONNECTION_ERRORS as error:
            latency = monotonic_ns() - started
            ran = 'not-run' if _is_connect_failure(error) else 'unknown'
            return Outcome(
                0, 0, ran, request_id, address, latency, detail=repr(error)
            )
        latency = monotonic_ns() - started
        return _build_outcome(answer, request_id, address, latency)

    async def lookup(self, service: str, address: str) -> dict[str, Any]:
        """Return the look-up answer of one entry instance."""
        query = f'service={service}'
        if self.client_address:
            query = f'{query}&client={self.client_address}'
        answer = await asyncio.wait_for(
            self._exchange(address, Request('GET', f'/v1/lookup?{query}', {})),
            _CONNECT_TIMEOUT_S,
        )
        content: dict[str, Any] = json.loads(answer.body)
        return content

    def close(self) -> None:
        """Close all idle connections."""
        for streams in self._idle_streams.values():
            for stream in streams:
                stream.close()
        self._idle_streams.clear()

    async def _lookup_entries(self, service: str) -> tuple[_EntryInstance, ...]:
        cached = self._lookup_cache.get(service)
        if cached is not None and cached.expires_at_ns > monotonic_ns():
            return cached.entries
        for address in self.lookup_addresses:
            try:
                content = await self.lookup(service, address)
            except _CONNECTION_ERRORS:
                continue
            fresh = _parse_lookup(content)
            if fresh.entries:
                self._lookup_cache[service] = fresh
                return fresh.entries
        raise OSError(
            f'no entry instance in a look-up answer for service {service}'
        )

    def _create_request_id(self, entry: _EntryInstance) -> str:
        return f'{entry.prefix}{self.random.getrandbits(_ID_SUFFIX_BITS):016x}'

    def _build_request(self, job: Job, request_id: str) -> Request:
        headers = {'Geraniumshelf-Deadline-Ms': str(int(job.deadline_s * 1e3))}
        if request_id:
            headers['Geraniumshelf-Request-Id'] = request_id
        if self.key:
            headers['Geraniumshelf-Key'] = self.key
        return Request(
            job.method,
            f'/{job.service}{job.path}',
            headers,
            _pace_upload(job) if job.body else None,
            len(job.body),
        )

    async def _exchange(self, address: str, request: Request) -> Answer:
        idle = self._idle_streams.setdefault(address, [])
        while idle and not is_open(idle[-1]):
            idle.pop().close()
        stream = idle.pop() if idle else await self._connect(address)
        try:
            answer = await exchange(stream, request)
        except BaseException:
            stream.close()
            raise
        if not stream.closed():
            idle.append(stream)
        return answer

    async def _connect(self, address: str) -> IOStream:
        host, _, port = address.rpartition(':')
        try:
            stream = await TCPClient().connect(
                host,
                int(port),
                source_ip=self.source or None,
                timeout=_CONNECT_TIMEOUT_S,
            )
        except (OSError, StreamClosedError, TimeoutError) as error:
            raise ConnectionRefusedError(address) from error
        stream.set_nodelay(True)
        return stream


def _parse_lookup(content: dict[str, Any]) -> _CachedLookup:
    entries = tuple(
        _EntryInstance(entry['address'], entry['request_id_prefix'])
        for entry in content.get('entries', ())
    )
    ttl_ns = int(content.get('ttl_s', 0) * _SECOND_NS)
    return _CachedLookup(monotonic_ns() + ttl_ns, entries)


def _is_retryable(job: Job, outcome: Outcome) -> bool:
    return outcome.ran == 'not-run' or job.method in _IDEMPOTENT_METHODS


def _is_connect_failure(error: BaseException) -> bool:
    return isinstance(error, ConnectionRefusedError)


def _build_outcome(
    answer: Answer, request_id: str, address: str, latency: int
) -> Outcome:
    headers = answer.headers
    code = int(headers.get('Geraniumshelf-Code', '0'))
    detail = ''
    if code:
        detail = answer.body.decode(errors='replace')
    return Outcome(
        answer.status,
        code,
        headers.get('Geraniumshelf-Ran', 'ran'),
        request_id,
        address,
        latency,
        digest=answer.digest,
        expected_digest=headers.get('Body-Digest', ''),
        retry_after_s=int(headers.get('Retry-After', '0')),
        detail=detail,
        answer_request_id=headers.get('Geraniumshelf-Request-Id', ''),
    )


async def _pace_upload(job: Job) -> AsyncIterator[bytes]:
    for start in range(0, len(job.body), CHUNK_BYTES):
        chunk = job.body[start : start + CHUNK_BYTES]
        yield chunk
        if job.pace_bytes_per_s:
            await asyncio.sleep(len(chunk) / job.pace_bytes_per_s)
