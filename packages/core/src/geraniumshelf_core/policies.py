"""Policies for overload and their constants.

Tests and the emulator disable individual policies to measure their effect.
Operators can set those that are flags of the daemon's program on a platform.
"""

from typing import Final

from attrs import frozen


@frozen
class Policies:
    """Policies that a daemon applies.

    Attributes:
        work_weight: Weight of the expected work in the selection of a server.
            Above 1, a request prefers to wait for a server that has its object
            warm.
        spills_by_load: Whether objects move out of a region whose servers are
            busy. They are cold in the other region, so the load spreads to
            more regions.
        tells_warm_by_time: Whether an object counts as warm by the time that
            its response took. Otherwise a daemon relies on the objects that it
            has sent to a server itself. It then counts objects that other
            daemons have warmed as cold, and underestimates cold work.
        crowded_above: Load of a region, as a fraction of its slots, above
            which requests that will be late give way to others.
        late_part: Load of a server, as a fraction of its slots, below which
            such a request still starts in a crowded region.
        keeps_server_limits: Whether servers get no more requests than the limit
            that they name.
        shares_readings: Whether the speeds that servers report count, and
            daemons exchange readings of servers.
        paces_servers: Whether a server that has just started or recovered gets
            requests at a pace that its responses determine.
        counts_rejections: Whether a server that rejects requests without being
            full is judged by the rate of its rejections. Otherwise it counts as
            full and failing.
        plans_by_demand: Whether spills are planned by the demand that the
            daemons report to each other, instead of by slots only.
        renews_lost_watches: Whether all watches of the store are renewed after
            one of them was lost.
        orders_tokens: Whether waiting requests of an account get tokens by
            priority, and refused ones are told different times.
        lends_tokens: Whether the tokens of a lent share go to the daemon that
            borrows it.
    """

    work_weight: float = 1
    spills_by_load: bool = False
    tells_warm_by_time: bool = True
    crowded_above: float = 0.9
    late_part: float = 0.3
    keeps_server_limits: bool = True
    shares_readings: bool = True
    paces_servers: bool = True
    counts_rejections: bool = True
    plans_by_demand: bool = True
    renews_lost_watches: bool = True
    orders_tokens: bool = True
    lends_tokens: bool = True


DEFAULT_POLICIES: Final = Policies()
