"""One time line out of those of many processes."""

from collections.abc import Iterable

from geraniumshelf_core.timeline.event import TimelineEvent


def merge_timelines(
    events: Iterable[TimelineEvent],
) -> tuple[TimelineEvent, ...]:
    """Order events so that each follows its causes; duplicates are dropped.

    Logical clocks alone decide; ties are broken by process and sequence, so
    that the order is the same wherever it is computed.
    """
    unique = {(event.process, event.sequence): event for event in events}
    return tuple(
        sorted(
            unique.values(),
            key=lambda event: (event.clock, event.process, event.sequence),
        )
    )
