"""Decides when a chunk may be sent over a link."""

from geraniumshelf_core.dispatch.links.state import (
    BURST_NS,
    FLOW_IDLE_TIMEOUT_NS,
    URGENT_FACTOR,
    Flow,
    FlowKey,
    LinkMeter,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds


def try_send(
    meter: LinkMeter, key: FlowKey, size: int, now: Nanoseconds
) -> Nanoseconds:
    """Count a chunk if it may be sent now.

    A flow within its share may send as soon as the link has capacity. Beyond
    its share, it may send only while the link is idle.

    Args:
        meter: The direction of the link.
        key: Key of the flow.
        size: Bytes of the chunk.
        now: Current time.

    Returns:
        0 if the chunk may be sent and was counted, otherwise the time after
        which to try again, nanoseconds.
    """
    _expire_idle_flows(meter, now)
    flow = meter.flows.setdefault(key, Flow(now, now))
    flow.requested_at = now
    share_allows_at = max(flow.next_at, meter.free_at - BURST_NS)
    allowed_at = min(share_allows_at, meter.free_at)
    if allowed_at > now:
        return allowed_at - now
    send_time = size * SECOND_NS // meter.rate
    meter.free_at = max(meter.free_at, now) + send_time
    total_weight = sum(_weight(other) for other in meter.flows)
    start = max(flow.next_at, now - BURST_NS)
    flow.next_at = start + send_time * total_weight // _weight(key)
    return 0


def _expire_idle_flows(meter: LinkMeter, now: Nanoseconds) -> None:
    for key, flow in tuple(meter.flows.items()):
        if max(flow.requested_at, flow.next_at) + FLOW_IDLE_TIMEOUT_NS < now:
            meter.flows.pop(key)


def _weight(key: FlowKey) -> int:
    return key.weight if key.may_wait else key.weight * URGENT_FACTOR
