"""The owner of a response: the request that it belongs to."""

from enum import Enum, unique


@unique
class ResponseOwner(Enum):
    """Which request a response belongs to, as seen by an exchange.

    Attributes:
        OWN: The request of this exchange.
        OTHER: Another request on the same connection.
        UNKNOWN: It cannot be determined.
    """

    OWN = 'own'
    OTHER = 'other'
    UNKNOWN = 'unknown'
