"""The latest events of this daemon for the operators' time line."""

from collections import deque
from collections.abc import Mapping
from typing import Final

from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_core.timeline.event import TimelineEvent
from geraniumshelf_daemon.observability.events import Event

_DEFAULT_LIMIT: Final = 4096


class TimelineBuffer:
    """Keeps a bounded number of events; the oldest are dropped first."""

    def __init__(
        self, process: str, clock: LogicalClock, limit: int = _DEFAULT_LIMIT
    ) -> None:
        """Start empty.

        Args:
            process: Unique name of this run of the daemon.
            clock: The logical clock that peer messages also use.
            limit: Greatest number of events kept.
        """
        self._process = process
        self._clock = clock
        self._events: deque[TimelineEvent] = deque(maxlen=limit)
        self._sequence = 0

    def record(
        self, event: Event, detail: str, fields: Mapping[str, str]
    ) -> None:
        """Add an event at the next value of the logical clock."""
        self._sequence += 1
        self._events.append(
            TimelineEvent(
                clock=self._clock.tick(),
                process=self._process,
                sequence=self._sequence,
                event=event.value,
                name=event.name,
                detail=detail,
                fields=tuple(fields.items()),
            )
        )

    def events(self) -> tuple[TimelineEvent, ...]:
        """Return the events kept, oldest first."""
        return tuple(self._events)
