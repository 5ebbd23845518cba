"""Whose request an answer of a backend server belongs to."""

from enum import Enum, unique


@unique
class ResponseOwner(Enum):
    """Whose request an answer belongs to."""

    OWN = 'own'
    OTHER = 'other'
    UNKNOWN = 'unknown'
