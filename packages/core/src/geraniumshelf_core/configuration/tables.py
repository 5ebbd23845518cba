"""Typed access to the tables of configuration files."""

import re
from collections.abc import Mapping
from enum import Enum
from typing import Any, Final, TypeVar

from attrs import field, frozen

from geraniumshelf_core.errors import ConfigurationError, ResultCode

NAME_PATTERN: Final = re.compile('[a-z0-9][a-z0-9._-]{0,62}', re.ASCII)
NAME_RULE: Final = '1 to 63 of a-z, 0-9, dot, underscore and hyphen'

_MAX_SHOWN_LENGTH: Final = 80
_KEYS_TABLE: Final = 'keys'

Choice = TypeVar('Choice', bound=Enum)


@frozen
class SourceLocation:
    """A location in a configuration file.

    Attributes:
        file: File name.
        table: Table and entry, ``zones[addis-a]``; ``top level`` outside of
            tables.
    """

    file: str
    table: str


def configuration_error(
    code: ResultCode,
    location: SourceLocation,
    key: str,
    found: object,
    allowed: str,
) -> ConfigurationError:
    """Build an error that states location, value and what is allowed."""
    detail = f'found {_format_value(location, found)}; allowed: {allowed}'
    return ConfigurationError(
        code, f'{location.file}: {location.table}: {key}: {detail}'
    )


@frozen
class Table:
    """A table of a configuration file.

    Each accessor raises ``ConfigurationError`` with ``MISSING_KEY``,
    ``WRONG_TYPE`` or ``OUT_OF_RANGE``.
    """

    location: SourceLocation
    contents: Mapping[str, Any] = field(repr=False)

    def name(self, key: str) -> str:
        """Return a name."""
        return self.text(key, NAME_PATTERN, NAME_RULE)

    def text(self, key: str, pattern: re.Pattern[str], rule: str) -> str:
        """Return a string that matches a pattern; ``rule`` describes it."""
        found = self._get(key, str, 'a string', None)
        if pattern.fullmatch(found) is None:
            raise self.out_of_range(key, rule)
        return str(found)

    def integer(
        self, key: str, bounds: tuple[int, int], default: int | None = None
    ) -> int:
        """Return an integer within inclusive bounds."""
        low, high = bounds
        found = self._get(key, int, 'an integer', default)
        if not low <= found <= high:
            raise self.out_of_range(key, f'{low} to {high}')
        return int(found)

    def flag(self, key: str, default: bool) -> bool:
        """Return a boolean."""
        return bool(self._get(key, bool, 'true or false', default))

    def choice(self, key: str, default: Choice) -> Choice:
        """Return a member of the enumeration that the default belongs to."""
        found = self._get(key, str, 'a string', default.value)
        members = {member.value: member for member in type(default)}
        if found not in members:
            raise self.out_of_range(key, ' or '.join(members))
        return members[found]

    def texts(self, key: str, rule: str) -> tuple[str, ...]:
        """Return a list of strings that is not empty."""
        found = self._get(key, list, 'a list of strings', None)
        if any(type(text) is not str for text in found):
            raise self._wrong_type(key, 'a list of strings')
        if not found:
            raise self.out_of_range(key, rule)
        return tuple(found)

    def table(self, key: str) -> 'Table':
        """Return a nested table."""
        found = self._get(key, dict, 'a table', None)
        return Table(self._nested_location(key), found)

    def tables(self, key: str) -> tuple['Table', ...]:
        """Return an array of tables, empty if the key is absent."""
        found = self._get(key, list, 'an array of tables', [])
        if any(type(table) is not dict for table in found):
            raise self._wrong_type(key, 'an array of tables')
        return tuple(
            Table(self._nested_location(f'{key}[{index}]'), table)
            for index, table in enumerate(found)
        )

    def allow_only(self, *known: str) -> None:
        """Raise ``UNKNOWN_KEY`` for the first key that is not listed."""
        for key in self.contents:
            if key not in known:
                raise configuration_error(
                    ResultCode.UNKNOWN_KEY,
                    self.location,
                    _format_key(self.location, key),
                    self.contents[key],
                    ', '.join(known),
                )

    def out_of_range(self, key: str, allowed: str) -> ConfigurationError:
        """Build the error for a value that is out of range."""
        return configuration_error(
            ResultCode.OUT_OF_RANGE,
            self.location,
            key,
            self.contents.get(key),
            allowed,
        )

    def _get(self, key: str, kind: type, allowed: str, default: Any) -> Any:
        found = self.contents.get(key, default)
        if found is None:
            raise configuration_error(
                ResultCode.MISSING_KEY, self.location, key, 'nothing', allowed
            )
        if type(found) is not kind:
            raise self._wrong_type(key, allowed)
        return found

    def _wrong_type(self, key: str, allowed: str) -> ConfigurationError:
        return configuration_error(
            ResultCode.WRONG_TYPE,
            self.location,
            key,
            self.contents.get(key),
            allowed,
        )

    def _nested_location(self, key: str) -> SourceLocation:
        if self.location.table == 'top level':
            return SourceLocation(self.location.file, key)
        return SourceLocation(
            self.location.file, f'{self.location.table}.{key}'
        )


def _format_key(location: SourceLocation, key: str) -> str:
    if location.table.startswith(_KEYS_TABLE):
        return 'an unknown key'
    return key if NAME_PATTERN.fullmatch(key) else repr(key)[:_MAX_SHOWN_LENGTH]


def _format_value(location: SourceLocation, found: object) -> str:
    # An operator may have pasted a key instead of its digest, and messages
    # must not reveal keys.
    if location.table.startswith(_KEYS_TABLE):
        return f'a hidden value of type {type(found).__name__}'
    try:
        return repr(found)[:_MAX_SHOWN_LENGTH]
    except (ValueError, RecursionError):
        return f'an unprintable value of type {type(found).__name__}'
