"""Interfaces that look-ups need, and the type of their responses."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen

from geraniumshelf_core.lookup.answer import EntryInstance
from geraniumshelf_core.plan.model import Plan


@frozen
class LookupResponse:
    """The encoded response to a look-up.

    Attributes:
        body: JSON document.
        ttl_s: Time for which the caller may cache it, seconds.
    """

    body: bytes
    ttl_s: int


class PlanSource(Protocol):
    """Provides the plan in force for each service."""

    @property
    def version(self) -> int:
        """Return a number that grows with each change of any plan."""

    def plan(self, service: str) -> Plan | None:
        """Return the plan of a service, ``None`` if none was received."""


class EntrySource(Protocol):
    """Provides the live entry instances."""

    @property
    def version(self) -> int:
        """Return a number that grows with each change of the entries."""

    def entries(self) -> Sequence[EntryInstance]:
        """Return the live entry instances, including those leaving."""
