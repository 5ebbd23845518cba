"""Messages about the members of the fleet."""

from attrs import frozen


@frozen
class Hello:
    """The introduction that both sides send first on a link.

    Attributes:
        instance: Name of the sending instance.
        zone: Availability zone of the instance.
        region: Region of the instance.
        caller_address: Address at which callers reach the instance.
        peer_address: Address at which peers reach the instance.
        incarnation: Random number of this run of the daemon.
    """

    instance: str
    zone: str
    region: str
    caller_address: str
    peer_address: str
    incarnation: int


@frozen
class Heartbeat:
    """A message that each daemon sends to its peers at regular intervals.

    Attributes:
        incarnation: Incarnation of the sender.
        sequence: Number of this heartbeat within the incarnation.
        revision: Configuration revision in force, 0 for none.
        slot: Slot held, ``zone/number``, or empty.
        window: Current request id window of the sender.
        is_leaving: Whether the sender is shutting down.
        platform_age_ms: Time since the sender, or a daemon of its zone, had
            contact with the platform or with another zone, milliseconds; -1
            for never.
    """

    incarnation: int
    sequence: int
    revision: int
    slot: str
    window: int
    is_leaving: bool
    platform_age_ms: int


@frozen
class Failure:
    """The reply to a request that a peer could not carry out.

    Attributes:
        code: Number of the result code.
        detail: One sentence for people.
    """

    code: int
    detail: str


@frozen
class MemberList:
    """The newest instance list that the sender knows.

    Attributes:
        age_ms: Time since the list was read from the platform, milliseconds.
        members: Rows of instance name, zone, peer address and whether the
            instance is leaving.
    """

    age_ms: int
    members: tuple[tuple[str, str, str, bool], ...]


@frozen
class MemberListChange:
    """A newer instance list, given by its differences from an older one.

    Attributes:
        age_ms: Time since the newer list was read from the platform,
            milliseconds.
        base: Digest of the older list.
        changed: Rows of new and changed members, as in ``MemberList``.
        removed: Names of members that are no longer listed.
    """

    age_ms: int
    base: int
    changed: tuple[tuple[str, str, str, bool], ...]
    removed: tuple[str, ...]


@frozen
class MemberListPull:
    """A request for the whole instance list."""
