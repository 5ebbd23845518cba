"""Tests of rejections by servers that are not full."""

import pytest
from tests.core.placement.harness import NOW, chosen, make_state, serve
from tests.core.placement.rejecting_service import RejectingService

from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    record_report,
)
from geraniumshelf_core.placement.ejections import EJECTION_NS
from geraniumshelf_core.placement.notices import record_pause
from geraniumshelf_core.placement.rejections import (
    is_partial_rejection,
    update_rejecting,
)
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.policies import Policies
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_REJECTING = (4 * SECOND_NS, 12 * SECOND_NS + SECOND_NS // 2)
_REJECTING_SECONDS = range(4, 12)
_LATER_SECONDS = range(13, 18)
_MAX_SHORT_DELAY = 100 * MILLISECOND_NS


def _reject(state: PlacementState, view: ServerView, now: int = NOW) -> bool:
    begin_request(state, view)
    return end_request(state, view, Outcome(is_partial=True), now)


def _six_servers() -> PlacementState:
    return make_state({f's{number}': 'a1' for number in range(6)})


def _serve_others(state: PlacementState, view: ServerView) -> None:
    for other in state.servers.values():
        if other is not view:
            for number in range(3):
                serve(state, other, f'{number}', NOW)


@pytest.mark.parametrize(
    ('daemons', 'servers', 'rate'), [(1, 12, 150), (1, 12, 220), (4, 24, 400)]
)
def test_service_whose_servers_reject_half_loses_no_servers(
    daemons: int, servers: int, rate: int
) -> None:
    """Guard against a service that falls to half and stays there.

    All servers reject half of what they get for 8.5 s. If that counts as full
    or failing, the daemon ejects a third of them and moves objects to servers
    where they are cold, which takes three times the work.
    """
    service = RejectingService(
        daemons=daemons, servers=servers, rejecting=_REJECTING, rate=rate
    )
    service.run(18)
    assert not service.ejections
    assert not service.unsent
    # Retries within the budget and one retry of the caller are added to the
    # half that the servers accept.
    assert min(map(service.share, _REJECTING_SECONDS)) > 0.7
    assert min(map(service.share, _LATER_SECONDS)) > 0.99


def test_callers_are_told_to_retry_at_once_when_servers_are_not_full() -> None:
    """Guard against waits that cost callers the target latency for nothing."""
    service = RejectingService(rejecting=_REJECTING)
    service.run(18)
    assert not service.full_rejections
    assert 0 < max(service.delays) <= _MAX_SHORT_DELAY


def test_server_that_rejects_alone_is_avoided() -> None:
    """Guard against attempts and retries that a faulty server uses up."""
    service = RejectingService(
        rejecting=_REJECTING, rejecting_names=frozenset({'s3'}), reject_rate=1
    )
    service.run(18)
    assert min(map(service.share, _REJECTING_SECONDS)) > 0.99
    assert service.sent['s3'] < 0.03 * service.sent.total()


def test_partial_rejection_leaves_the_server_in_use() -> None:
    """Guard against a pause or an ejection for what is no lack of capacity."""
    state = _six_servers()
    home = state.servers[chosen(state, 'x')]
    for view in state.servers.values():
        for _ in range(10):
            assert not _reject(state, view)
            serve(state, view, 'x' if view is home else 'y', NOW)
    assert not home.full_until
    assert not home.ejected_until
    assert not home.failure_rate
    assert chosen(state, 'x') == home.server.name


def test_full_server_pauses_and_is_ejected() -> None:
    """Guard against requests to a server that has no room for them."""
    state = _six_servers()
    home = state.servers[chosen(state, 'x')]
    begin_request(state, home)
    end_request(state, home, Outcome(is_shed=True), NOW)
    assert home.full_until == NOW + 50 * MILLISECOND_NS
    assert chosen(state, 'x') != home.server.name
    for _ in range(3):
        begin_request(state, home)
        end_request(state, home, Outcome(is_shed=True), NOW)
    assert home.ejected_until


def test_server_that_keeps_rejecting_alone_is_ejected() -> None:
    """Guard against a server that rejects all that its own objects send it."""
    state = _six_servers()
    home = state.servers[chosen(state, 'x')]
    _serve_others(state, home)
    ejections = [_reject(state, home) for _ in range(5)]
    assert ejections == [False] * 4 + [True]
    assert home.ejected_until == NOW + EJECTION_NS
    assert not _reject(state, home)


def test_series_of_rejections_ejects_nobody_while_all_reject_half() -> None:
    """Guard against the ejection of a server that had bad luck."""
    state = _six_servers()
    home = state.servers[chosen(state, 'x')]
    _serve_others(state, home)
    for other in state.servers.values():
        if other is not home:
            for _ in range(3):
                _reject(state, other)
    assert not any(_reject(state, home) for _ in range(50))


def test_at_most_a_third_of_the_servers_is_ejected_for_rejections() -> None:
    """Guard against the loss of a whole service to servers that reject."""
    state = _six_servers()
    for name in ('s3', 's4', 's5'):
        for _ in range(9):
            serve(state, state.servers[name], 'x', NOW)
    for _ in range(20):
        for name in ('s0', 's1', 's2'):
            _reject(state, state.servers[name])
    ejected = [view for view in state.servers.values() if view.ejected_until]
    assert len(ejected) <= 2


def test_rejections_keep_an_object_at_its_warm_home() -> None:
    """Guard against cold work because of one rejection at random."""
    state = _six_servers()
    home = state.servers[chosen(state, 'x')]
    _reject(state, home)
    assert chosen(state, 'x') == home.server.name


def test_rejecting_server_is_tried_again() -> None:
    """Guard against a server that stays unused after its fault has ended."""
    state = _six_servers()
    home = state.servers[chosen(state, 'x')]
    for _ in range(8):
        _reject(state, home)
    assert not home.ejected_until
    assert chosen(state, 'x') != home.server.name
    assert chosen(state, 'x', NOW + 4 * SECOND_NS) == home.server.name


def test_rejection_shows_that_a_server_is_reachable() -> None:
    """Guard against one request at a time to a server that responds."""
    state = _six_servers()
    home = state.servers[chosen(state, 'x')]
    home.is_unreachable = True
    _reject(state, home)
    assert not home.is_unreachable


@pytest.mark.parametrize(
    ('running', 'waiting', 'is_partial'),
    [(0, 0, True), (1, 0, True), (2, 0, True), (2, 3, True), (2, 4, False)],
)
def test_only_a_server_without_room_counts_as_full(
    running: int, waiting: int, is_partial: bool
) -> None:
    """Guard against pauses of busy servers whose queue has room.

    A server rejects for lack of capacity only with a full queue.
    """
    state = _six_servers()
    record_report(state.servers['s1'], 2, 4, NOW)
    view = state.servers['s0']
    assert (
        is_partial_rejection(state, view, running, waiting, NOW) == is_partial
    )


def test_server_without_a_queue_is_full_when_its_slots_are_taken() -> None:
    """Guard against requests without a pause to servers that have no queue."""
    state = _six_servers()
    view = state.servers['s0']
    assert not is_partial_rejection(state, view, 2, 0, NOW)
    assert is_partial_rejection(state, view, 1, 0, NOW)


def test_cause_that_a_server_states_is_believed() -> None:
    """Guard against requests to a server that has asked for a pause."""
    state = _six_servers()
    view = state.servers['s0']
    record_pause(view, SECOND_NS, NOW)
    assert not is_partial_rejection(state, view, 0, 0, NOW)


def test_disabled_policy_counts_each_rejection_as_full() -> None:
    """Guard against a comparison that measures the same behaviour twice."""
    state = _six_servers()
    state.policies = Policies(counts_rejections=False)
    view = state.servers['s0']
    assert not is_partial_rejection(state, view, 0, 0, NOW)


def test_begin_and_end_of_rejections_are_reported_once() -> None:
    """Guard against a log line for each rejection, or none at all."""
    state = _six_servers()
    home = state.servers['s0']
    _serve_others(state, home)
    reported = []
    for step in range(20):
        now = NOW + step * MILLISECOND_NS
        _reject(state, home, now)
        reported.extend(update_rejecting(state, home, now))
    for step in range(20):
        now = NOW + (5 + step) * SECOND_NS
        serve(state, home, 'x', now)
        reported.extend(update_rejecting(state, home, now))
    changes = [
        (change.name, change.is_service, change.is_rejecting)
        for change in reported
    ]
    assert changes[:2] == [('desk', True, True), ('s0', False, True)]
    assert sorted(changes[2:]) == [('desk', True, False), ('s0', False, False)]
