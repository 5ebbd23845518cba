"""HTTP server for operators, on an address of its own."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, Final

from attrs import frozen
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from geraniumshelf_core.errors import GeraniumshelfError, ResultCode

_CONFLICT: Final = 409
_INTERNAL_ERROR: Final = 500
_NOT_FOUND: Final = 404
_CODE_HEADER: Final = 'Geraniumshelf-Code'


@frozen
class OperatorCalls:
    """Handlers of operator requests; each returns a JSON-encodable object.

    Attributes:
        status: Returns the state of the daemon.
        timeline: Returns the recent events.
        drain: Starts a graceful shutdown without waiting for its end.
    """

    status: Callable[[], Any]
    timeline: Callable[[], Any]
    drain: Callable[[], Awaitable[Any]]


class OperatorServer:
    """Serves operator requests."""

    def __init__(self, calls: OperatorCalls) -> None:
        arguments = {'calls': calls}
        self._http = HTTPServer(
            Application(
                [
                    ('/v1/status', _Status, arguments),
                    ('/v1/timeline', _Timeline, arguments),
                    ('/v1/drain', _Drain, arguments),
                ],
                default_handler_class=_NotFound,
                default_handler_args=arguments,
                log_function=_ignore_log,
            )
        )

    def listen(self, host: str, port: int) -> int:
        """Listen at an address and return the port.

        Raises:
            OSError: If the address is in use.
        """
        sockets = bind_sockets(port, host)
        self._http.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Close the port and all connections."""
        self._http.stop()
        await self._http.close_all_connections()


class _Handler(RequestHandler):
    _calls: OperatorCalls

    def initialize(self, calls: OperatorCalls) -> None:
        self._calls = calls

    def send_json(self, content: Any) -> None:
        self.set_header('Content-Type', 'application/json')
        self.set_header('Cache-Control', 'no-store')
        self.finish(json.dumps(content))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        error = kwargs.get('exc_info', (None, None))[1]
        code, detail = ResultCode.INTERNAL_FAULT, self._reason
        if isinstance(error, GeraniumshelfError):
            code, detail = error.code, error.detail
            self.set_status(_CONFLICT)
        elif status_code < _INTERNAL_ERROR:
            code = ResultCode.NOT_FOUND
        self.set_header(_CODE_HEADER, str(code.value))
        self.send_json(
            {'code': code.value, 'name': code.name, 'detail': detail}
        )


class _Status(_Handler):
    def get(self) -> None:
        self.send_json(self._calls.status())


class _Timeline(_Handler):
    def get(self) -> None:
        self.send_json(self._calls.timeline())


class _Drain(_Handler):
    async def post(self) -> None:
        self.send_json(await self._calls.drain())


class _NotFound(_Handler):
    def prepare(self) -> None:
        self.send_error(_NOT_FOUND)


def _ignore_log(handler: RequestHandler) -> None:
    """Suppress tornado's request log."""
