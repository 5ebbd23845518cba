"""What look-ups need from other parts of the daemon, and their answer."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from geraniumshelf_core.lookup.answer import EntryInstance
from geraniumshelf_core.plan.model import Plan


@frozen
class LookupAnswer:
    """A prepared answer.

    Attributes:
        body: JSON document.
        ttl_s: Time that the caller may cache it, seconds.
    """

    body: bytes
    ttl_s: int


class PlanSource(Protocol):
    """Holds the highest plan revision of each service."""

    @property
    def version(self) -> int:
        """Return a number that grows with each change of any plan."""

    def plan(self, service: str) -> Plan | None:
        """Return the plan of a service, ``None`` before the first."""


class EntrySource(Protocol):
    """Knows the entry instances that are live."""

    @property
    def version(self) -> int:
        """Return a number that grows with each change of the entries."""

    def entries(self) -> Sequence[EntryInstance]:
        """Return the live entry instances, also those that are leaving."""
