"""Messages that replicate the table of members along a tree of links."""

from typing import Any

from attrs import frozen


@frozen
class MemberRows:
    """Entries of the table of members.

    Attributes:
        rows: Rows as ``roster.queries.export_rows`` returns them.
    """

    rows: tuple[Any, ...]


@frozen
class MemberDigest:
    """A digest of all live entries, by which peers detect lost changes.

    Attributes:
        digest: Exclusive or of the digests of all zones.
    """

    digest: int


@frozen
class MemberPull:
    """A request for the entries of the zones whose digests differ.

    Attributes:
        digests: Rows of zone and digest as the sender has them.
    """

    digests: tuple[tuple[str, int], ...]
