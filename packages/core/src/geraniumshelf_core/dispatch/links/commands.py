"""Decides when a chunk may go over a link."""

from geraniumshelf_core.dispatch.links.state import (
    ACTIVE_NS,
    BURST_NS,
    URGENT_FACTOR,
    Flow,
    FlowKey,
    LinkMeter,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds


def try_send(
    meter: LinkMeter, name: FlowKey, size: int, now: Nanoseconds
) -> Nanoseconds:
    """Count a chunk if it may go now.

    A flow within its share goes as soon as the link has room; beyond its
    share it goes only when the link is idle.

    Args:
        meter: The direction of the link.
        name: The flow.
        size: Bytes of the chunk.
        now: Current time.

    Returns:
        0 if the chunk may go and was counted, otherwise the time after which
        to ask again, nanoseconds.
    """
    _forget_idle(meter, now)
    flow = meter.flows.setdefault(name, Flow(now, now))
    flow.requested_at = now
    within_share = max(flow.next_at, meter.free_at - BURST_NS)
    allowed_at = min(within_share, meter.free_at)
    if allowed_at > now:
        return allowed_at - now
    on_link = size * SECOND_NS // meter.rate
    meter.free_at = max(meter.free_at, now) + on_link
    total = sum(_weight(other) for other in meter.flows)
    earliest = max(flow.next_at, now - BURST_NS)
    flow.next_at = earliest + on_link * total // _weight(name)
    return 0


def _forget_idle(meter: LinkMeter, now: Nanoseconds) -> None:
    for name, flow in tuple(meter.flows.items()):
        if max(flow.requested_at, flow.next_at) + ACTIVE_NS < now:
            meter.flows.pop(name)


def _weight(name: FlowKey) -> int:
    return name.weight if name.may_wait else name.weight * URGENT_FACTOR
