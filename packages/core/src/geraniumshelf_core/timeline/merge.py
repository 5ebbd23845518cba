"""Merging of the timelines of several processes."""

from collections.abc import Iterable

from geraniumshelf_core.timeline.event import TimelineEvent


def merge_timelines(
    events: Iterable[TimelineEvent],
) -> tuple[TimelineEvent, ...]:
    """Return events in an order in which each follows its causes.

    Duplicates are dropped. The order is by logical clock; ties are broken by
    process and sequence, so that the result is the same wherever it is
    computed.
    """
    unique = {(event.process, event.sequence): event for event in events}
    return tuple(
        sorted(
            unique.values(),
            key=lambda event: (event.clock, event.process, event.sequence),
        )
    )
