"""What went over one direction of a link, and for whom."""

from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

_BURSTS_PER_S: Final = 50
# Bytes that may be ahead of the link's rate, as time on the link.
BURST_NS: Nanoseconds = SECOND_NS // _BURSTS_PER_S
# A flow that has sent nothing for this time no longer claims a share.
ACTIVE_NS: Nanoseconds = SECOND_NS
# Traffic that may wait counts a tenth of other traffic of its service.
URGENT_FACTOR = 10


@frozen
class FlowKey:
    """The traffic of a client account with a service.

    Attributes:
        weight: Weight of the service on links.
        may_wait: Whether it yields to other traffic.
    """

    service: str
    account: str
    weight: int = 1
    may_wait: bool = False


@define
class Flow:
    """When a flow may send.

    Attributes:
        next_at: Time from which it may send within its share.
        requested_at: Time at which it last wanted to send.
    """

    next_at: Nanoseconds
    requested_at: Nanoseconds


@define
class LinkMeter:
    """One direction of a link as far as this daemon may use it.

    Attributes:
        rate: Bytes a second.
        free_at: Time at which everything sent so far has passed.
        flows: Flows that were active lately.
    """

    rate: int
    free_at: Nanoseconds = 0
    flows: dict[FlowKey, Flow] = field(factory=dict)
