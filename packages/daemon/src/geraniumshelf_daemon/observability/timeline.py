"""Latest events of this daemon, for the timeline of operators."""

from collections import deque
from collections.abc import Mapping
from typing import Final

from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_core.timeline.event import TimelineEvent
from geraniumshelf_daemon.observability.events import Event

_DEFAULT_MAX_EVENTS: Final = 4096


class TimelineBuffer:
    """Keeps the latest events and evicts the oldest when it is full."""

    def __init__(
        self,
        process: str,
        clock: LogicalClock,
        max_events: int = _DEFAULT_MAX_EVENTS,
    ) -> None:
        """Create an empty buffer.

        Args:
            process: Unique name of this run of the daemon.
            clock: Logical clock shared with the messages between peers.
            max_events: Maximum number of events kept.
        """
        self._process = process
        self._clock = clock
        self._events: deque[TimelineEvent] = deque(maxlen=max_events)
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
        """Return the stored events, oldest first."""
        return tuple(self._events)
