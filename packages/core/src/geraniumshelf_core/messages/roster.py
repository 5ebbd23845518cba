"""Messages that spread the table of members in a tree of links."""

from typing import Any

from attrs import frozen


@frozen
class MemberRows:
    """Entries of the table of members.

    Attributes:
        rows: Entries in the form of ``export_rows``.
    """

    rows: tuple[Any, ...]


@frozen
class MemberDigest:
    """A digest of all live entries, to find changes that were lost.

    Attributes:
        digest: Exclusive or of the digests of all zones.
    """

    digest: int


@frozen
class MemberPull:
    """Asks for the entries of the zones whose digests differ.

    Attributes:
        digests: Rows of zone and digest as the asking side has them.
    """

    digests: tuple[tuple[str, int], ...]
