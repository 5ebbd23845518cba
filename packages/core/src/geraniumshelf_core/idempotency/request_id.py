"""Request ids, which name the daemon that issued them."""

import re
from typing import Final

from attrs import frozen

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

WINDOW_NS: Final[Nanoseconds] = 60 * SECOND_NS

_SLOT: Final = re.compile(r'[A-Za-z0-9_.\-]{1,80}(~[0-9]{1,6})?')
_INCARNATION: Final = re.compile('[0-9a-f]{1,16}')
_WINDOW: Final = re.compile('[0-9]{1,12}')
_SUFFIX: Final = re.compile(r'[A-Za-z0-9_\-]{1,64}')
_INCARNATION_BASE: Final = 16
_PART_COUNT: Final = 4


@frozen
class RequestId:
    """A parsed request id.

    Attributes:
        slot: Slot of the issuing daemon, ``zone/number``.
        incarnation: Random number of the run of the issuing daemon.
        window: Number of the time window in which the prefix was issued.
        suffix: Unique part, chosen by the caller.
    """

    slot: str
    incarnation: int
    window: int
    suffix: str

    def __str__(self) -> str:
        prefix = request_id_prefix(self.slot, self.incarnation, self.window)
        return f'{prefix}{self.suffix}'


def current_window(now: Nanoseconds) -> int:
    """Return the number of the window at a time of the issuer's clock."""
    return now // WINDOW_NS


def request_id_prefix(slot: str, incarnation: int, window: int) -> str:
    """Return the part of a request id that lookups publish.

    >>> request_id_prefix('addis-a/0', 255, 7)
    'addis-a~0.ff.7.'
    """
    return f'{slot.replace("/", "~")}.{incarnation:x}.{window}.'


def parse_request_id(text: str) -> RequestId:
    """Parse a request id.

    >>> parse_request_id('addis-a~0.ff.7.sale-1').suffix
    'sale-1'

    Raises:
        RequestRefused: ``MALFORMED_REQUEST_ID``, naming the wrong part.
    """
    parts = text.rsplit('.', _PART_COUNT - 1)
    if len(parts) != _PART_COUNT:
        raise _malformed('it must have four parts separated by dots')
    slot, incarnation, window, suffix = parts
    _check(_SLOT, slot, 'the slot must be <zone>~<number>')
    _check(
        _INCARNATION,
        incarnation,
        'the incarnation must be 1 to 16 lowercase hexadecimal digits',
    )
    _check(_WINDOW, window, 'the window must be 1 to 12 decimal digits')
    _check(
        _SUFFIX,
        suffix,
        'the suffix must be 1 to 64 characters of [A-Za-z0-9_-]',
    )
    return RequestId(
        slot.replace('~', '/'),
        int(incarnation, _INCARNATION_BASE),
        int(window),
        suffix,
    )


def _check(pattern: re.Pattern[str], part: str, rule: str) -> None:
    if not pattern.fullmatch(part):
        raise _malformed(rule)


def _malformed(detail: str) -> RequestRefused:
    return RequestRefused(
        ResultCode.MALFORMED_REQUEST_ID, f'malformed request id: {detail}'
    )
