"""State in which a daemon keeps what it knows of the members."""

from typing import Final

from attrs import Factory, define, frozen

from geraniumshelf_core.messages.membership import Heartbeat, Hello
from geraniumshelf_core.roster.state import Roster
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# A peer that has been silent for longer than this is not live, and a zone
# without contact for longer than this is cut off.
SILENCE_LIMIT_NS: Final[Nanoseconds] = 3 * SECOND_NS

# In a tree, a contact that is newer than the last announced one by this much
# is announced at once. This bounds the heartbeats to two a second.
CONTACT_STEP_NS: Final[Nanoseconds] = SECOND_NS // 2
# A contact that is newer than the last announced one by this much ends a gap.
# A watcher then announces it at once in a full mesh, too.
CONTACT_GAP_NS: Final[Nanoseconds] = SILENCE_LIMIT_NS // 2


@frozen
class ListedMember:
    """An entry of the platform's instance list.

    Attributes:
        instance: Instance name.
        zone: Availability zone of the instance.
        peer_address: Address at which peers reach the instance.
        is_leaving: Whether the platform is about to stop the instance.
    """

    instance: str
    zone: str
    peer_address: str
    is_leaving: bool


@define
class PeerRecord:
    """A peer that is or recently was linked to this daemon.

    Attributes:
        hello: Introduction of the peer.
        heartbeat: Last heartbeat of the peer, ``None`` before the first one.
        last_heard_at: When the last introduction or heartbeat arrived.
    """

    hello: Hello
    heartbeat: Heartbeat | None
    last_heard_at: Nanoseconds


@frozen
class Member:
    """A live member.

    Attributes:
        hello: Introduction of the member.
        slot: Slot held, ``zone/number``, or empty.
        window: Current request id window of the member.
        revision: Configuration revision in force at the member, 0 for none.
        is_leaving: Whether the member or the platform reports that the member
            is shutting down.
    """

    hello: Hello
    slot: str
    window: int
    revision: int
    is_leaving: bool


@define
class OwnStatus:
    """What this daemon reports of itself to peers.

    Attributes:
        slot: Slot held, ``zone/number``, or empty.
        window: Current request id window.
        is_leaving: Whether this daemon is shutting down.
        sequence: Number of the last heartbeat sent.
        confirmed_revision: Revision that other zones must know to be in force
            here.
        is_failed_watcher: Whether this daemon was a watcher, could not reach
            the platform and has not reached it since.
    """

    slot: str = ''
    window: int = 0
    is_leaving: bool = False
    sequence: int = 0
    confirmed_revision: int = 0
    is_failed_watcher: bool = False


@define
class MembershipState:
    """What this daemon knows of the members.

    Attributes:
        own: Introduction of this daemon.
        status: What this daemon reports of itself.
        listed: Entries of the newest instance list by name.
        listed_at: When that list was read from the platform.
        known_peers: Peers that are or recently were linked, by instance name.
        contact_at: When this daemon, or one of its zone, last had contact
            with the platform or another zone.
        announced_contact_at: Time of the contact that the last heartbeat
            announced.
        started_at: When this daemon started. For a while after that, links
            are still being established.
        roster: The table of all members.
        link_targets_since: Since when each instance has been a link target.
        watching_since: Since when this daemon has been a watcher, ``None`` if
            it is not one.
        platform_at: When this daemon itself last reached the platform.
        probe_at: When a failed watcher next probes the platform.
        probe_wait: Backoff before that probe.
        zones: Cached zone of each instance.
        zones_key: Key of that cache, made from its sources.
        linked_names: Cached instances to link to, ``None`` until computed
            from ``zones``.
        zone_ranking: Cached instances of the own zone in rank order,
            ``None`` until computed from ``zones``.
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
    linked_names: frozenset[str] | None = None
    zone_ranking: tuple[str, ...] | None = None
