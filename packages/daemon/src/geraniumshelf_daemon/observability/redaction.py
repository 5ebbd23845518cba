"""Redaction of keys in log lines and timeline events."""

import re
from collections.abc import Mapping
from typing import Final

REDACTED: Final = '[redacted]'

_SECRET_NAMES: Final = frozenset(
    ('key', 'api_key', 'authorization', 'geraniumshelf_key', 'caller_key')
)
# The value of an authorization header may contain spaces; those of the others
# end at one.
_SECRET_TEXT: Final = re.compile(
    r'(\bauthorization\W{1,4})[^\'",;\n]+'
    r'|((?:\bgeraniumshelf-key\W{1,4}|\bbearer\s+|\bkey\W?\s*[=:]\W{0,2}))'
    r'[^\s\'",;)}\]]+',
    re.IGNORECASE,
)
_NAME_SEPARATOR: Final = re.compile(r'[^a-z]+')


def redact_text(text: str) -> str:
    """Replace the values that follow the names of secrets in a text.

    >>> redact_text('Geraniumshelf-Key: abc, next')
    'Geraniumshelf-Key: [redacted], next'
    """
    return _SECRET_TEXT.sub(rf'\1\2{REDACTED}', text)


def redact_fields(fields: Mapping[str, object]) -> dict[str, str]:
    """Return fields as text, with the values of keys redacted."""
    return {name: _redact_field(name, item) for name, item in fields.items()}


def _redact_field(name: str, content: object) -> str:
    if _NAME_SEPARATOR.sub('_', name.lower()) in _SECRET_NAMES:
        return REDACTED
    return redact_text(str(content))
