"""Checks that the length of a request body is unambiguous."""

from typing import Final

from tornado.httputil import HTTPHeaders, HTTPInputError

# Methods for which tornado sends a body of unknown length in chunks.
BODY_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


def check_framing(method: str, headers: HTTPHeaders) -> None:
    """Refuse a request whose body length two servers could read differently.

    This prevents request smuggling. Tornado checks the length too, but only
    after it has passed on the headers, when the request could already have been
    sent to a backend server.

    Raises:
        HTTPInputError: If the length of the body is ambiguous.
    """
    lengths = headers.get_list('Content-Length')
    encodings = headers.get_list('Transfer-Encoding')
    if len(lengths) > 1 or not all(_is_number(text) for text in lengths):
        raise HTTPInputError('Content-Length is not a single number')
    if not encodings:
        return
    if lengths or [text.lower() for text in encodings] != ['chunked']:
        raise HTTPInputError(
            'only Transfer-Encoding: chunked without Content-Length is allowed'
        )
    if method not in BODY_METHODS:
        raise HTTPInputError(f'{method} request has a chunked body')


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()
