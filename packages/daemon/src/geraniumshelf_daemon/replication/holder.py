"""The configuration in force and the parts it is made of."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum, unique
from typing import Protocol

from attrs import frozen

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_daemon.observability.events import Event, log_event


class ConfigurationFormat(Protocol):
    """Decodes heads and parts; each call may raise any exception."""

    def decode_head(self, encoded: bytes) -> tuple[int, tuple[str, ...]]:
        """Return the revision and the digests of the parts in order."""

    def digest(self, content: bytes) -> str:
        """Return the digest by which a part is known."""

    def join(self, contents: Sequence[bytes]) -> Configuration:
        """Return the configuration made of all parts."""


@unique
class Outcome(Enum):
    """What became of an offered head."""

    IN_FORCE = 'in force'
    IGNORED = 'ignored'
    INCOMPLETE = 'incomplete'
    REFUSED = 'refused'


@frozen
class Offer:
    """The outcome of an offer.

    Attributes:
        outcome: What became of it.
        missing: Digests of the parts that are needed to put it in force.
    """

    outcome: Outcome
    missing: tuple[str, ...] = ()


class ConfigurationHolder:
    """Implements ``ConfigurationSource``; the revision never goes back.

    Damaged or contradicting heads and parts are refused with event 203 and
    change nothing.
    """

    def __init__(self, decoder: ConfigurationFormat) -> None:
        self._decoder = decoder
        self._revision = 0
        self._configuration: Configuration | None = None
        self._head = b''
        self._parts: dict[str, bytes] = {}
        self._fresh: tuple[bytes, ...] = ()
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
        """Return the encoded head in force, empty for none."""
        return self._head

    @property
    def parts(self) -> Mapping[str, bytes]:
        """Return the parts in force by digest."""
        return self._parts

    @property
    def fresh_parts(self) -> tuple[bytes, ...]:
        """Return the parts that the previous revision did not have."""
        return self._fresh

    @property
    def known_digests(self) -> tuple[str, ...]:
        """Return the digests of all parts that need not be sent again."""
        return (*self._parts, *self._staged)

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each revision that comes into force."""
        self._listeners.append(listener)

    def offer(self, head: bytes, contents: Iterable[bytes]) -> Offer:
        """Take in a head with some of its parts.

        Parts of an incomplete offer are kept for the next one.
        """
        try:
            return self._offer(head, contents)
        except Exception as error:
            log_event(
                Event.CONFIGURATION_REFUSED,
                str(error),
                revision_in_force=self._revision,
            )
            return Offer(Outcome.REFUSED)

    def _offer(self, head: bytes, contents: Iterable[bytes]) -> Offer:
        revision, digests = self._decoder.decode_head(head)
        if revision == self._revision and head != self._head:
            raise ValueError(f'two heads of revision {revision}')
        if revision <= self._revision:
            return Offer(Outcome.IGNORED)
        received = {self._decoder.digest(part): part for part in contents}
        if not received.keys() <= set(digests):
            raise ValueError(f'part is not of revision {revision}')
        known = {**self._parts, **self._staged, **received}
        missing = tuple(name for name in digests if name not in known)
        self._staged = {
            name: known[name]
            for name in digests
            if name in known and name not in self._parts
        }
        if missing:
            return Offer(Outcome.INCOMPLETE, missing)
        parts = {name: known[name] for name in digests}
        configuration = self._decoder.join([known[name] for name in digests])
        self._head = head
        self._put_in_force(revision, configuration, parts)
        return Offer(Outcome.IN_FORCE)

    def _put_in_force(
        self,
        revision: int,
        configuration: Configuration,
        parts: dict[str, bytes],
    ) -> None:
        self._fresh = tuple(self._staged.values())
        self._staged = {}
        self._parts = parts
        self._configuration = configuration
        self._revision = revision
        log_event(Event.REVISION_IN_FORCE, revision=revision)
        for listener in self._listeners:
            _call(listener, configuration)


def _call(
    listener: Callable[[Configuration], None], configuration: Configuration
) -> None:
    try:
        listener(configuration)
    except Exception as error:
        # The other listeners must learn of the revision all the same.
        log_event(Event.TASK_FAILED, f'listener: {error!r}')
