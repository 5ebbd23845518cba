"""Configuration of the log and format of its lines."""

import json
import sys
from enum import Enum, unique
from typing import TYPE_CHECKING, Final, TextIO

from loguru import logger

from geraniumshelf_daemon.observability.redaction import (
    redact_fields,
    redact_text,
)

if TYPE_CHECKING:
    from loguru import Message

_TEXT_FORMAT: Final = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}'


@unique
class LogFormat(Enum):
    """Formats of a log line."""

    TEXT = 'text'
    JSON = 'json'


def configure_logging(
    log_format: LogFormat,
    level: str = 'INFO',
    stream: TextIO | None = None,
) -> None:
    """Write all log lines to one stream, with keys redacted.

    Args:
        log_format: Text for people or one JSON object per line.
        level: Lowest level that is written, as a level name of loguru.
        stream: Destination; standard error by default.
    """
    target = stream or sys.stderr

    def write(message: 'Message') -> None:
        target.write(format_message(message, log_format))

    logger.remove()
    # ``diagnose`` would print the values of local variables in tracebacks,
    # which may contain keys of callers.
    logger.add(
        write,
        level=level,
        format=_TEXT_FORMAT,
        diagnose=False,
        backtrace=False,
    )


def format_message(message: 'Message', log_format: LogFormat) -> str:
    """Return the log line of a message, with keys redacted."""
    if log_format is LogFormat.TEXT:
        return redact_text(str(message))
    record = message.record
    extra = record['extra']
    line: dict[str, object] = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'message': redact_text(record['message']),
        **redact_fields(extra),
        'event': extra.get('event', 0),
    }
    if record['exception'] is not None:
        line['exception'] = redact_text(str(message))
    return f'{json.dumps(line)}\n'
