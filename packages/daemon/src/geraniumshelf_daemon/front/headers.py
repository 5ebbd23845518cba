"""Filters headers between callers and backend servers."""

from collections.abc import Iterable
from typing import Final

from tornado.httputil import HTTPHeaders

from geraniumshelf_core.errors import RequestRefused, ResultCode

KEY_HEADER: Final = 'Geraniumshelf-Key'
ACCOUNT_HEADER: Final = 'Geraniumshelf-Account'
DEADLINE_HEADER: Final = 'Geraniumshelf-Deadline-Ms'
ID_HEADER: Final = 'Geraniumshelf-Request-Id'
RAN_HEADER: Final = 'Geraniumshelf-Ran'
CODE_HEADER: Final = 'Geraniumshelf-Code'
# Marks a request that another daemon has forwarded.
FORWARDED_HEADER: Final = 'Geraniumshelf-Forwarded'

_INTERNAL_PREFIX: Final = 'geraniumshelf-'
_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    )
)
_CREDENTIAL_HEADERS: Final = frozenset(('authorization', 'proxy-authorization'))
_FRAMING_HEADERS: Final = frozenset(('content-length', 'host'))


def read_key(headers: HTTPHeaders) -> str:
    """Return the key of a request, or an empty string if it has none.

    Raises:
        RequestRefused: ``MALFORMED_REQUEST`` if it has several keys.
    """
    found = {text.strip() for text in headers.get_list(KEY_HEADER)}
    for line in headers.get_list('Authorization'):
        scheme, _, credential = line.strip().partition(' ')
        if scheme.lower() == 'bearer':
            found.add(credential.strip())
    found.discard('')
    if len(found) > 1:
        raise RequestRefused(
            ResultCode.MALFORMED_REQUEST,
            f'the request has {len(found)} different keys; one is allowed',
        )
    return found.pop() if found else ''


def forwarded_headers(
    headers: HTTPHeaders, key: str, replaced: Iterable[str] = ()
) -> HTTPHeaders:
    """Return the headers of a request that a backend server may receive.

    Some servers treat ``_`` in a header name as ``-``, so names are removed in
    both spellings. A header that contains the key is removed under any name.

    Args:
        headers: Headers of the request.
        key: Key of the caller.
        replaced: Further names to remove, in lower case.
    """
    dropped = _dropped_names(headers) | _CREDENTIAL_HEADERS | set(replaced)
    kept = HTTPHeaders()
    for name, text in headers.get_all():
        normalized = _normalize_name(name)
        is_removed = normalized in dropped or normalized.startswith(
            _INTERNAL_PREFIX
        )
        if not is_removed and not (key and key in text):
            kept.add(name, text)
    return kept


def relayed_headers(
    headers: HTTPHeaders, *, is_from_daemon: bool = False
) -> HTTPHeaders:
    """Return the headers of a response that the caller may receive.

    Args:
        headers: Headers of the response.
        is_from_daemon: Whether another daemon sent it, whose result codes the
            caller receives as well.
    """
    dropped = _dropped_names(headers)
    if not is_from_daemon:
        dropped.update((CODE_HEADER.lower(), RAN_HEADER.lower()))
    kept = HTTPHeaders()
    for name, text in headers.get_all():
        if _normalize_name(name) not in dropped:
            kept.add(name, text)
    return kept


def _dropped_names(headers: HTTPHeaders) -> set[str]:
    # Connection must not name headers that the message itself requires.
    connection_options = set(_connection_names(headers.get_list('Connection')))
    return (connection_options - _FRAMING_HEADERS) | _HOP_BY_HOP_HEADERS


def _connection_names(lines: Iterable[str]) -> Iterable[str]:
    for line in lines:
        for name in line.split(','):
            yield _normalize_name(name.strip())


def _normalize_name(name: str) -> str:
    return name.lower().replace('_', '-')
