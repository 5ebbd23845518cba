"""The configuration in force, with its head and parts."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum, unique
from typing import Protocol

from attrs import frozen

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_daemon.observability.events import Event, log_event


class ConfigurationFormat(Protocol):
    """Decodes heads and parts.

    Each call may raise any exception on malformed input.
    """

    def decode_head(self, encoded: bytes) -> tuple[int, tuple[str, ...]]:
        """Return the revision and the digests of the parts in order."""

    def digest(self, content: bytes) -> str:
        """Return the digest that identifies a part."""

    def join(self, contents: Sequence[bytes]) -> Configuration:
        """Return the configuration decoded from all parts in order."""


@unique
class OfferOutcome(Enum):
    """Outcome of the offer of a head."""

    IN_FORCE = 'in force'
    IGNORED = 'ignored'
    INCOMPLETE = 'incomplete'
    REFUSED = 'refused'


@frozen
class OfferResult:
    """Result of the offer of a head.

    Attributes:
        outcome: Whether the head came into force.
        missing: Digests of the parts that are missing to put it in force.
    """

    outcome: OfferOutcome
    missing: tuple[str, ...] = ()


class ConfigurationHolder:
    """Implements ``ConfigurationSource``; the revision never decreases.

    Damaged or contradicting heads and parts are refused, which logs event 203
    and changes nothing.
    """

    def __init__(self, decoder: ConfigurationFormat) -> None:
        self._decoder = decoder
        self._revision = 0
        self._configuration: Configuration | None = None
        self._head = b''
        self._parts: dict[str, bytes] = {}
        self._new_parts: tuple[bytes, ...] = ()
        self._staged: dict[str, bytes] = {}
        self._listeners: list[Callable[[Configuration], None]] = []

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 for none."""
        return self._revision

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, ``None`` before the first."""
        return self._configuration

    @property
    def head(self) -> bytes:
        """Return the encoded head in force, empty if there is none."""
        return self._head

    @property
    def parts(self) -> Mapping[str, bytes]:
        """Return the parts in force by digest."""
        return self._parts

    @property
    def new_parts(self) -> tuple[bytes, ...]:
        """Return the parts that were not in the previous revision."""
        return self._new_parts

    @property
    def known_digests(self) -> tuple[str, ...]:
        """Return the digests of the parts in force and of staged parts."""
        return (*self._parts, *self._staged)

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(self, head: bytes, contents: Iterable[bytes]) -> OfferResult:
        """Put a head in force if it is newer and all its parts are known.

        The parts of an incomplete offer are staged for the next offer.
        """
        try:
            return self._offer(head, contents)
        except Exception as error:
            log_event(
                Event.CONFIGURATION_REFUSED,
                str(error),
                revision_in_force=self._revision,
            )
            return OfferResult(OfferOutcome.REFUSED)

    def _offer(self, head: bytes, contents: Iterable[bytes]) -> OfferResult:
        revision, digests = self._decoder.decode_head(head)
        if revision == self._revision and head != self._head:
            raise ValueError(
                f'head of revision {revision} differs from the one in force'
            )
        if revision <= self._revision:
            return OfferResult(OfferOutcome.IGNORED)
        received = {self._decoder.digest(part): part for part in contents}
        if not received.keys() <= set(digests):
            raise ValueError(
                f'received part is not in the head of revision {revision}'
            )
        known = {**self._parts, **self._staged, **received}
        missing = tuple(name for name in digests if name not in known)
        self._staged = {
            name: known[name]
            for name in digests
            if name in known and name not in self._parts
        }
        if missing:
            return OfferResult(OfferOutcome.INCOMPLETE, missing)
        parts = {name: known[name] for name in digests}
        configuration = self._decoder.join([known[name] for name in digests])
        self._head = head
        self._put_in_force(revision, configuration, parts)
        return OfferResult(OfferOutcome.IN_FORCE)

    def _put_in_force(
        self,
        revision: int,
        configuration: Configuration,
        parts: dict[str, bytes],
    ) -> None:
        self._new_parts = tuple(self._staged.values())
        self._staged = {}
        self._parts = parts
        self._configuration = configuration
        self._revision = revision
        log_event(Event.REVISION_IN_FORCE, revision=revision)
        for listener in self._listeners:
            _notify_listener(listener, configuration)


def _notify_listener(
    listener: Callable[[Configuration], None], configuration: Configuration
) -> None:
    try:
        listener(configuration)
    except Exception as error:
        # A failing listener must not keep the others from the revision.
        log_event(
            Event.TASK_FAILED, f'configuration listener failed: {error!r}'
        )
