"""Headers that pass between callers and backend servers."""

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

_OWN_PREFIX: Final = 'geraniumshelf-'
_HOP_BY_HOP: Final = frozenset(
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
_SECRET: Final = frozenset(('authorization', 'proxy-authorization'))
_FRAMING: Final = frozenset(('content-length', 'host'))


def read_key(headers: HTTPHeaders) -> str:
    """Return the key that a request carries, or an empty string.

    Raises:
        RequestRefused: ``MALFORMED_REQUEST`` if it carries several keys.
    """
    found = {text.strip() for text in headers.get_list(KEY_HEADER)}
    for line in headers.get_list('Authorization'):
        scheme, _, credential = line.strip().partition(' ')
        if scheme.lower() == 'bearer':
            found.add(credential.strip())
    found.discard('')
    if len(found) > 1:
        raise RequestRefused(
            ResultCode.MALFORMED_REQUEST, 'request carries several keys'
        )
    return found.pop() if found else ''


def forwarded_headers(
    headers: HTTPHeaders, key: str, replaced: Iterable[str] = ()
) -> HTTPHeaders:
    """Return the headers of a request that a backend server may see.

    Some servers read ``_`` in a name as ``-``, so both spellings are removed.
    A header that repeats the key under another name is removed too.

    Args:
        headers: Headers of the caller.
        key: Key of the caller.
        replaced: Further names that are removed, in lower case.
    """
    dropped = _dropped_names(headers) | _SECRET | set(replaced)
    kept = HTTPHeaders()
    for name, text in headers.get_all():
        plain = _plain_name(name)
        is_own = plain in dropped or plain.startswith(_OWN_PREFIX)
        if not is_own and not (key and key in text):
            kept.add(name, text)
    return kept


def relayed_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers of an answer that the caller may see."""
    dropped = _dropped_names(headers)
    dropped.update((CODE_HEADER.lower(), RAN_HEADER.lower()))
    kept = HTTPHeaders()
    for name, text in headers.get_all():
        if _plain_name(name) not in dropped:
            kept.add(name, text)
    return kept


def _dropped_names(headers: HTTPHeaders) -> set[str]:
    # A caller must not remove headers that the message itself needs.
    named = set(_connection_names(headers.get_list('Connection')))
    return (named - _FRAMING) | _HOP_BY_HOP


def _connection_names(lines: Iterable[str]) -> Iterable[str]:
    for line in lines:
        for name in line.split(','):
            yield _plain_name(name.strip())


def _plain_name(name: str) -> str:
    return name.lower().replace('_', '-')
