"""Errors with numbered result codes, described in ``docs/errors.md``."""

from enum import Enum, IntEnum, unique


@unique
class Ran(Enum):
    """Whether a request ran on a backend server."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


@unique
class ResultCode(IntEnum):
    """Numbered outcomes, grouped by thousands."""

    # Configuration.
    CONFIGURATION_SYNTAX = 1001
    WRONG_TYPE = 1002
    UNKNOWN_KEY = 1003
    MISSING_KEY = 1004
    OUT_OF_RANGE = 1005
    DANGLING_REFERENCE = 1006
    DUPLICATE_NAME = 1007
    OVERLAY_CONTRADICTS_BASE = 1008
    OVERLAYS_CLASH = 1009
    OBJECT_TOO_LARGE = 1010
    LIMIT_LOWERED = 1011
    DAMAGED_PART = 1012
    WITHDRAWN_KEY_RESTATED = 1013
    LOWERED_LIMIT_RAISED = 1014

    # Requests of callers.
    MALFORMED_REQUEST = 2001
    UNKNOWN_SERVICE = 2002
    UNKNOWN_ROUTE = 2003
    KEY_MISSING = 2004
    KEY_UNKNOWN = 2005
    KEY_WITHDRAWN = 2006
    RATE_EXCEEDED = 2007
    DEADLINE_EXCEEDED = 2008
    NO_BACKEND_SERVER = 2009
    OVERLOADED = 2010
    BACKEND_REFUSED = 2011
    BACKEND_SILENT = 2012
    BACKEND_BROKEN = 2013
    OUTCOME_UNKNOWN = 2014
    IN_PROGRESS = 2015
    ALREADY_RUN = 2016
    NOT_READY = 2017
    CUT_OFF = 2018
    HEADERS_TOO_LARGE = 2019
    MALFORMED_REQUEST_ID = 2022
    METHOD_NOT_ALLOWED = 2023
    CALLER_SILENT = 2024
    BODY_TOO_LARGE = 2025
    INTERNAL_FAULT = 2099

    # Platform.
    PLATFORM_UNREACHABLE = 3001
    VERSION_CONFLICT = 3002
    OBJECT_MISSING = 3003
    WATCH_TOO_OLD = 3004
    PLATFORM_PROTOCOL = 3005
    PLAN_MALFORMED = 3006
    ANSWER_OUTDATED = 3007

    # Peers.
    PEER_VERSION = 4001
    PEER_FRAME_MALFORMED = 4002
    PEER_UNREACHABLE = 4003
    PEER_TIMEOUT = 4004
    PEER_REFUSED = 4005

    # Operators and settings.
    SETTING_INVALID = 5001
    APPLY_CONFLICT = 5002
    APPLY_UNKNOWN = 5003
    FILE_UNREADABLE = 5004
    NOT_FOUND = 5005
    DAEMON_UNREACHABLE = 5006
    USAGE = 5007


class GeraniumshelfError(Exception):
    """Base class of all errors of the project.

    Attributes:
        code: The numbered result code.
        detail: One sentence for people; it never contains a key of a client
            account.
    """

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(f'{code.value} {code.name}: {detail}')
        self.code = code
        self.detail = detail


class ConfigurationError(GeraniumshelfError):
    """The configuration cannot be accepted; nothing was changed."""


class RequestRefused(GeraniumshelfError):
    """A final response to a caller that does not come from a backend server.

    Attributes:
        ran: Whether the request ran on a backend server.
        retry_after_s: Seconds after which a retry may succeed, or ``None``.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str,
        *,
        ran: Ran = Ran.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(code, detail)
        self.ran = ran
        self.retry_after_s = retry_after_s


class PlatformError(GeraniumshelfError):
    """The platform's object API failed, refused, or could not be reached."""


class PlatformConnectionLost(PlatformError):
    """The connection of a call was refused or closed before its response."""


class PlatformResponseTooLong(PlatformError):
    """The response of a call is longer than the caller can use."""


class PeerError(GeraniumshelfError):
    """A peer could not be reached, refused, or sent a malformed frame."""


class OperatorError(GeraniumshelfError):
    """A command of an operator could not be carried out."""
