"""What a daemon knows of the members."""

from typing import Final

from attrs import Factory, define, frozen

from geraniumshelf_core.messages.membership import Heartbeat, Hello
from geraniumshelf_core.roster.state import Roster
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

SILENCE_LIMIT_NS: Final[Nanoseconds] = 3 * SECOND_NS

# A contact that is newer by this much is told at once in a tree; it bounds
# the heartbeats to two a second.
CONTACT_STEP: Final[Nanoseconds] = SECOND_NS // 2
# A contact that is newer by this much ends a gap, also in a mesh.
LATE_CONTACT: Final[Nanoseconds] = SILENCE_LIMIT_NS // 2


@frozen
class ListedMember:
    """An entry of the platform's instance list.

    Attributes:
        instance: Instance name.
        zone: Its availability zone.
        peer_address: Where peers reach it.
        is_leaving: Whether the platform is about to stop it.
    """

    instance: str
    zone: str
    peer_address: str
    is_leaving: bool


@define
class PeerRecord:
    """A peer that has been linked.

    Attributes:
        hello: Its introduction.
        heartbeat: Its last heartbeat, if any arrived.
        last_heard_at: When it was last heard.
    """

    hello: Hello
    heartbeat: Heartbeat | None
    last_heard_at: Nanoseconds


@frozen
class Member:
    """A live member.

    Attributes:
        hello: Its introduction.
        slot: Slot held, ``zone/number``, or empty.
        window: Its current request id window.
        revision: Its configuration revision in force, 0 for none.
        is_leaving: Whether it or the platform says that it is shutting down.
    """

    hello: Hello
    slot: str
    window: int
    revision: int
    is_leaving: bool


@define
class OwnStatus:
    """What the daemon tells about itself in heartbeats.

    Attributes:
        slot: Slot held, ``zone/number``, or empty.
        window: Current request id window.
        is_leaving: Whether it is shutting down.
        sequence: Number of the last heartbeat.
        confirmed_revision: Revision that other zones must know to be in force
            here.
        is_failed_watcher: Whether it watches the platform without reaching it.
    """

    slot: str = ''
    window: int = 0
    is_leaving: bool = False
    sequence: int = 0
    confirmed_revision: int = 0
    is_failed_watcher: bool = False


@define
class MembershipState:
    """Members as far as they are known.

    Attributes:
        own: Introduction of this daemon.
        status: What it tells about itself.
        listed: Entries of the newest instance list by name.
        listed_at: When that list was read from the platform.
        known_peers: Peers by name.
        contact_at: When this daemon, or one of its zone, last had contact
            with the platform or another zone.
        announced_contact_at: The contact that the last heartbeat told of.
        started_at: When this daemon started; its links come up for a while.
        roster: The table of all members.
        link_targets_since: Since when each instance is to be linked to.
        watching_since: Since when this daemon watches the platform.
        platform_at: When this daemon itself last reached the platform.
        probe_at: When a daemon that does not reach it tries again.
        probe_wait: Time before the last such try.
        zones: Zone of each instance, kept by the query for it.
        zones_key: What that was made from.
        links: Instances to link to by these zones, once they were asked for.
        order: Instances of the own zone in rank order, in the same way.
    """

    own: Hello
    status: OwnStatus = Factory(OwnStatus)
    listed: dict[str, ListedMember] = Factory(dict)
    listed_at: Nanoseconds | None = None
    known_peers: dict[str, PeerRecord] = Factory(dict)
    contact_at: Nanoseconds | None = None
    announced_contact_at: Nanoseconds | None = None
    started_at: Nanoseconds | None = None
    roster: Roster = Factory(Roster)
    link_targets_since: dict[str, Nanoseconds] = Factory(dict)
    watching_since: Nanoseconds | None = None
    platform_at: Nanoseconds | None = None
    probe_at: Nanoseconds = 0
    probe_wait: Nanoseconds = 0
    zones: dict[str, str] = Factory(dict)
    zones_key: tuple[object, ...] = ()
    links: frozenset[str] | None = None
    order: tuple[str, ...] | None = None
