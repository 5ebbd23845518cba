"""What one daemon knows of the others by their heartbeats."""

from attrs import define, field, frozen

from geraniumshelf_core.units import Nanoseconds


@frozen
class Beat:
    """A sign of life of a daemon.

    Attributes:
        name: Instance name.
        incarnation: Random number of this run of the daemon.
        sequence: Number of the beat in this run.
        zone: Availability zone.
        ip: IP address.
        front_address: Where callers send requests.
        is_ready: Whether it takes callers.
        known: IP addresses of the instances that it knows.
    """

    name: str
    incarnation: int
    sequence: int
    zone: str
    ip: str
    front_address: str
    is_ready: bool
    known: tuple[str, ...] = ()


@frozen
class ShareRequest:
    """A question for a part of the shares of client accounts.

    Attributes:
        name: Instance that asks.
        asked_at: Time of the question by its own clock.
        wanted: Wanted part by account, in shares of one daemon.
    """

    name: str
    asked_at: Nanoseconds
    wanted: dict[str, float]


@frozen
class ShareLoan:
    """The answer to a ``ShareRequest``.

    Attributes:
        name: Instance that lends.
        asked_at: Time of the question by the borrower's clock.
        lent: Lent part by account, in shares of one daemon.
    """

    name: str
    asked_at: Nanoseconds
    lent: dict[str, float]


@define
class Neighbour:
    """Another daemon.

    Attributes:
        beat: Its newest beat.
        heard_at: Time of the beat.
    """

    beat: Beat
    heard_at: Nanoseconds


@define
class PresenceState:
    """All daemons that this one has heard or read of.

    Attributes:
        own_ip: IP address of this instance.
        neighbours: The others by instance name.
        targets: IP addresses to send beats to, with the name of the
            instance if it is known.
        registered: Zone of every instance that is or was registered.
        is_complete: Whether the registry has been read.
    """

    own_ip: str
    neighbours: dict[str, Neighbour] = field(factory=dict)
    targets: dict[str, str] = field(factory=dict)
    registered: dict[str, str] = field(factory=dict)
    is_complete: bool = False
