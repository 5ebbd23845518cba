"""Messages that carry the configuration between daemons."""

from attrs import frozen


@frozen
class ConfigurationRequest:
    """A request for the configuration in force at a peer.

    Attributes:
        known_digests: Digests of the parts that the sender already has.
    """

    known_digests: tuple[str, ...]


@frozen
class ConfigurationParts:
    """A configuration head and the parts that the receiver lacks.

    Attributes:
        head: The encoded head.
        parts: Encoded parts; each is identified by its digest.
    """

    head: bytes
    parts: tuple[bytes, ...]
