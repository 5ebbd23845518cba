"""Reading of JSON in which single values may be unreadable.

Any program may write a value to the platform's store. One that the decoder
rejects must not make the rest of the document unreadable.
"""

import json
import re
from math import inf
from typing import Any, Final

# Values at this depth of nesting are replaced by null.
_CUT_DEPTH: Final = 33
_OPENING: Final = frozenset('[{')
_CLOSING: Final = frozenset(']}')
# Integers with more digits exceed every limit; Python refuses to convert those
# with more than 4,300.
_MAX_DIGITS: Final = 30
_STRUCTURE: Final = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]', re.DOTALL)


def load_tolerant(body: bytes) -> Any:
    """Return the value of a JSON document.

    Invalid UTF-8 is replaced, values that are nested too deeply are null, and
    integers with too many digits are infinite.

    Raises:
        ValueError: If the document is not JSON.
    """
    text = body.decode(errors='replace')
    try:
        return json.loads(text, parse_int=_read_integer)
    except RecursionError:
        return json.loads(_cut_deep_values(text), parse_int=_read_integer)


def _read_integer(digits: str) -> int | float:
    if len(digits) > _MAX_DIGITS:
        return -inf if digits.startswith('-') else inf
    return int(digits)


def _cut_deep_values(text: str) -> str:
    """Replace values that are nested too deeply by null."""
    parts: list[str] = []
    depth = 0
    kept_until = 0
    cut_from = 0
    # Strings match, too, as brackets have no meaning in them.
    for token in _STRUCTURE.finditer(text):
        if token[0] in _OPENING:
            depth += 1
            if depth == _CUT_DEPTH:
                cut_from = token.start()
        elif token[0] in _CLOSING:
            if depth == _CUT_DEPTH:
                parts.extend((text[kept_until:cut_from], 'null'))
                kept_until = token.end()
            depth -= 1
    return ''.join((*parts, text[kept_until:]))
