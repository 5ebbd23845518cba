"""A caller that behaves as the callers' page asks."""

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

_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'PUT'))
_CONNECT_TIMEOUT_S: Final = 2.0
_SERVER_ERRORS: Final = 500
_SUFFIX_BITS: Final = 64
_SECOND_NS: Final = 1_000_000_000
_CONNECTION_ERRORS: Final = (
    CutAnswer,
    OSError,
    StreamClosedError,
    TimeoutError,
)


@frozen
class Job:
    """What a caller wants to have done.

    Attributes:
        service: Service name.
        method: HTTP method.
        path: Path below the service, beginning with a slash.
        body: Request body.
        deadline_s: Time that the caller is willing to wait, seconds.
        pace_bytes_per_s: Speed of an upload, 0 for as fast as possible.
    """

    service: str
    method: str = 'GET'
    path: str = '/'
    body: bytes = b''
    deadline_s: float = 10.0
    pace_bytes_per_s: int = 0


@frozen
class Outcome:
    """What came of a job.

    Attributes:
        status: HTTP status, 0 if no whole answer came.
        code: Result code of a refusal, 0 for an answer of a backend server.
        ran: What the answer says: ``not-run``, ``unknown`` or ``ran``.
        request_id: Id that was sent.
        address: Entry instance that was used last.
        latency_ns: Time from the first byte sent to the whole answer.
        attempts: Number of requests sent.
        digest: SHA-256 of the answer's body.
        claimed_digest: What the backend server says the digest is.
        retry_after_s: Seconds that the refusal asks to wait, 0 for none.
        detail: Detail of a refusal.
        answered_id: Request id that the answer names.
    """

    status: int
    code: int
    ran: str
    request_id: str
    address: str
    latency_ns: int
    attempts: int = 1
    digest: str = ''
    claimed_digest: str = ''
    retry_after_s: int = 0
    detail: str = ''
    answered_id: str = ''

    @property
    def is_served(self) -> bool:
        """Return whether a backend server answered."""
        return self.code == 0 and 0 < self.status < _SERVER_ERRORS


@frozen
class _Entry:
    address: str
    prefix: str


@frozen
class _CachedLookup:
    expires_ns: int
    entries: tuple[_Entry, ...]


@define
class Caller:
    """A caller with one key and a cache of look-up answers.

    Attributes:
        key: Key shown with each request; empty for none.
        lookup_addresses: Entry instances that are asked for look-ups.
        random: Source of request id suffixes.
        client_address: Address that look-ups name, empty for the own one.
        source: Local address of connections, empty for any.
    """

    key: str
    lookup_addresses: Sequence[str]
    random: Random
    client_address: str = ''
    source: str = ''
    _cache: dict[str, '_CachedLookup'] = field(factory=dict)
    _idle: dict[str, list[IOStream]] = field(factory=dict)

    async def run(self, job: Job, *, max_attempts: int = 3) -> Outcome:
        """Look up, send, and repeat what a refusal says was not run."""
        entries = await self._entries(job.service)
        request_id = self._new_id(entries[0])
        outcome = await self.send(job, entries[0].address, request_id)
        for attempt in range(1, max_attempts):
            if outcome.is_served or not _is_repeatable(job, outcome):
                break
            self._cache.pop(job.service, None)
            await asyncio.sleep(min(outcome.retry_after_s, 1))
            entries = await self._entries(job.service)
            entry = entries[attempt % len(entries)]
            outcome = await self.send(job, entry.address, self._new_id(entry))
        return outcome

    async def send(self, job: Job, address: str, request_id: str) -> Outcome:
        """Send one request to an entry instance."""
        started = monotonic_ns()
        try:
            answer = await asyncio.wait_for(
                self._exchange(address, self._request(job, request_id)),
                job.deadline_s,
            )
        except _CONNECTION_ERRORS as error:
            latency = monotonic_ns() - started
            ran = 'not-run' if _never_connected(error) else 'unknown'
            return Outcome(
                0, 0, ran, request_id, address, latency, detail=repr(error)
            )
        latency = monotonic_ns() - started
        return _outcome(answer, request_id, address, latency)

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
        for streams in self._idle.values():
            for stream in streams:
                stream.close()
        self._idle.clear()

    async def _entries(self, service: str) -> tuple[_Entry, ...]:
        cached = self._cache.get(service)
        if cached is not None and cached.expires_ns > monotonic_ns():
            return cached.entries
        for address in self.lookup_addresses:
            try:
                content = await self.lookup(service, address)
            except _CONNECTION_ERRORS:
                continue
            fresh = _cached_lookup(content)
            if fresh.entries:
                self._cache[service] = fresh
                return fresh.entries
        raise OSError(f'no look-up answer for {service}')

    def _new_id(self, entry: _Entry) -> str:
        return f'{entry.prefix}{self.random.getrandbits(_SUFFIX_BITS):016x}'

    def _request(self, job: Job, request_id: str) -> Request:
        headers = {'Geraniumshelf-Deadline-Ms': str(int(job.deadline_s * 1e3))}
        if request_id:
            headers['Geraniumshelf-Request-Id'] = request_id
        if self.key:
            headers['Geraniumshelf-Key'] = self.key
        return Request(
            job.method,
            f'/{job.service}{job.path}',
            headers,
            _paced(job) if job.body else None,
            len(job.body),
        )

    async def _exchange(self, address: str, request: Request) -> Answer:
        idle = self._idle.setdefault(address, [])
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


def _cached_lookup(content: dict[str, Any]) -> _CachedLookup:
    entries = tuple(
        _Entry(entry['address'], entry['request_id_prefix'])
        for entry in content.get('entries', ())
    )
    ttl_ns = int(content.get('ttl_s', 0) * _SECOND_NS)
    return _CachedLookup(monotonic_ns() + ttl_ns, entries)


def _is_repeatable(job: Job, outcome: Outcome) -> bool:
    return outcome.ran == 'not-run' or job.method in _SAFE_METHODS


def _never_connected(error: BaseException) -> bool:
    return isinstance(error, ConnectionRefusedError)


def _outcome(
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
        claimed_digest=headers.get('Body-Digest', ''),
        retry_after_s=int(headers.get('Retry-After', '0')),
        detail=detail,
        answered_id=headers.get('Geraniumshelf-Request-Id', ''),
    )


async def _paced(job: Job) -> AsyncIterator[bytes]:
    for start in range(0, len(job.body), CHUNK_BYTES):
        chunk = job.body[start : start + CHUNK_BYTES]
        yield chunk
        if job.pace_bytes_per_s:
            await asyncio.sleep(len(chunk) / job.pace_bytes_per_s)
