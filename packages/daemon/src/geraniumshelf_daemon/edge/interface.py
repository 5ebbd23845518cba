"""What the daemon asks of a platform; an adapter implements it."""

from collections.abc import Callable, Mapping
from enum import Enum, unique
from typing import Final, Protocol

from attrs import field, frozen
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.site.model import ListedServer, SiteConfiguration
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.eras import StoreEras


@frozen
class CallerFields:
    """What a request says of itself in its headers.

    Attributes:
        request_id: Identifier of this attempt of the caller.
        key: Key of a client account, empty if there is none.
        object_name: Object that it concerns, empty if it names none.
        timeout: Time that the caller waits, ``None`` if it is not said.
    """

    request_id: str
    key: str = field(repr=False)
    object_name: str
    timeout: Nanoseconds | None


@frozen
class ForwardedFields:
    """What a backend server is told of a request.

    Attributes:
        server_name: The server that it is meant for.
        account: Client account, empty on open routes.
        time_left: Time until the caller leaves.
    """

    server_name: str
    account: str
    time_left: Nanoseconds


@frozen
class ReportedLoad:
    """Requests of a server at the time of an answer."""

    running: int
    waiting: int


@frozen
class AnswerFields:
    """What an answer says of itself in its headers.

    Attributes:
        request_ids: Requests that it names; a sound answer names one.
        is_signed: Whether the server signed it.
        is_not_run: Whether the server did not run the request.
        is_misdirected: Whether another server has the address now.
        load: Load of the server, ``None`` if it is not said.
        is_leaving: Whether the server is about to leave.
        pause: Time for which a server that had no room wants no requests,
            ``None`` if it is not said.
        idle_time: Time for which the server keeps idle connections, ``None``
            if it is not said.
    """

    request_ids: tuple[str, ...]
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    load: ReportedLoad | None
    is_leaving: bool = False
    pause: Nanoseconds | None = None
    idle_time: Nanoseconds | None = None


@frozen
class HealthFields:
    """What a health answer says.

    Attributes:
        server_name: The server that answered, empty if it is not said.
        cold_left: Time for which it stays cold.
    """

    server_name: str
    cold_left: Nanoseconds


class HeaderCodec(Protocol):
    """Reads and writes the headers of callers and backend servers."""

    def read_request(self, headers: HTTPHeaders) -> CallerFields:
        """Return what a request says of itself.

        Raises:
            RequestRefused: ``MALFORMED_REQUEST`` if it is contradictory.
        """

    def write_request(
        self, headers: HTTPHeaders, key: str, fields: ForwardedFields
    ) -> HTTPHeaders:
        """Return the headers for a backend server, without the key."""

    def read_answer(self, status: int, headers: HTTPHeaders) -> AnswerFields:
        """Return what an answer says of itself."""

    def read_health(self, headers: HTTPHeaders) -> HealthFields:
        """Return what a health answer says."""


@unique
class SiteKind(Enum):
    """What the store holds for the daemon."""

    CONFIGURATION = 'configuration'
    SERVERS = 'servers'
    EVACUATIONS = 'evacuations'
    INSTANCES = 'instances'


@frozen
class ListedInstance:
    """An instance that runs, or once ran, a daemon.

    Attributes:
        name: Instance name.
        zone: Its availability zone.
        ip: Its IP address.
        cores: Processor that the platform gives it, in cores.
    """

    name: str
    zone: str
    ip: str
    cores: float


@frozen
class EvacuatedZone:
    """A zone whose servers get no new work."""

    zone: str


# Before every revision of a store.
_UNKNOWN: Final = StoreRevision()

Record = SiteConfiguration | ListedServer | EvacuatedZone | ListedInstance


@frozen
class SiteView:
    """Objects of one kind up to a revision of the store.

    Attributes:
        revision: Revision of the store.
        records: Record by name; ``None`` for a removed or unreadable one.
        last_change_revision: Revision of the last change among them; the least
            one if it isn't known.
    """

    revision: StoreRevision
    records: Mapping[str, Record | None]
    last_change_revision: StoreRevision = _UNKNOWN


class SiteStore(Protocol):
    """The platform's store; each call may raise ``PlatformError``.

    ``ANSWER_OUTDATED`` stands for an answer of an earlier era than one that was
    seen.
    """

    @property
    def eras(self) -> StoreEras:
        """Return what is known of the eras of the store."""

    async def list_records(
        self, kind: SiteKind, *, allow_stale: bool = False
    ) -> SiteView:
        """Return all objects of a kind.

        Args:
            kind: What to list.
            allow_stale: Whether an answer that is seconds old will do.
        """

    async def watch_records(
        self,
        kind: SiteKind,
        after: StoreRevision,
        wait_s: float,
        on_begin: Callable[[], None],
    ) -> SiteView:
        """Return the changes after a revision, once there are any.

        Args:
            kind: What to watch.
            after: The revision.
            wait_s: Longest time to wait for a change, seconds.
            on_begin: Called when the answer begins; it may be long.

        ``WATCH_TOO_OLD`` asks the caller to list again, also after a revision
        of an earlier era.
        """

    async def register(self, instance: ListedInstance) -> None:
        """Store the entry of an instance; nothing happens if it is there."""
