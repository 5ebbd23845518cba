"""HTTP/1.1 requests and answers over keep-alive connections."""

from collections.abc import AsyncIterator, Mapping
from hashlib import sha256
from socket import MSG_DONTWAIT, MSG_PEEK

from attrs import define, field, frozen
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

MAX_BODY_BYTES = 4_000_000_000


@frozen
class Request:
    """A request of a caller.

    Attributes:
        method: HTTP method.
        path: Path with query; its first segment is the service.
        headers: Header fields.
        chunks: Chunks of the body, or ``None`` for no body.
        length: Length of the body, bytes.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    chunks: AsyncIterator[bytes] | None = None
    length: int = 0


@frozen
class Answer:
    """A complete answer.

    Attributes:
        status: HTTP status.
        headers: Header fields.
        body: Complete body.
        digest: SHA-256 of the body, hexadecimal.
    """

    status: int
    headers: HTTPHeaders
    body: bytes
    digest: str


class CutAnswer(Exception):
    """The connection was closed before the answer was complete."""


async def exchange(stream: IOStream, request: Request) -> Answer:
    """Send a request and return the complete answer.

    Raises:
        CutAnswer: If the connection is closed before the answer is complete.
    """
    collector = _Collector()
    connection = HTTP1Connection(
        stream,
        True,
        HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES),
    )
    await connection.write_headers(
        RequestStartLine(request.method, request.path, 'HTTP/1.1'),
        _build_headers(request),
    )
    if request.chunks is not None:
        async for chunk in request.chunks:
            await connection.write(chunk)
    connection.finish()
    await connection.read_response(collector)
    if not collector.is_complete or collector.start is None:
        stream.close()
        raise CutAnswer
    if collector.headers.get('Connection', '').lower() == 'close':
        stream.close()
    elif not stream.closed():
        connection.detach()
    return collector.build_answer()


def is_open(stream: IOStream) -> bool:
    """Return whether the peer has not closed an idle connection.

    A Tornado stream does not notice that without a pending read.
    """
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, MSG_PEEK | MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _build_headers(request: Request) -> HTTPHeaders:
    headers = HTTPHeaders(dict(request.headers))
    headers.setdefault('Host', 'geraniumshelf')
    if request.chunks is not None or request.method in {'POST', 'PUT'}:
        headers['Content-Length'] = str(request.length)
    return headers


@define
class _Collector(HTTPMessageDelegate):
    start: ResponseStartLine | None = None
    headers: HTTPHeaders = field(factory=HTTPHeaders)
    is_complete: bool = False
    _chunks: list[bytes] = field(factory=list)

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.start = start_line
            self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        self.is_complete = True

    def build_answer(self) -> Answer:
        body = b''.join(self._chunks)
        status = self.start.code if self.start else 0
        return Answer(status, self.headers, body, sha256(body).hexdigest())
