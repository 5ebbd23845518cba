"""Messages that carry the configuration between daemons."""

from attrs import frozen


@frozen
class ConfigurationRequest:
    """Asks a peer for its configuration in force.

    Attributes:
        known_digests: Digests of the parts that the sender has.
    """

    known_digests: tuple[str, ...]


@frozen
class ConfigurationParts:
    """A configuration head and the parts that the receiver lacks.

    Attributes:
        head: The encoded head.
        parts: Encoded parts; each is known by its digest.
    """

    head: bytes
    parts: tuple[bytes, ...]
