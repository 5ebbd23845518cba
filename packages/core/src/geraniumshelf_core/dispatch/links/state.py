"""Traffic on one direction of a link, by flow."""

from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

_BURSTS_PER_S: Final = 50
# Burst that may be sent ahead of the link rate, as time on the link.
BURST_NS: Nanoseconds = SECOND_NS // _BURSTS_PER_S
# A flow that has been idle for this time no longer counts in the shares.
FLOW_IDLE_TIMEOUT_NS: Nanoseconds = SECOND_NS
# Traffic that may wait has a tenth of the weight of other traffic of its
# service.
URGENT_FACTOR = 10


@frozen
class FlowKey:
    """Key of a flow: the traffic of a client account with a service.

    Attributes:
        service: Service name.
        account: Client account.
        weight: Weight of the service on links.
        may_wait: Whether it has a lower weight than other traffic.
    """

    service: str
    account: str
    weight: int = 1
    may_wait: bool = False


@define
class Flow:
    """State of a flow.

    Attributes:
        next_at: Time from which it may send within its share.
        requested_at: Time of its last request to send.
    """

    next_at: Nanoseconds
    requested_at: Nanoseconds


@define
class LinkMeter:
    """Meter of one direction of a link, for the part this daemon may use.

    Attributes:
        rate: Bytes a second that this daemon may send.
        free_at: Time at which everything sent so far has left the link.
        flows: Recently active flows.
    """

    rate: int
    free_at: Nanoseconds = 0
    flows: dict[FlowKey, Flow] = field(factory=dict)
