"""Reports of commands, printed as text or JSON."""

import json
from collections.abc import Sequence
from typing import Any

from attrs import field, frozen

from geraniumshelf_cli.exit_codes import ExitCode
from geraniumshelf_core.configuration.comparison import Change
from geraniumshelf_core.errors import GeraniumshelfError


@frozen
class Report:
    """The report of a command.

    Attributes:
        lines: Lines of the text output.
        fields: Content of the JSON output.
        exit_code: Exit code of the process.
    """

    lines: tuple[str, ...] = field(repr=False)
    fields: dict[str, Any] = field(repr=False)
    exit_code: ExitCode = ExitCode.DONE

    def render(self, *, as_json: bool) -> str:
        """Return the text to print."""
        if as_json:
            return json.dumps(self.fields, indent=2, sort_keys=True)
        return '\n'.join(self.lines)


def render_error(error: GeraniumshelfError, *, as_json: bool) -> str:
    """Return the text to print for an error."""
    if not as_json:
        return f'geraniumshelf: {error}'
    return json.dumps(
        {
            'code': error.code.value,
            'name': error.code.name,
            'detail': error.detail,
        },
        indent=2,
        sort_keys=True,
    )


def change_lines(changes: Sequence[Change]) -> tuple[str, ...]:
    """Return a line of text for each change."""
    return tuple(
        f'{change.action.value} {change.kind}[{change.name}] {change.detail}'
        for change in changes
    )


def change_fields(changes: Sequence[Change]) -> list[dict[str, str]]:
    """Return the fields of each change for JSON output."""
    return [
        {
            'kind': change.kind,
            'name': change.name,
            'action': change.action.value,
            'detail': change.detail,
        }
        for change in changes
    ]
