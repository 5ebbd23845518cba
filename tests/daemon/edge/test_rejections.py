"""Tests of what a daemon makes of rejections by servers that are not full."""

from random import Random

import pytest

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.errors import Ran
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    put_server,
)
from geraniumshelf_core.placement.server_limits import NoLimit
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.policies import Policies
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.interface import ReportedLoad, ResponseFields
from geraniumshelf_daemon.edge.outcomes import failure_outcome, retry_delay_s
from geraniumshelf_daemon.edge.rejections import end_attempt
from geraniumshelf_daemon.edge.response_check import check_response
from geraniumshelf_daemon.edge.state import RequestProgress
from geraniumshelf_daemon.observability.events import Event, install_recorder
from geraniumshelf_daemon.upstream.progress import AttemptFailed

_NOW = 100 * SECOND_NS
_SERVER = ListedServer('s1', 'desk', '10.0.0.1:1', 'a1', 3)


class _Recorder:
    """Collects the events that are logged."""

    def __init__(self) -> None:
        self.events: list[tuple[Event, str]] = []

    def record(self, event: Event, detail: str, fields: object) -> None:
        """Collect an event."""
        self.events.append((event, detail))


def _placement() -> PlacementState:
    placement = PlacementState(Place('a1', 'a'), {'a1': 'a'})
    put_server(placement, _SERVER, _NOW)
    return placement


def _rejection(
    load: ReportedLoad | None, *, is_misdirected: bool = False
) -> AttemptFailed:
    fields = ResponseFields(
        (),
        is_signed=False,
        is_not_run=True,
        is_misdirected=is_misdirected,
        load=load,
        limit=NoLimit(),
    )
    with pytest.raises(AttemptFailed) as caught:
        check_response(503, fields)
    return caught.value


@pytest.mark.parametrize(
    ('load', 'outcome'),
    [
        (ReportedLoad(0, 0), Outcome(is_partial=True)),
        (ReportedLoad(2, 0), Outcome(is_partial=True)),
        (ReportedLoad(3, 9), Outcome(is_shed=True)),
        (None, Outcome(is_shed=True)),
    ],
)
def test_reported_load_tells_a_full_server_from_others(
    load: ReportedLoad | None, outcome: Outcome
) -> None:
    """Guard against the loss of the load on the way from the response."""
    placement = _placement()
    view = placement.servers['s1']
    failure = _rejection(load)
    assert failure.load == load
    assert failure.ran is Ran.NOT_RUN
    assert failure_outcome(failure, placement, view, _NOW) == outcome


def test_load_of_another_server_at_the_address_is_not_used() -> None:
    """Guard against the load of a server that took over an address."""
    failure = _rejection(ReportedLoad(0, 0), is_misdirected=True)
    assert failure.load is None
    placement = _placement()
    view = placement.servers['s1']
    outcome = failure_outcome(failure, placement, view, _NOW)
    assert outcome.is_unreachable


def test_load_in_a_rejection_is_recorded() -> None:
    """Guard against requests to a server that has just reported its load."""
    placement = _placement()
    view = placement.servers['s1']
    begin_request(placement, view)
    shed = Outcome(is_shed=True)
    end_attempt(placement, view, shed, ReportedLoad(3, 9), _NOW)
    assert view.reported_at == _NOW
    assert view.other_requests == 12


def test_disabled_policy_records_no_load_of_rejections() -> None:
    """Guard against a comparison in which both sides use the new load."""
    placement = _placement()
    placement.policies = Policies(counts_rejections=False)
    view = placement.servers['s1']
    begin_request(placement, view)
    shed = Outcome(is_shed=True)
    end_attempt(placement, view, shed, ReportedLoad(3, 9), _NOW)
    assert view.reported_at is None


def test_retry_delay_is_short_only_if_a_server_was_not_full() -> None:
    """Guard against callers that wait although servers have room.

    A request that may have run gets no delay, as it must not be retried.
    """
    random = Random(1)
    progress = RequestProgress()
    full_delay = retry_delay_s(progress, random)
    assert full_delay is not None
    assert full_delay >= 0.2
    progress.was_rejected_partially = True
    for _ in range(20):
        delay = retry_delay_s(progress, random)
        assert delay is not None
        assert 0.05 <= delay <= 0.1
    progress.ran = Ran.UNKNOWN
    assert retry_delay_s(progress, random) is None


def test_rejecting_service_is_logged_once_and_loses_no_server() -> None:
    """Guard against a line for each rejection, and against ejections."""
    placement = _placement()
    view = placement.servers['s1']
    recorder = _Recorder()
    install_recorder(recorder)
    try:
        for step in range(20):
            begin_request(placement, view)
            partial = Outcome(is_partial=True)
            load = ReportedLoad(0, 0)
            end_attempt(placement, view, partial, load, _NOW + step)
    finally:
        install_recorder(None)
    assert recorder.events == [(Event.BACKEND_REJECTING, 'desk')]
