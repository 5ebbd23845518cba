"""Responses to callers for requests that the daemon refuses."""

import json
from typing import Final

from tornado.httputil import HTTPHeaders

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_daemon.front.headers import CODE_HEADER, RAN_HEADER

# HTTP status of each result code.
STATUS_BY_RESULT_CODE: Final = {
    ResultCode.MALFORMED_REQUEST: 400,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.KEY_MISSING: 401,
    ResultCode.KEY_UNKNOWN: 401,
    ResultCode.KEY_WITHDRAWN: 401,
    ResultCode.RATE_EXCEEDED: 429,
    ResultCode.DEADLINE_EXCEEDED: 504,
    ResultCode.NO_BACKEND_SERVER: 503,
    ResultCode.OVERLOADED: 503,
    ResultCode.BACKEND_REFUSED: 503,
    ResultCode.BACKEND_SILENT: 504,
    ResultCode.BACKEND_BROKEN: 502,
    ResultCode.OUTCOME_UNKNOWN: 409,
    ResultCode.IN_PROGRESS: 409,
    ResultCode.ALREADY_RUN: 409,
    ResultCode.NOT_READY: 503,
    ResultCode.CUT_OFF: 503,
    ResultCode.HEADERS_TOO_LARGE: 431,
    ResultCode.MALFORMED_REQUEST_ID: 400,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.CALLER_SILENT: 408,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.INTERNAL_FAULT: 500,
}
_REASON_PHRASES: Final = {
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    405: 'Method Not Allowed',
    408: 'Request Timeout',
    409: 'Conflict',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}
_UNAUTHORIZED: Final = 401
_BAD_GATEWAY: Final = 502
_RETRIED_STATUSES: Final = frozenset((408, 421, 429, 503))


def refusal_status(refusal: RequestRefused) -> tuple[int, str]:
    """Return the HTTP status and reason phrase of a refusal.

    Callers and proxies retry requests after some statuses, so these are only
    used for requests that have not run.
    """
    status = STATUS_BY_RESULT_CODE[refusal.code]
    if status in _RETRIED_STATUSES and refusal.ran is not Ran.NOT_RUN:
        status = _BAD_GATEWAY
    return status, _REASON_PHRASES[status]


def refusal_headers(refusal: RequestRefused, length: int) -> HTTPHeaders:
    """Return the headers of a refusal.

    Args:
        refusal: Why the request is refused.
        length: Length of the body in bytes.
    """
    headers = HTTPHeaders()
    headers['Content-Type'] = 'application/json'
    headers['Content-Length'] = str(length)
    headers['Cache-Control'] = 'no-store'
    headers[CODE_HEADER] = str(refusal.code.value)
    headers[RAN_HEADER] = refusal.ran.value
    if refusal.retry_after_s is not None:
        headers['Retry-After'] = str(refusal.retry_after_s)
    if refusal_status(refusal)[0] == _UNAUTHORIZED:
        headers['WWW-Authenticate'] = 'Bearer'
    return headers


def refusal_body(refusal: RequestRefused) -> bytes:
    """Return the JSON body of a refusal."""
    return json.dumps(
        {
            'code': refusal.code.value,
            'name': refusal.code.name,
            'ran': refusal.ran.value,
            'detail': refusal.detail,
            'retry_after_s': refusal.retry_after_s,
        }
    ).encode()


def encode_refusal(refusal: RequestRefused) -> bytes:
    """Return a refusal as an HTTP response that closes the connection."""
    status, reason = refusal_status(refusal)
    body = refusal_body(refusal)
    headers = refusal_headers(refusal, len(body))
    headers['Connection'] = 'close'
    lines = [f'HTTP/1.1 {status} {reason}']
    lines.extend(f'{name}: {text}' for name, text in headers.get_all())
    return '\r\n'.join((*lines, '', '')).encode() + body
