"""Checks that the length of a request body is certain."""

from typing import Final

from tornado.httputil import HTTPHeaders, HTTPInputError

# Methods for which tornado writes a body of unknown length in chunks.
BODY_METHODS: Final = frozenset(('POST', 'PUT', 'PATCH'))


def check_framing(method: str, headers: HTTPHeaders) -> None:
    """Refuse a request that two readers could split differently.

    Tornado checks this too, but only after the request was handed over, so
    that it could have been sent to a backend server already.

    Raises:
        HTTPInputError: If the length of the body is not certain.
    """
    lengths = headers.get_list('Content-Length')
    encodings = headers.get_list('Transfer-Encoding')
    if len(lengths) > 1 or not all(_is_number(text) for text in lengths):
        raise HTTPInputError('Content-Length is not one number')
    if not encodings:
        return
    if lengths or [text.lower() for text in encodings] != ['chunked']:
        raise HTTPInputError('Transfer-Encoding is not just chunked')
    if method not in BODY_METHODS:
        raise HTTPInputError(f'{method} with a body of unknown length')


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()
