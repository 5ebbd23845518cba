"""Numbered log events, listed in ``docs/events.md``."""

from collections.abc import Mapping
from enum import IntEnum, unique
from typing import Final, Protocol

from loguru import logger

from geraniumshelf_daemon.observability.redaction import (
    redact_fields,
    redact_text,
)


@unique
class Event(IntEnum):
    """Event numbers, one hundred per part of the daemon."""

    # Start, stop and tasks of the daemon.
    DAEMON_STARTED = 101
    DAEMON_LEAVING = 102
    DAEMON_STOPPED = 103
    TASK_FAILED = 104
    SETTINGS_RELOADED = 105
    SETTINGS_REFUSED = 106

    # Configuration and platform.
    REVISION_IN_FORCE = 201
    CONFIGURATION_REFUSED = 203
    PLATFORM_LOST = 204
    PLATFORM_FOUND = 205
    WATCH_RESTARTED = 206
    ENTRY_UNREADABLE = 207
    STORE_ERA_BEGUN = 208
    ENTRY_OUTDATED = 209
    ENTRY_RESTORED = 210
    PROBE_UNANSWERED = 211

    # Peers and membership.
    PEER_CONNECTED = 301
    PEER_LOST = 302
    PEER_FRAME_REFUSED = 303
    ZONE_CUT_OFF = 304
    ZONE_REJOINED = 305
    INSTANCE_FOUND = 306
    INSTANCE_LOST = 307
    DUTY_CHANGED = 308
    CONNECTION_PASSED = 309

    # Allowances and slots.
    SLOT_CLAIMED = 401
    SLOT_LOST = 402
    SLOT_RELEASED = 403
    SLOT_EXPIRED = 404
    LOAN_REFUSED = 405

    # Requests.
    REQUEST_REFUSED = 501
    REQUEST_CUT = 502
    KEY_WITHDRAWN_STREAM = 503
    RECORDS_HANDED_OVER = 504
    RECORDS_RECEIVED = 505
    REQUEST_SERVED = 506
    REQUEST_RETRIED = 507
    REQUEST_FAILED = 508
    LINES_DROPPED = 509
    CALLER_CLOSED = 511
    BODY_CUT = 512

    # Backend servers.
    BACKEND_EJECTED = 601
    CONNECTION_SILENT = 603
    BACKEND_LISTED = 604
    BACKEND_GONE = 605
    BACKEND_COLD = 606
    BACKEND_DEPARTING = 607
    BACKEND_PAUSED = 608
    PAUSE_UNREADABLE = 609
    BACKEND_MISSING = 610
    BACKENDS_UNCONFIRMED = 611
    BACKENDS_CONFIRMED = 612
    BACKEND_UNCHECKED = 613
    BACKEND_LIMITED = 614
    BACKEND_UNLIMITED = 615
    LIMIT_UNREADABLE = 616
    BACKEND_REJECTING = 617
    BACKEND_ACCEPTING = 618
    SERVER_SPEED_KNOWN = 619
    SERVER_PACED = 620
    SERVER_UNPACED = 621

    # Steering.
    PLAN_PROPOSED = 701
    PLAN_IN_FORCE = 702
    PLAN_CONFLICT = 703
    PLAN_HELD = 704
    BACKEND_LEAVING = 705
    PLAN_REFUSED = 706
    ZONE_EVACUATED = 707
    ZONE_RETURNED = 708
    SPILL_CHANGED = 709


_WARNINGS: Final = frozenset(
    (
        Event.TASK_FAILED,
        Event.CONFIGURATION_REFUSED,
        Event.PLATFORM_LOST,
        Event.PEER_FRAME_REFUSED,
        Event.ZONE_CUT_OFF,
        Event.SLOT_LOST,
        Event.SLOT_EXPIRED,
        Event.CONNECTION_SILENT,
        Event.PLAN_REFUSED,
    )
)


class Recorder(Protocol):
    """Stores events for the timeline."""

    def record(
        self, event: Event, detail: str, fields: Mapping[str, str]
    ) -> None:
        """Store an event, whose detail and fields are already redacted."""


# Holds at most one recorder, that of this process.
_recorders: list[Recorder] = []


def install_recorder(recorder: Recorder | None) -> None:
    """Also pass later events to a recorder; ``None`` removes it."""
    _recorders.clear()
    if recorder is not None:
        _recorders.append(recorder)


def log_event(event: Event, detail: str = '', **fields: object) -> None:
    """Log an event and pass it to the recorder, with keys redacted."""
    level = 'WARNING' if event in _WARNINGS else 'INFO'
    safe_detail = redact_text(detail)
    safe_fields = redact_fields(fields)
    for recorder in _recorders:
        recorder.record(event, safe_detail, safe_fields)
    logger.bind(**safe_fields, event=event.value).log(
        level, '{} {} {} {}', event.value, event.name, safe_detail, safe_fields
    )
