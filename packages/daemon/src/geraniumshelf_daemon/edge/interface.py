"""Interface between the daemon and a platform; an adapter implements it."""

from collections.abc import Callable, Mapping
from enum import Enum, unique
from typing import Final, Protocol

from attrs import field, frozen
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.placement.server_limits import (
    LimitStatement,
    NoLimit,
)
from geraniumshelf_core.site.model import ListedServer, SiteConfiguration
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.eras import StoreEras


@frozen
class CallerFields:
    """Values in the headers of a request.

    Attributes:
        request_id: Identifier of this attempt of the caller.
        key: API key of a client account, empty if there is none.
        object_name: Object that the request concerns, empty if it names none.
        timeout: Time that the caller waits, ``None`` if not stated.
    """

    request_id: str
    key: str = field(repr=False)
    object_name: str
    timeout: Nanoseconds | None


@frozen
class ForwardedFields:
    """Values added to the headers of a request to a backend server.

    Attributes:
        server_name: Server for which the request is meant.
        account: Client account, empty on open routes.
        time_left: Time until the caller stops waiting.
    """

    server_name: str
    account: str
    time_left: Nanoseconds


@frozen
class ReportedLoad:
    """Load of a server when it sent a response.

    Attributes:
        running: Requests that it ran.
        waiting: Requests that waited for a slot.
        speed: Multiple of the usual time that work took there, ``None`` if not
            stated.
    """

    running: int
    waiting: int
    speed: float | None = None


@frozen
class ResponseFields:
    """Values in the headers of a response.

    Attributes:
        request_ids: Ids of the requests that it names; a valid response
            names one.
        is_signed: Whether the server signed it.
        is_not_run: Whether the server did not run the request.
        is_misdirected: Whether another server now uses the address.
        load: Load of the server, ``None`` if not stated.
        is_leaving: Whether the server is about to leave.
        pause: Time for which a full server wants no requests, ``None`` if not
            stated.
        idle_time: Time for which the server keeps idle connections, ``None``
            if not stated.
        limit: What it says about a limit of the server.
    """

    request_ids: tuple[str, ...]
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    load: ReportedLoad | None
    is_leaving: bool = False
    pause: Nanoseconds | None = None
    idle_time: Nanoseconds | None = None
    limit: LimitStatement = field(factory=NoLimit)


@frozen
class HealthFields:
    """Values in the headers of a response to a health check.

    Attributes:
        server_name: Server that responded, empty if not stated.
        cold_left: Time for which the server stays cold.
        limit: What the response says about a limit of the server.
    """

    server_name: str
    cold_left: Nanoseconds
    limit: LimitStatement = field(factory=NoLimit)


class HeaderCodec(Protocol):
    """Reads and writes the headers of callers and backend servers."""

    def read_request(self, headers: HTTPHeaders) -> CallerFields:
        """Return the values in the headers of a request.

        Raises:
            RequestRefused: ``MALFORMED_REQUEST`` if headers contradict each
                other.
        """

    def write_request(
        self, headers: HTTPHeaders, key: str, fields: ForwardedFields
    ) -> HTTPHeaders:
        """Return the headers for a backend server, without the key."""

    def forward_request(
        self, headers: HTTPHeaders, time_left: Nanoseconds | None
    ) -> HTTPHeaders:
        """Return the headers for another daemon, with the key.

        Args:
            headers: Headers as the caller sent them.
            time_left: Time until the caller stops waiting, ``None`` if it has
                not stated a time.
        """

    def read_response(
        self, status: int, headers: HTTPHeaders
    ) -> ResponseFields:
        """Return the values in the headers of a response."""

    def read_health(self, headers: HTTPHeaders) -> HealthFields:
        """Return the values in the headers of a health response."""


@unique
class RecordKind(Enum):
    """Kinds of objects that the store holds for the daemon."""

    CONFIGURATION = 'configuration'
    SERVERS = 'servers'
    EVACUATIONS = 'evacuations'
    INSTANCES = 'instances'


@frozen
class ListedInstance:
    """Store entry of an instance that runs, or once ran, a daemon.

    Attributes:
        name: Instance name.
        zone: Its availability zone.
        ip: Its IP address.
        cores: CPU capacity that the platform assigns to it, in cores.
    """

    name: str
    zone: str
    ip: str
    cores: float


@frozen
class EvacuatedZone:
    """A zone whose servers get no new work."""

    zone: str


# Precedes every revision of a store.
_UNKNOWN: Final = StoreRevision()

Record = SiteConfiguration | ListedServer | EvacuatedZone | ListedInstance


@frozen
class RecordSet:
    """Objects of one kind, all or only changed ones, up to a revision.

    Attributes:
        revision: Revision of the store.
        records: Records by name; ``None`` for a removed or unreadable one.
        last_change_revision: Revision of the last change among them; the
            smallest revision if not known.
    """

    revision: StoreRevision
    records: Mapping[str, Record | None]
    last_change_revision: StoreRevision = _UNKNOWN


class PlatformStore(Protocol):
    """The platform's store; each call may raise ``PlatformError``.

    ``ANSWER_OUTDATED`` means that a response belongs to an earlier era than one
    that was seen before.
    """

    @property
    def eras(self) -> StoreEras:
        """Return the known eras of the store."""

    async def list_records(
        self, kind: RecordKind, *, allow_stale: bool = False
    ) -> RecordSet:
        """Return all objects of a kind.

        Args:
            kind: Kind of objects to list.
            allow_stale: Whether the response may be some seconds old.
        """

    async def watch_records(
        self,
        kind: RecordKind,
        after: StoreRevision,
        wait_s: float,
        on_response_start: Callable[[], None],
    ) -> RecordSet:
        """Wait for changes after a revision and return them.

        Args:
            kind: Kind of objects to watch.
            after: Revision after which changes are returned.
            wait_s: Maximum time to wait for a change, seconds.
            on_response_start: Called when the response begins, as it may
                be long.

        ``WATCH_TOO_OLD`` means that the caller must list again; it is also
        raised for a revision of an earlier era.
        """

    async def register(self, instance: ListedInstance) -> None:
        """Store the entry of an instance, replacing an existing one."""
